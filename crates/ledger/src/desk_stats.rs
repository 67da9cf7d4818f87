//! What a desk has done.

/// What a desk has done, counted since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeskStats {
    /// Calls that asked for a claim.
    pub claims: u64,
    /// Claims handed to a caller.
    pub wins: u64,
    /// Claims given back.
    pub releases: u64,
    /// Claims put in records.
    pub claims_appended: u64,
    /// Appends begun, second tries of a record among them.
    pub appends: u64,
    /// Bytes of the records of these appends.
    pub append_bytes: u64,
    /// Appends that failed.
    pub appends_failed: u64,
    /// Claims written anew.
    pub renewals: u64,
    /// Times the book was lost to retention.
    pub books_lost: u64,
}
