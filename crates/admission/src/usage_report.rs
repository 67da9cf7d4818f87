//! What routers tell each other of their teams' use.

use fulmargate_names::TeamName;

/// What one router tells the others once a second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageReport {
    /// Stands for the routers that the sender knows and hears: routers share a limit only with
    /// those that see the same ones.
    pub reach: u64,
    /// The teams that ask the sender for most of their limits.
    pub teams: Vec<TeamUsage>,
}

/// What one team asks of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamName,
    /// Requests a second, refused ones included.
    pub requests_per_s: f32,
    /// Prompt tokens a second, refused ones included.
    pub prompt_tokens_per_s: f32,
}
