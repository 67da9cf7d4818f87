//! What routers exchange about requests that crash servers.

use fulmargate_names::WeightsVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::ServerKey;

/// Part of a gossip message on suspected requests. Merging is a union: reports may come late, twice or out of order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Suspected requests.
    pub suspects: Vec<SuspectNotice>,
    /// Connections that the sender tried to servers which may have crashed.
    pub probes: Vec<ProbeNotice>,
    /// Suspected parts of prompts, by their keys. Encoded in an extension of its own, as earlier versions do not know it.
    #[serde(skip)]
    pub parts: Vec<SuspectNotice>,
}

impl SuspectReport {
    /// Whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.probes.is_empty() && self.parts.is_empty()
    }
}

/// What the sender knows of one request or part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNotice {
    /// Fingerprint of the request, or key of the part.
    pub fingerprint: u128,
    /// Server incarnations that crashed while they ran it.
    pub crashes: Vec<CrashNotice>,
    /// Crashes that it was cleared of, as a server has completed it since.
    pub cleared: Vec<ServerKey>,
    /// The sender's claim to run it, if any.
    pub claim: Option<ClaimNotice>,
}

/// A crash that counts against a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNotice {
    /// The server incarnation.
    pub server: ServerKey,
    /// Milliseconds since the crash.
    pub age_ms: u32,
    /// Whether the crash is confirmed.
    pub proof: CrashProof,
    /// Milliseconds from the begin of the latest run of the part there to the crash. Encoded in the extension of parts.
    #[serde(skip)]
    pub run_ms: u32,
    /// Weights of that run. Encoded in the same extension.
    #[serde(skip)]
    pub weights: Option<WeightsVersion>,
}

/// Evidence of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum CrashProof {
    /// A connection broke, and a new one failed.
    Suspected,
    /// The server has ended.
    Confirmed,
}

/// A host's claim to run a suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimNotice {
    /// How far it is.
    pub stage: ClaimStage,
    /// The server to run it at; `None` from earlier versions. Encoded in an extension of its own, as they do not know it.
    #[serde(skip)]
    pub server: Option<ServerKey>,
}

/// How far a host is in running a suspected request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStage {
    /// It wants to run it, and waits until the others know.
    Waiting,
    /// It runs it.
    Running,
}

/// A connection attempt to a server that may have crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeNotice {
    /// The server incarnation.
    pub server: ServerKey,
    /// Whether the connection was opened.
    pub is_reached: bool,
    /// Milliseconds since the attempt.
    pub age_ms: u32,
    /// Whether the sender reaches another server of the service. Encoded in an extension of its own, as earlier versions
    /// do not know it.
    #[serde(skip)]
    pub reaches_service: bool,
    /// Whether the sender checks the server, and asks the others to try it. Encoded in the same extension.
    #[serde(skip)]
    pub is_question: bool,
}

/// Outcome of a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The connection was opened.
    Reached,
    /// It was not, and the host reaches another server of the service.
    Failed,
    /// It was not, and the host is not known to reach the service: its own links may be cut.
    Isolated,
}

impl ProbeNotice {
    /// The outcome of the attempt.
    pub fn outcome(&self) -> ProbeOutcome {
        match (self.is_reached, self.reaches_service) {
            (true, _) => ProbeOutcome::Reached,
            (false, true) => ProbeOutcome::Failed,
            (false, false) => ProbeOutcome::Isolated,
        }
    }
}

/// What the store keeps of one suspected request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSuspect {
    /// Fingerprint of the request.
    pub fingerprint: u128,
    /// Confirmed crashes.
    pub crashes: Vec<ServerKey>,
    /// Crashes that it was cleared of.
    pub cleared: Vec<ServerKey>,
    /// Time of the last crash, in seconds since 1970.
    pub last_crash_s: u64,
}

/// What the store keeps of one suspected part of prompts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPart {
    /// Key of the part.
    pub part: u128,
    /// Confirmed crashes.
    pub crashes: Vec<StoredPartCrash>,
    /// Crashes that it was cleared of.
    pub cleared: Vec<ServerKey>,
}

/// A confirmed crash of a suspected part, in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredPartCrash {
    /// The server incarnation.
    pub server: ServerKey,
    /// Time of the crash, in milliseconds since 1970.
    pub at_ms: u64,
    /// Milliseconds from the begin of the latest run of the part there to the crash.
    pub run_ms: u32,
    /// Weights of that run.
    pub weights: Option<WeightsVersion>,
}
