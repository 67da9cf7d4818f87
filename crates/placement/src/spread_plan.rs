//! Which servers keep the groups that are much asked for.

use fulmargate_names::PromptHash;
use fulmargate_names::ServerName;

/// The share of a group's prompts that a server gets.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerShare {
    /// The server, by name: its share outlives its incarnation.
    pub server: ServerName,
    /// Its part; the parts of a group add up to 1.
    pub share: f64,
}

/// Where one group's prompts go.
#[derive(Clone, Debug, PartialEq)]
pub struct PrefixSpread {
    /// The group's prefix.
    pub group: PromptHash,
    /// Its servers.
    pub shares: Vec<ServerShare>,
}

/// Servers of the groups that are much asked for; all others are kept by the first server of their
/// preference list. One router makes it and all use it: routers that each made their own from what
/// they see would send the same prefix to different servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SpreadPlan {
    /// Grows with each change by its maker.
    pub version: u64,
    /// The groups, by prefix.
    pub spreads: Vec<PrefixSpread>,
}

impl SpreadPlan {
    /// The group's servers, if the plan has it.
    pub fn spread(&self, group: PromptHash) -> Option<&PrefixSpread> {
        let place = self.spreads.binary_search_by_key(&group, |spread| spread.group).ok()?;
        Some(&self.spreads[place])
    }
}
