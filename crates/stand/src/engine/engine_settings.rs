//! An engine's settings.

use std::net::SocketAddr;

use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;

use crate::deployment::EngineRates;

/// Everything an engine is told at its start.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSettings {
    /// Its name.
    pub name: ServerName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Models it serves, with the weights version in use at the start of each life.
    pub models: IndexMap<ModelName, u64>,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// How fast it is and how much it keeps.
    pub rates: EngineRates,
    /// How late cache events are published.
    #[serde(default = "default_event_delay_ms")]
    pub event_delay_ms: f64,
    /// How old a load report may be.
    #[serde(default = "default_report_ms")]
    pub report_ms: u64,
    /// Where new weights come from; without one a load takes `rates.load_ms`.
    #[serde(default)]
    pub weight_store: Option<SocketAddr>,
    /// Where computed blocks are kept for all engines.
    #[serde(default)]
    pub kv_store: Option<SocketAddr>,
    /// Engines whose blocks it may import, by name.
    #[serde(default)]
    pub neighbours: IndexMap<ServerName, SocketAddr>,
}

fn default_event_delay_ms() -> f64 {
    50.0
}

fn default_report_ms() -> u64 {
    100
}
