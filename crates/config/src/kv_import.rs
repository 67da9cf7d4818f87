//! Import of cached blocks by a model's engines.

use serde::Deserialize;
use serde::Serialize;

/// What importing cached blocks costs, where a model's engines can.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KvImport {
    /// Milliseconds to ask a source, also when it has nothing.
    pub ask_ms: f64,
    /// Tokens that an engine takes in in a millisecond.
    pub tokens_per_ms: f64,
    /// Whether there is a KV store beside the engines.
    #[serde(default)]
    pub store: bool,
}
