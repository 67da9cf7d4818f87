//! Placement policies.

use std::str::FromStr;

/// A placement policy. All but [`PolicyKind::Cost`] are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum PolicyKind {
    /// Lowest estimated cost, weighted by request class.
    #[default]
    Cost,
    /// Servers in rotation.
    RoundRobin,
    /// The server with the fewest requests.
    LeastLoad,
    /// The server selected by the hash of the prompt's anchor.
    PrefixHash,
}

impl PolicyKind {
    /// All policies.
    pub const ALL: [PolicyKind; 4] =
        [PolicyKind::Cost, PolicyKind::RoundRobin, PolicyKind::LeastLoad, PolicyKind::PrefixHash];

    /// The policy's name in the configuration.
    pub fn name(self) -> &'static str {
        match self {
            PolicyKind::Cost => "cost",
            PolicyKind::RoundRobin => "round_robin",
            PolicyKind::LeastLoad => "least_load",
            PolicyKind::PrefixHash => "prefix_hash",
        }
    }
}

/// The text is not the name of a policy.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("unknown policy `{text}`; expected one of cost, round_robin, least_load, prefix_hash")]
pub struct PolicyError {
    text: String,
}

impl FromStr for PolicyKind {
    type Err = PolicyError;

    fn from_str(text: &str) -> Result<PolicyKind, PolicyError> {
        PolicyKind::ALL
            .into_iter()
            .find(|policy| policy.name() == text)
            .ok_or_else(|| PolicyError { text: text.to_owned() })
    }
}
