//! Placement policies.

use serde::Deserialize;
use serde::Serialize;

/// How a model's requests are placed; all but the first are baselines to compare with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// The least estimated cost among the prompt's preferred servers.
    #[default]
    Cost,
    /// Each server in turn.
    RoundRobin,
    /// The server with the least load.
    LeastLoad,
    /// The prompt's first preferred server, whatever its load.
    PrefixHash,
}
