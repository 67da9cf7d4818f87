//! Numbers that shape a gate.

use std::time::Duration;

/// How a gate limits what is under way at its backend server.
#[derive(Clone, Copy, Debug)]
pub struct GateConf {
    /// Requests under way that a fresh server may have.
    pub first_requests: u32,
    /// The request limit never falls below this; at least 1.
    pub least_requests: u32,
    /// The request limit never rises above this.
    pub most_requests: u32,
    /// Prompt tokens waiting for prefill that a fresh server may have.
    pub first_tokens: u32,
    /// The token limit never falls below this.
    pub least_tokens: u32,
    /// The token limit never rises above this.
    pub most_tokens: u32,
    /// Waiting inside the server that the limits aim at: enough to keep it busy, and no more,
    /// for what waits there can no longer be overtaken, refused or moved.
    pub target_wait: Duration,
    /// Priorities above this number leave some of the limits to more urgent requests.
    pub urgent_priority: u8,
    /// Share of the limits that all less urgent requests together may use.
    pub lesser_share: f64,
    /// Share of the limits that one team may use.
    pub team_share: f64,
    /// Added to each request's prompt tokens when teams are weighed against each other.
    pub overhead_tokens: u32,
}

impl GateConf {
    /// For model engines.
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

    /// For plain services, which have no prompts.
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
