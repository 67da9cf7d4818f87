//! What a record does to the table.

use fulmargate_names::LogOffset;

use crate::CallOutcome;
use crate::ClaimerId;
use crate::KeyHash;

/// What one record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordEffect {
    /// It was taken in.
    Folded {
        /// Who wrote it.
        claimer: ClaimerId,
        /// The claimer's number of it.
        sequence: u64,
        /// What its entries did, in their order.
        changes: Vec<TableChange>,
    },
    /// It is void: it landed twice or after a later one of its claimer.
    Void,
    /// It is no record of a claim stream; every reader passes over it.
    Unreadable,
}

/// What one entry did; entries that did nothing are left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableChange {
    /// The claim holds its key.
    Won {
        /// The key.
        key: KeyHash,
        /// The claimer's number of the claim.
        number: u64,
    },
    /// Another claim held the key.
    Lost {
        /// The key.
        key: KeyHash,
        /// The claimer's number of the claim.
        number: u64,
    },
    /// The key was too old when the claim landed.
    TooOld {
        /// The key.
        key: KeyHash,
        /// The claimer's number of the claim.
        number: u64,
    },
    /// The outcome of the key's call is known.
    Settled {
        /// The key.
        key: KeyHash,
        /// What became of the call.
        outcome: CallOutcome,
    },
    /// The key is free again.
    Released {
        /// The key.
        key: KeyHash,
    },
}

/// Why a record cannot be folded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum TableError {
    /// The records from `next` to before `offset` are missing.
    #[display("the records from {next} to before {offset} are missing")]
    Gap {
        /// The offset that the table has to read next.
        next: LogOffset,
        /// The offset of the record.
        offset: LogOffset,
    },
    /// Written by a later build in a layout that this one does not support.
    #[display("the record at {offset} has layout {layout}, which this build does not know")]
    LaterLayout {
        /// The offset of the record.
        offset: LogOffset,
        /// Its layout.
        layout: u64,
    },
}
