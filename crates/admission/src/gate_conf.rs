//! Settings of a gate.

use std::time::Duration;

/// Limits that a gate applies to the in-flight requests of its backend server.
#[derive(Clone, Copy, Debug)]
pub struct GateConf {
    /// Request limit of a server that has just started.
    pub first_requests: u32,
    /// Lower bound of the request limit; at least 1.
    pub least_requests: u32,
    /// Upper bound of the request limit.
    pub most_requests: u32,
    /// Limit on prompt tokens that wait for prefill, of a server that has just started.
    pub first_tokens: u32,
    /// Lower bound of the token limit.
    pub least_tokens: u32,
    /// Upper bound of the token limit.
    pub most_tokens: u32,
    /// Target queueing time inside the server. Requests queued there can no longer be reordered,
    /// refused or moved, so it should only be long enough to keep the server busy.
    pub target_wait: Duration,
    /// Highest priority number that counts as urgent and may use the whole limits.
    pub urgent_priority: u8,
    /// Share of the limits that all non-urgent requests together may use.
    pub lesser_share: f64,
    /// Share of the limits that one team may use.
    pub team_share: f64,
    /// Added to each request's prompt tokens in the fair queueing cost.
    pub overhead_tokens: u32,
}

impl GateConf {
    /// Defaults for inference engines.
    pub fn engine() -> GateConf {
        GateConf {
            first_requests: 4,
            least_requests: 1,
            most_requests: 512,
            first_tokens: 8_192,
            least_tokens: 512,
            most_tokens: 1 << 20,
            target_wait: Duration::from_millis(300),
            urgent_priority: 0,
            lesser_share: 0.8,
            team_share: 0.9,
            overhead_tokens: 64,
        }
    }

    /// Defaults for services without prompts.
    pub fn service() -> GateConf {
        GateConf {
            first_requests: 16,
            least_requests: 4,
            target_wait: Duration::from_millis(250),
            overhead_tokens: 1,
            ..GateConf::engine()
        }
    }
}

impl Default for GateConf {
    fn default() -> GateConf {
        GateConf::engine()
    }
}
