//! What a prompt's cached blocks belong to.

use fulmargate_names::AdapterName;
use fulmargate_names::ModelName;
use fulmargate_names::TeamName;
use fulmargate_names::WeightsVersion;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Team, model, adapter and weights version. Chains of two scopes have no hash in common, so a
/// belief about one team's or one version's blocks is never found by another's prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptScope {
    text: String,
    seed: u64,
}

impl PromptScope {
    /// The scope of a team's prompts to a model, or to one of its adapters.
    pub fn new(
        team: &TeamName,
        model: &ModelName,
        adapter: Option<&AdapterName>,
        weights: WeightsVersion,
    ) -> PromptScope {
        let adapter = adapter.map_or("", AdapterName::as_str);
        PromptScope::from_text(format!("{team}/{model}/{adapter}"), weights)
    }

    /// The scope as the header `x-cache-scope` names it.
    pub fn from_text(text: String, weights: WeightsVersion) -> PromptScope {
        let seed = xxh3_64_with_seed(text.as_bytes(), weights.0);
        PromptScope { text, seed }
    }

    /// The text of the header `x-cache-scope`.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// The hash that the chain starts from.
    pub(crate) fn seed(&self) -> u64 {
        self.seed
    }
}
