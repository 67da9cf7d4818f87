//! Entry of a backend server in the platform's server list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::Incarnation;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::SoftwareVersion;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;

use crate::ServerKey;

/// One incarnation of a backend server.
///
/// A server may restart under the same name and then has lost its state. Per-server state is therefore keyed by
/// [`ServerEntry::key`], which is different for each incarnation.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// The server's name.
    pub name: ServerName,
    /// Start time in Unix milliseconds, as reported by the server. `None` on platforms that do not report it;
    /// a server then has a new name after each restart.
    pub incarnation: Option<Incarnation>,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Version of its software; `None` if the entry states none that can be read.
    pub version: Option<SoftwareVersion>,
    /// Address that it listens on. May be reassigned to another server later.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Capacity for concurrent requests.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub stage: ServerStage,
    /// Remaining time of reduced speed after its start.
    pub warm_up: Duration,
    /// Weights version of each model when the entry was written.
    pub models: IndexMap<ModelName, WeightsVersion>,
}

impl ServerEntry {
    /// Key of this incarnation in router state and in gossip messages.
    pub fn key(&self) -> ServerKey {
        ServerKey::of(&self.name, self.incarnation)
    }
}

/// Lifecycle stage of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStage {
    /// Accepts new requests.
    Ready,
    /// Finishes its running requests and exits.
    Draining,
}

/// An entry shared between snapshots.
pub(crate) type SharedEntry = Arc<ServerEntry>;
