//! What the platform's list says of a backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::Incarnation;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;

use crate::ServerKey;

/// One start of a backend server.
///
/// A server may start again under its old name and then knows nothing of before. Whoever remembers
/// something of a server does so under [`ServerEntry::key`], which differs for each start.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Its name.
    pub name: ServerName,
    /// Which start this is, by the server's own word: Unix milliseconds. None where the platform does
    /// not tell; a server then has a new name at each start.
    pub incarnation: Option<Incarnation>,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens. The address may later belong to another server.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub stage: ServerStage,
    /// How much longer it is slow after its start.
    pub warm_up: Duration,
    /// Models and the versions of their weights, as of the entry's writing.
    pub models: IndexMap<ModelName, WeightsVersion>,
}

impl ServerEntry {
    /// What this start is remembered under and called in messages.
    pub fn key(&self) -> ServerKey {
        ServerKey::of(&self.name, self.incarnation)
    }
}

/// Whether a server takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStage {
    /// It does.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// Entries are shared by snapshots.
pub(crate) type SharedEntry = Arc<ServerEntry>;
