//! Snapshot of a gate's state.

use crate::MoveReason;

/// Snapshot of a gate's state, for metrics and server selection.
#[derive(Clone, Copy, Debug)]
pub struct GateSnapshot {
    /// Requests in flight.
    pub in_flight: u32,
    /// Prompt tokens of in-flight requests that wait for prefill.
    pub prefill_tokens: u64,
    /// Queued requests.
    pub queued: usize,
    /// Current limit on requests in flight.
    pub requests_limit: u32,
    /// Current limit on prompt tokens that wait for prefill.
    pub tokens_limit: u64,
    /// Why the gate is closed, if it is.
    pub closed: Option<MoveReason>,
}
