//! Placement plan for the prefix groups with the highest load.

use fulmargate_names::PromptHash;
use fulmargate_names::ServerName;

/// A server's share of a group's prompts.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerShare {
    /// The server's name. A share remains valid when the server restarts.
    pub server: ServerName,
    /// Fraction of the group's prompts; the fractions of a group add up to 1.
    pub share: f64,
}

/// The servers assigned to one group.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixSpread {
    /// The group's prefix.
    pub group: PromptHash,
    /// The servers and their shares.
    pub shares: Vec<ServerShare>,
}

/// Assignment of the groups with the highest load to servers. All other groups are placed on the first server of their
/// preference list. One router computes the plan for all routers, so that they send the same prefix
/// to the same servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpreadPlan {
    /// Increases with each change.
    pub version: u64,
    /// The groups, sorted by prefix.
    pub spreads: Vec<PrefixSpread>,
}

impl SpreadPlan {
    /// The servers assigned to the group, or `None` if it is not in the plan.
    pub fn spread(&self, group: PromptHash) -> Option<&PrefixSpread> {
        let place = self.spreads.binary_search_by_key(&group, |spread| spread.group).ok()?;
        Some(&self.spreads[place])
    }
}
