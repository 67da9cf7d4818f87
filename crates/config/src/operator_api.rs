//! Bodies of the operators' listener, written by routers and read by `fulmargate-ctl`.

use std::net::SocketAddr;

use fulmargate_names::ClassName;
use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::TeamName;
use fulmargate_names::ZoneName;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::ConfigError;
use crate::ConfigHistory;
use crate::ServerState;

/// `GET /config`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// The version in force at this router.
    pub version: ConfigVersion,
    /// The document as the operators wrote it; an empty object under version 0.
    pub document: Value,
}

/// `PATCH /config`, `POST /servers/NAME/drain` and `/undrain`, when accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionAnswer {
    /// The version that the patch made.
    pub version: ConfigVersion,
}

/// Any refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalAnswer {
    /// What went wrong, in the shape that callers get too.
    pub error: RefusalBody,
    /// The version in force at this router, where a patch was refused.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current: Option<ConfigVersion>,
    /// What is wrong with the document that the patch would make.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fault: Option<ConfigError>,
}

/// The error of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// For a person.
    pub message: String,
    /// The kind of error in the shape of the callers' API.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// A code of the error table.
    pub code: String,
    /// The parameter at fault; always `null` here.
    #[serde(default)]
    pub param: Option<String>,
}

/// `GET /config/history`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryAnswer {
    /// The version in force at this router.
    pub version: ConfigVersion,
    /// The newest accepted and refused patches on this router, oldest first.
    #[serde(flatten)]
    pub history: ConfigHistory,
    /// Records that could not be read since this router started.
    #[serde(default)]
    pub unreadable: u64,
}

/// `GET /hosts`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostsAnswer {
    /// The entry hosts in this router's view.
    pub hosts: Vec<HostRow>,
}

/// An entry host in a router's view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HostRow {
    /// Its name.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The active version there, as last reported.
    pub version: ConfigVersion,
    /// Whether it can be reached.
    pub state: HostReach,
    /// The incarnation of its router.
    pub incarnation: Incarnation,
    /// Milliseconds since its last message; 0 for the router that answers.
    pub heard_ms_ago: u64,
}

/// Whether a router reaches an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum HostReach {
    /// The router that answers.
    #[display("self")]
    #[serde(rename = "self")]
    Own,
    /// It sent a message recently.
    #[display("up")]
    Up,
    /// It is suspected to be gone.
    #[display("suspected")]
    Suspected,
    /// It is stopping.
    #[display("leaving")]
    Leaving,
    /// It is gone.
    #[display("down")]
    Down,
}

/// `GET /servers`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServersAnswer {
    /// The backend servers of the document.
    pub servers: Vec<ServerRow>,
}

/// A backend server in a router's view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerRow {
    /// Its name.
    pub server: ServerName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its models; none for a plain service.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Its service; none for a model engine.
    #[serde(default)]
    pub service: Option<ServiceName>,
    /// What the document wants.
    pub state: ServerState,
    /// What the router finds.
    pub health: ServerHealth,
    /// Requests of this router that it has not ended.
    #[serde(default)]
    pub open_requests: u64,
    /// Prompt tokens that wait for prefill there, as last reported; none for a plain service.
    #[serde(default)]
    pub queue_tokens: Option<u64>,
}

/// What a router finds of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum ServerHealth {
    /// It answers.
    #[display("up")]
    Up,
    /// It was taken out of use for its failures.
    #[display("ejected")]
    Ejected,
    /// It leaves.
    #[display("leaving")]
    Leaving,
    /// This router has not met it yet.
    #[display("unknown")]
    Unknown,
}

/// `GET /teams`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamsAnswer {
    /// The teams of the document.
    pub teams: Vec<TeamRow>,
}

/// A team and what it uses at one router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamRow {
    /// Its name.
    pub team: TeamName,
    /// The class of its requests, unless a rule gives another.
    pub class: ClassName,
    /// How many keys it has.
    pub keys: usize,
    /// Its limit over all routers.
    pub requests_per_s: f64,
    /// Its limit over all routers.
    pub prompt_tokens_per_s: f64,
    /// Its models.
    pub models: Vec<ModelName>,
    /// Its plain services.
    pub services: Vec<ServiceName>,
    /// Requests admitted by this router since it started.
    #[serde(default)]
    pub admitted: u64,
    /// Requests refused by this router since it started.
    #[serde(default)]
    pub refused: u64,
}

/// `GET /status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The entry host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The incarnation of its router.
    pub incarnation: Incarnation,
    /// The version in force.
    pub version: ConfigVersion,
    /// Whether it takes traffic.
    pub ready: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Whether the platform's log can be reached.
    pub log_reachable: bool,
    /// Whether records of the configuration are missing, so that patches cannot be judged.
    #[serde(default)]
    pub config_gap: bool,
    /// Entry hosts that it reaches, itself not counted.
    pub peers_up: usize,
    /// Callers' requests that have not ended.
    pub open_requests: u64,
    /// Seconds since it started.
    pub uptime_s: u64,
}
