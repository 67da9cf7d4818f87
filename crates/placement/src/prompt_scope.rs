//! Cache isolation scope of a prompt.

use fulmargate_names::AdapterName;
use fulmargate_names::ModelName;
use fulmargate_names::TeamName;
use fulmargate_names::WeightsVersion;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Team, model, adapter and weights version. Equal prefixes in different scopes have different
/// hashes, so that cache hints are never shared between teams or weights versions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptScope {
    text: String,
    seed: u64,
}

impl PromptScope {
    /// The scope of a team's requests to a model or adapter.
    pub fn new(
        team: &TeamName,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        weights: WeightsVersion,
    ) -> PromptScope {
        let adapter = adapter.map_or("", AdapterName::as_str);
        PromptScope::from_text(format!("{team}/{model}/{adapter}"), weights)
    }

    /// Creates a scope from the value of the `x-cache-scope` header.
    pub fn from_text(text: String, weights: WeightsVersion) -> PromptScope {
        let seed = xxh3_64_with_seed(text.as_bytes(), weights.0);
        PromptScope { text, seed }
    }

    /// The value of the `x-cache-scope` header.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Initial hash of the chain.
    pub(crate) fn seed(&self) -> u64 {
        self.seed
    }
}
