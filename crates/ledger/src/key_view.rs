//! What the book knows of a key.

use crate::RanPlace;

/// What the book knows of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyView {
    /// No claim holds it.
    Free,
    /// It belongs to another request.
    Reused,
    /// Its call has not ended, as far as the book goes.
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
    /// Not that the book knows.
    No,
}
