//! One waiting request.

use fulmargate_names::TeamName;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::GateOutcome;

/// One waiting request. Whoever takes it out of the queue owns its sender and so its only answer.
#[derive(Debug)]
pub(crate) struct QueueEntry {
    /// Place and time: rises with each entry of a gate.
    pub(crate) id: u64,
    /// Who calls.
    pub(crate) team: TeamName,
    /// Its priority.
    pub(crate) priority: u8,
    /// Prompt tokens to compute.
    pub(crate) prefill_tokens: u32,
    /// What it counts when teams are weighed against each other.
    pub(crate) cost: u64,
    /// Sent later than this, its first token would be late.
    pub(crate) give_up: Instant,
    /// Where the answer goes.
    pub(crate) sender: oneshot::Sender<GateOutcome>,
}
