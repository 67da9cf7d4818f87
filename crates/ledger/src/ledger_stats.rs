//! Counters of the coordinator.

/// Counters of a coordinator since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LedgerStats {
    /// Calls that asked for a claim.
    pub claims: u64,
    /// Claims granted to a caller.
    pub wins: u64,
    /// Claims released.
    pub releases: u64,
    /// Claims put in records.
    pub claims_appended: u64,
    /// Appends started, including retries.
    pub appends: u64,
    /// Bytes of the records of these appends.
    pub append_bytes: u64,
    /// Appends that failed.
    pub appends_failed: u64,
    /// Claims renewed.
    pub renewals: u64,
    /// Times the table was lost to retention.
    pub books_lost: u64,
}
