//! A team of the operators' configuration.

use fulmargate_admission::TeamQuota;
use fulmargate_names::TeamName;

use crate::QuotaFault;

/// A team and its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRule {
    /// The team's name.
    pub name: TeamName,
    /// Keys its callers may use.
    pub keys: Vec<String>,
    /// Goes before the route's priority.
    pub priority: Option<u8>,
    /// Shares no cached prompt with any other team.
    pub is_isolated: bool,
    /// What it may use; none for no limit.
    pub quota: Option<TeamQuota>,
    /// Its quota cannot be read: the one that was in force before stays.
    pub quota_fault: Option<QuotaFault>,
}
