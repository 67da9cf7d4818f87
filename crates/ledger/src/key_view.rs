//! State of a key in the claim table.

use crate::RanPlace;

/// State of a key in the claim table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyView {
    /// No claim holds it.
    Free,
    /// It belongs to another request.
    Reused,
    /// Its call has not ended, as far as the table goes.
    Pending {
        /// When the claim landed.
        claimed_ms: u64,
        /// Whether the claimer's process has ended.
        claimer_gone: ClaimerGone,
    },
    /// Its call may have run.
    Unknown,
    /// Its call ran.
    Ran(RanPlace),
}

/// Whether a claimer's process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimerGone {
    /// It has, so no outcome will come.
    Yes,
    /// No record says so.
    No,
}
