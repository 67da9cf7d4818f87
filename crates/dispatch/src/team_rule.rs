//! Teams in the operators' configuration.

use fulmargate_admission::TeamQuota;
use fulmargate_names::TeamName;

use crate::QuotaFault;

/// A team with its keys and quota.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRule {
    /// The team's name.
    pub name: TeamName,
    /// Keys that authenticate its callers.
    pub keys: Vec<String>,
    /// Overrides the route's priority.
    pub priority: Option<u8>,
    /// Whether its cached prompts are not shared with other teams.
    pub is_isolated: bool,
    /// Its quota; `None` means unlimited.
    pub quota: Option<TeamQuota>,
    /// Set if its configured quota is invalid. The previous quota then stays in force.
    pub quota_fault: Option<QuotaFault>,
}
