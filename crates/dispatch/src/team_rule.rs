//! A team of the operators' configuration.

use fulmargate_names::TeamName;

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
}
