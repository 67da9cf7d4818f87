//! Commands to the coordinator.

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::CallOutcome;
use crate::ClaimKey;
use crate::ClaimVerdict;
use crate::KeyHash;
use crate::KnownKey;
use crate::RequestPrint;

/// A call that waits for its claim.
#[derive(Debug)]
pub struct ClaimCall {
    /// The caller's key.
    pub key: ClaimKey,
    /// The caller's request.
    pub print: RequestPrint,
    /// When a verdict must be given.
    pub deadline: Instant,
    /// Where the verdict goes.
    pub reply: oneshot::Sender<ClaimVerdict>,
}

/// A router that is about to answer `not-run` for a key.
#[derive(Debug)]
pub struct KnownCall {
    /// The caller's key.
    pub key: ClaimKey,
    /// When the answer must be given.
    pub deadline: Instant,
    /// Where the answer goes.
    pub reply: oneshot::Sender<KnownKey>,
}

/// A command to the coordinator.
#[derive(Debug)]
pub enum LedgerCommand {
    /// To claim a key.
    Claim(ClaimCall),
    /// To read the log to its end and say whether a key is claimed.
    Known(KnownCall),
    /// What became of a claimed call.
    Outcome {
        /// The key.
        key: KeyHash,
        /// The claimer's number of the claim.
        number: u64,
        /// What became of the call.
        outcome: CallOutcome,
    },
    /// That a claimed call was not sent and won't be.
    Release {
        /// The key.
        key: KeyHash,
        /// The claimer's number of the claim.
        number: u64,
    },
    /// That a router's process has ended.
    ClaimerGone {
        /// Its host.
        host: HostName,
        /// Its start.
        incarnation: Incarnation,
    },
}
