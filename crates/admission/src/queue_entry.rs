//! A request in a gate's queue.

use fulmargate_names::TeamName;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::GateOutcome;

/// A request in a gate's queue. The code that removes the entry from the queue must send the
/// outcome.
#[derive(Debug)]
pub(crate) struct QueueEntry {
    /// Sequence number at the gate, in order of arrival.
    pub(crate) id: u64,
    /// Team of the caller.
    pub(crate) team: TeamName,
    /// Priority of the request's class.
    pub(crate) priority: u8,
    /// Number of prompt tokens to prefill.
    pub(crate) prefill_tokens: u32,
    /// Cost for fair queueing among teams.
    pub(crate) cost: u64,
    /// Latest time to send the request so that its first token meets the deadline.
    pub(crate) expires_at: Instant,
    /// Receives the outcome.
    pub(crate) sender: oneshot::Sender<GateOutcome>,
}
