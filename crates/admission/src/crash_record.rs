//! Record of one crash.

use indexmap::IndexSet;
use tokio::time::Instant;

use crate::CrashProof;
use crate::Fingerprint;

/// One crash and its suspects.
#[derive(Debug)]
pub(crate) struct CrashRecord {
    /// The requests that may have caused it.
    pub(crate) fingerprints: IndexSet<Fingerprint>,
    /// The request that was convicted of it.
    pub(crate) culprit: Option<Fingerprint>,
    /// Whether the crash is confirmed.
    pub(crate) proof: CrashProof,
    /// When it was first reported.
    pub(crate) at: Instant,
}

impl CrashRecord {
    /// Creates an unconfirmed crash without suspects.
    pub(crate) fn new(at: Instant) -> CrashRecord {
        CrashRecord { fingerprints: IndexSet::new(), culprit: None, proof: CrashProof::Broken, at }
    }
}
