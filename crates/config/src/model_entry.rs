//! Models.

use fulmargate_names::AdapterName;
use fulmargate_names::WeightsVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::KvImport;

/// What is to be served under a model's name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// The weights version wanted on every server of the model.
    pub weights: WeightsVersion,
    /// The adapters wanted beside it.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// Import of cached blocks; absent: its engines cannot.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kv_import: Option<KvImport>,
}
