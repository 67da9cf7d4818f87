//! What routers tell each other of a suspect.

use std::time::Duration;

use fulmargate_names::ServerName;

use crate::CrashId;
use crate::Fingerprint;

/// What one router knows of a request. Merging is a union: it may come late, twice or crossed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectVerdict {
    /// The request.
    pub print: Fingerprint,
    /// What the sender holds of it.
    pub standing: VerdictStanding,
    /// Where the sender runs it at this moment.
    pub running_on: Option<ServerName>,
    /// The crashes that count against it.
    pub crashes: Vec<CrashSighting>,
    /// The crashes that it turned out not to have caused.
    pub cleared: Vec<CrashId>,
}

/// What a router holds of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictStanding {
    /// Nothing is open against it.
    Innocent,
    /// It was under way at a server that crashed.
    Suspect,
    /// It crashes the servers that run it.
    Convicted,
}

/// One crash that counts against a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashSighting {
    /// The crash.
    pub crash: CrashId,
    /// How long ago it was seen.
    pub age: Duration,
    /// How sure it is.
    pub proof: CrashProof,
}

/// How sure a crash is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CrashProof {
    /// The connection broke; the server may still live.
    Broken,
    /// The server's process has ended.
    Confirmed,
}
