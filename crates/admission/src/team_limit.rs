//! What a team may use.

use std::time::Duration;

/// What a team may use of the whole system.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamLimit {
    /// Requests a second; infinite for no limit.
    pub requests_per_s: f64,
    /// Prompt tokens a second; infinite for no limit.
    pub prompt_tokens_per_s: f64,
}

/// A team is over its limit: `ErrorKind::TeamLimit`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitRefusal {
    /// When the same request would be admitted if the team asks for nothing else.
    pub retry_after: Duration,
}
