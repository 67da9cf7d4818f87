//! The client of the platform's host list.

use std::sync::Arc;
use std::time::Duration;

use awc::Client;
use fulmargate_names::Incarnation;
use fulmargate_names::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::LogError;
use crate::LogTimeouts;
use crate::http_call::http_client;
use crate::http_call::json_call;
use crate::http_call::within;

/// What runs on a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostKind {
    /// A router.
    Entry,
    /// A backend server.
    Server,
}

/// What the platform thinks of a host; it learns late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// In use.
    Live,
    /// About to go: it gets nothing new.
    Leaving,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The name of the entry host or backend server.
    pub name: Arc<str>,
    /// Its zone.
    pub zone: ZoneName,
    /// What runs there.
    pub kind: HostKind,
    /// Where it listens, as `10.0.0.1:7000`.
    pub address: Arc<str>,
    /// What the platform thinks of it.
    pub state: HostState,
    /// Of the process that the platform last saw there.
    pub incarnation: Incarnation,
}

/// The list as the platform saw it some time ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostPage {
    /// How old the list is.
    pub as_of_ms_ago: u64,
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}

/// The client of the platform's host list.
#[derive(Clone)]
pub struct HostList {
    client: Client,
    url: Arc<str>,
    call_timeout: Duration,
}

impl HostList {
    /// A client of the list at `address`, as `10.0.0.1:7000`.
    pub fn new(address: &str, timeouts: &LogTimeouts) -> HostList {
        HostList {
            client: http_client(timeouts.connect),
            url: Arc::from(format!("http://{address}/v1/hosts")),
            call_timeout: timeouts.call,
        }
    }

    /// Reads the whole list once.
    pub async fn fetch(&self) -> Result<HostPage, LogError> {
        within(self.call_timeout, json_call(self.client.get(&*self.url).send())).await
    }
}
