//! Messages about suspects between routers.

use std::time::Duration;

use fulmargate_names::ServerName;

use crate::CrashId;
use crate::Fingerprint;

/// A router's knowledge of a request. Merging is commutative and idempotent, so messages may arrive
/// late, repeatedly or out of order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectVerdict {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Standing of the request at the sender.
    pub standing: VerdictStanding,
    /// Server on which the sender currently runs the request.
    pub running_on: Option<ServerName>,
    /// Crashes that count against the request.
    pub crashes: Vec<CrashSighting>,
    /// Crashes that the request was cleared of.
    pub cleared: Vec<CrashId>,
}

/// Standing of a request at a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictStanding {
    /// No crash counts against it.
    Innocent,
    /// It was in flight on a server that crashed.
    Suspect,
    /// It crashes the servers that run it.
    Convicted,
}

/// One crash that counts against a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashSighting {
    /// The crash.
    pub crash: CrashId,
    /// Time since the crash was detected.
    pub age: Duration,
    /// Whether the crash is confirmed.
    pub proof: CrashProof,
}

/// Evidence of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashProof {
    /// A connection broke; the server may still be running.
    Broken,
    /// The server's process has ended.
    Confirmed,
}
