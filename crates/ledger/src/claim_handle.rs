//! The way from any thread to the claim coordinator.

use std::sync::Arc;

use fulmargate_names::Disposition;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::ClaimCall;
use crate::ClaimKey;
use crate::ClaimVerdict;
use crate::KeyHash;
use crate::KnownCall;
use crate::KnownKey;
use crate::LedgerCommand;
use crate::RequestPrint;

/// The way from any thread to the claim coordinator.
#[derive(Clone, Debug)]
pub struct ClaimHandle {
    shards: Arc<[UnboundedSender<LedgerCommand>]>,
}

impl ClaimHandle {
    pub(crate) fn new(shards: Vec<UnboundedSender<LedgerCommand>>) -> ClaimHandle {
        ClaimHandle { shards: Arc::from(shards) }
    }

    /// Claims the key of a call that must not run twice. Dropping the future gives the claim back, unless it was won and sent.
    pub async fn claim(
        &self,
        key: ClaimKey,
        print: RequestPrint,
        deadline: Instant,
    ) -> ClaimVerdict {
        let began = Instant::now();
        let (reply, answer) = oneshot::channel();
        let call = ClaimCall { key, print, deadline, reply };
        // Both fail only when the coordinator has ended, because the process stops.
        let _ = self.shard(key.hash).send(LedgerCommand::Claim(call));
        let verdict = answer.await.unwrap_or(ClaimVerdict::LogOut(Disposition::Unknown));
        metrics::histogram!("fulmargate_claim_seconds").record(began.elapsed().as_secs_f64());
        verdict
    }

    /// To be asked before `not-run` is answered to a call that brings a key but was not claimed, such as one that meets a full
    /// queue: an earlier try of it may have run through any router.
    pub async fn known(&self, key: ClaimKey, deadline: Instant) -> KnownKey {
        let (reply, answer) = oneshot::channel();
        let _ = self.shard(key.hash).send(LedgerCommand::Known(KnownCall { key, deadline, reply }));
        answer.await.unwrap_or(KnownKey::Blind)
    }

    /// Tells that a router's process has ended, so that nobody waits for its outcomes.
    pub fn claimer_gone(&self, host: &HostName, incarnation: Incarnation) {
        for shard in self.shards.iter() {
            let _ = shard.send(LedgerCommand::ClaimerGone { host: host.clone(), incarnation });
        }
    }

    fn shard(&self, key: KeyHash) -> &UnboundedSender<LedgerCommand> {
        let KeyHash([low, high, ..]) = key;
        let index = usize::from(u16::from_le_bytes([low, high])) % self.shards.len();
        &self.shards[index]
    }
}
