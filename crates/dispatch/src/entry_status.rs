//! What an entry daemon says of itself to operators.

use fulmargate_names::ConfigVersion;
use fulmargate_names::FencingNumber;
use fulmargate_names::HostName;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// The answer of `GET /status` on a daemon's metrics listener.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The configuration in force; none before the first was read.
    pub config_version: Option<ConfigVersion>,
    /// Milliseconds since it was proved to be the newest.
    pub config_proof_ms: Option<u64>,
    /// Whether requests with a key are admitted.
    pub admits_keys: bool,
    /// Weights wanted.
    pub weights: Vec<WantedWeights>,
    /// Hosts that have started lately, as far as the store keeps records.
    pub members: Vec<HostName>,
    /// Hosts heard within the last second.
    pub heard: Vec<HostName>,
    /// The newest lease on orders to engines.
    pub lease: Option<LeaseStatus>,
    /// Backend servers in use.
    pub servers: Vec<ServerStatus>,
}

/// Weights wanted of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedWeights {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightsVersion,
    /// Milliseconds since it was learned of.
    pub age_ms: u64,
}

/// A lease on orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// The holder's host.
    pub host: HostName,
    /// The fencing number.
    pub fence: FencingNumber,
    /// Milliseconds since its record was read.
    pub age_ms: u64,
}

/// A backend server as the daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// The server.
    pub server: ServerName,
    /// Its service.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it may be chosen at this moment.
    pub is_open: bool,
    /// Requests of all routers there.
    pub open: u32,
    /// Share of requests that failed lately.
    pub failure_share: f64,
    /// Weights by model, for engines.
    pub weights: Vec<(ModelName, WeightsVersion)>,
}
