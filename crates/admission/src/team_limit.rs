//! Rate limit of a team.

use std::time::Duration;

/// Rate limit of a team over all routers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Requests per second; infinite for no limit.
    pub requests_per_s: f64,
    /// Prompt tokens per second; infinite for no limit.
    pub prompt_tokens_per_s: f64,
}

/// Refusal of a request whose team exceeds its limit, reported as `ErrorKind::TeamLimit`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRefusal {
    /// Time until the request would be admitted if the team sends no other requests.
    pub retry_after: Duration,
}
