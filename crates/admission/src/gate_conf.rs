//! Settings of a gate.

use std::time::Duration;

/// Limits that a gate applies to the in-flight requests of its backend server.
#[derive(Clone, Copy, Debug)]
pub struct GateConf {
    /// Request limit of a server that has just started.
    pub initial_requests: u32,
    /// Lower bound of the request limit; at least 1.
    pub min_requests: u32,
    /// Upper bound of the request limit.
    pub max_requests: u32,
    /// Limit on prompt tokens that wait for prefill, of a server that has just started.
    pub initial_tokens: u32,
    /// Lower bound of the token limit.
    pub min_tokens: u32,
    /// Upper bound of the token limit.
    pub max_tokens: u32,
    /// Target queueing time inside the server. Requests queued there can no longer be reordered,
    /// refused or moved, so it should only be long enough to keep the server busy.
    pub target_wait: Duration,
    /// Highest priority number that counts as urgent and may use the whole limits.
    pub urgent_priority: u8,
    /// Share of the limits that all non-urgent requests together may use.
    pub non_urgent_share: f64,
    /// Share of the limits that one team may use.
    pub team_share: f64,
    /// Added to each request's prompt tokens in the fair queueing cost.
    pub overhead_tokens: u32,
}

impl GateConf {
    /// Defaults for inference engines.
    pub fn engine() -> GateConf {
        GateConf {
            initial_requests: 4,
            min_requests: 1,
            max_requests: 512,
            initial_tokens: 8_192,
            min_tokens: 512,
            max_tokens: 1 << 20,
            target_wait: Duration::from_millis(300),
            urgent_priority: 0,
            non_urgent_share: 0.8,
            team_share: 0.9,
            overhead_tokens: 64,
        }
    }

    /// Defaults for services without prompts.
    pub fn service() -> GateConf {
        GateConf {
            initial_requests: 16,
            min_requests: 4,
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
