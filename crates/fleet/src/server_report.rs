//! What a backend server tells of itself.

use fulmargate_names::AdapterName;
use fulmargate_names::FencingNumber;
use fulmargate_names::Incarnation;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use indexmap::IndexMap;
use serde::Deserialize;

/// The answer of `GET /control/state`: late by up to `as_of_ms_ago`. Fields that are not listed are passed over.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct ServerReport {
    /// Who answers; an address may have been given to another server.
    #[serde(default)]
    pub server: Option<ServerName>,
    /// The process that answers.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Whether it leaves.
    #[serde(default)]
    pub leaving: bool,
    /// Weights in use, by model.
    #[serde(default)]
    pub weights: IndexMap<ModelName, WeightsVersion>,
    /// Weights that are being loaded, by model.
    #[serde(default)]
    pub loading: IndexMap<ModelName, WeightsVersion>,
    /// Adapters in use.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Role in use.
    #[serde(default)]
    pub role: Option<String>,
    /// Prompt tokens that wait for prefill.
    #[serde(default)]
    pub queue_tokens: u64,
    /// Requests that have not ended.
    #[serde(default)]
    pub running: u64,
    /// The highest fencing number that it has met.
    #[serde(default)]
    pub fence: FencingNumber,
    /// Age of the report.
    #[serde(default)]
    pub as_of_ms_ago: u64,
}
