//! Status that an entry daemon reports to operators.

use fulmargate_names::ConfigVersion;
use fulmargate_names::FencingNumber;
use fulmargate_names::HostName;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::SoftwareVersion;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use serde::Deserialize;
use serde::Serialize;

/// Response to `GET /status` on a daemon's metrics listener.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The entry host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Active configuration version; `None` before the first one is read.
    pub config_version: Option<ConfigVersion>,
    /// Milliseconds since this version was last confirmed to be the latest.
    pub config_proof_ms: Option<u64>,
    /// Whether requests with a key are admitted.
    pub admits_keys: bool,
    /// Target weights version of each model.
    pub weights: Vec<WantedWeights>,
    /// Hosts that started recently, as far back as the store keeps records.
    pub members: Vec<HostName>,
    /// Hosts that sent a message within the last second.
    pub heard: Vec<HostName>,
    /// The latest lease for ordering engines to load weights.
    pub lease: Option<LeaseStatus>,
    /// Backend servers in use.
    pub servers: Vec<ServerStatus>,
    /// Requests and parts of prompts that are suspected of crashing servers.
    #[serde(default)]
    pub suspects: Vec<SuspectStatus>,
}

/// A request or a part of prompts that is suspected of crashing servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectStatus {
    /// Its fingerprint or key, in hexadecimal as in log lines.
    pub key: String,
    /// `request` or `part`.
    pub kind: String,
    /// Confirmed crashes that count against it.
    pub crashes: usize,
    /// Milliseconds since the latest crash.
    pub age_ms: u64,
    /// Whether requests are rejected for it. A part that is not may still be together with others of a request.
    pub is_convicted: bool,
}

/// Target weights version of a model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedWeights {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightsVersion,
    /// Upper bound of the milliseconds since this version was named; `None` if it is not known.
    pub age_ms: Option<u64>,
}

/// A lease for ordering engines to load weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Host that holds the lease.
    pub host: HostName,
    /// Fencing number of the lease.
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
    /// Version of its software; `None` if it is not known.
    #[serde(default)]
    pub version: Option<SoftwareVersion>,
    /// Whether it may be selected now.
    pub is_open: bool,
    /// Requests in flight there, from all routers.
    pub open: u32,
    /// Recent share of failed requests.
    pub failure_share: f64,
    /// Weights version of each model; empty for servers that are not engines.
    pub weights: Vec<(ModelName, WeightsVersion)>,
}
