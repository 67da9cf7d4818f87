//! Team usage reports exchanged between routers.

use fulmargate_names::TeamName;

/// Usage report that a router sends to the others about once per second.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageReport {
    /// Digest of the routers that the sender knows and those that are reachable from it. Routers
    /// share limits only with routers that report the same digest.
    pub view_digest: u64,
    /// The teams with the highest demand at the sender relative to their limits.
    pub teams: Vec<TeamUsage>,
}

/// Demand of one team at one router.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamUsage {
    /// The team.
    pub team: TeamName,
    /// Requests per second, including refused ones.
    pub requests_per_s: f32,
    /// Prompt tokens per second, including those of refused requests.
    pub prompt_tokens_per_s: f32,
}
