//! Result of a claim.

use fulmargate_names::Disposition;
use fulmargate_names::ErrorKind;

use crate::ClaimTicket;
use crate::RanOutcome;

/// Result of a claim.
#[derive(Debug)]
pub enum ClaimVerdict {
    /// The call may be sent, once.
    Won(ClaimTicket),
    /// The key's call was sent before and got this answer.
    Done(RanOutcome),
    /// The key's call has not ended by the deadline.
    Busy,
    /// The key was claimed before; its call may have run, and no outcome will follow.
    Unknown,
    /// The key is older than the ledger remembers.
    TooOld,
    /// The key belongs to another request.
    Reused,
    /// The log cannot be reached. This call was not sent and won't be; the disposition says whether it may have run.
    LogOut(Disposition),
}

/// State of a key for which the router is about to answer `not-run`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownKey {
    /// No claim holds it.
    Free,
    /// A claim holds it: `not-run` would be false, or may be.
    Claimed,
    /// The key is older than what the ledger remembers, so this isn't known.
    TooOld,
    /// The log cannot be reached, so this isn't known.
    Blind,
}

impl ClaimVerdict {
    /// The error for the caller, with its disposition; `None` if the caller gets an answer.
    pub fn error(&self) -> Option<(ErrorKind, Disposition)> {
        let kind = match self {
            ClaimVerdict::Won(_) | ClaimVerdict::Done(_) => return None,
            ClaimVerdict::LogOut(disposition) => return Some((ErrorKind::LedgerOut, *disposition)),
            ClaimVerdict::Unknown => ErrorKind::KeyUnknown,
            ClaimVerdict::Busy => ErrorKind::KeyBusy,
            ClaimVerdict::TooOld => ErrorKind::KeyTooOld,
            ClaimVerdict::Reused => ErrorKind::KeyReused,
        };
        Some((kind, kind.row().disposition))
    }
}
