//! Numbers of one gate.

use crate::MoveReason;

/// A gate's numbers at one moment, for metrics and for the choice of a server.
#[derive(Clone, Copy, Debug)]
pub struct GateFigures {
    /// Requests under way.
    pub under_way: u32,
    /// Their prompt tokens that wait for prefill.
    pub prefill_tokens: u64,
    /// Requests that wait in the queue.
    pub waiting: usize,
    /// Most requests under way at present.
    pub requests_limit: u32,
    /// Most prompt tokens waiting for prefill at present.
    pub tokens_limit: u64,
    /// Why it takes nothing new.
    pub closed: Option<MoveReason>,
}
