//! What a gate answers.

use std::time::Duration;

use fulmargate_names::ErrorKind;

use crate::GateTicket;
use crate::GateWaiter;

/// The gate's first answer.
#[derive(Debug)]
pub enum GateEntry {
    /// Decided at once.
    Decided(GateOutcome),
    /// It waits in the queue.
    Queued(GateWaiter),
}

/// The gate's decision; each request gets exactly one.
#[derive(Debug)]
pub enum GateOutcome {
    /// It may be sent, and counts as under way while the ticket lives.
    Admitted(GateTicket),
    /// It was given up on, and was never sent.
    Refused(GateRefusal),
    /// The server takes nothing new: choose another one. It was never sent.
    Moved(MoveReason),
}

/// Why a request was given up on, and when it is worth asking again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateRefusal {
    /// `QueueFull` or `DeadlineUnmet`.
    pub kind: ErrorKind,
    /// When the queue will probably be short enough.
    pub retry_after: Duration,
}

/// Why a server takes nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// It fails too often.
    Ejected,
    /// It is leaving or drained.
    Leaving,
    /// It is no longer in the configuration.
    Gone,
}
