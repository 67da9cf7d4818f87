//! Decisions of a gate.

use std::time::Duration;

use fulmargate_names::ErrorKind;

use crate::GateTicket;
use crate::GateWaiter;

/// Result of entering a gate.
#[derive(Debug)]
pub enum GateEntry {
    /// Decided immediately.
    Decided(GateOutcome),
    /// The request is queued.
    Queued(GateWaiter),
}

/// A gate's decision on a request. Each request gets exactly one.
#[derive(Debug)]
pub enum GateOutcome {
    /// The request may be sent, and is in flight until the ticket is dropped.
    Admitted(GateTicket),
    /// The request was rejected without being sent.
    Refused(GateRefusal),
    /// The gate is closed: select another server. The request was not sent.
    Moved(MoveReason),
}

/// Why a request was rejected, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateRefusal {
    /// `QueueFull` or `DeadlineUnmet`.
    pub kind: ErrorKind,
    /// Estimated time until the queue is short enough.
    pub retry_after: Duration,
}

/// Why a server accepts no new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveReason {
    /// Ejected for its failures.
    Ejected,
    /// Shutting down or drained.
    Leaving,
    /// Removed from the configuration.
    Gone,
}
