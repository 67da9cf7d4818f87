//! What is known of one crash.

use indexmap::IndexSet;
use tokio::time::Instant;

use crate::CrashProof;
use crate::Fingerprint;

/// What is known of one crash.
#[derive(Debug)]
pub(crate) struct CrashRecord {
    /// The requests that it may be due to.
    pub(crate) prints: IndexSet<Fingerprint>,
    /// The request that was convicted of it.
    pub(crate) culprit: Option<Fingerprint>,
    /// How sure it is.
    pub(crate) proof: CrashProof,
    /// When it was first heard of.
    pub(crate) at: Instant,
}

impl CrashRecord {
    /// A crash without suspects yet.
    pub(crate) fn new(at: Instant) -> CrashRecord {
        CrashRecord { prints: IndexSet::new(), culprit: None, proof: CrashProof::Broken, at }
    }
}
