//! A queued request.

use std::sync::Arc;

use fulmargate_names::TeamName;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::GateOutcome;
use crate::MoveReason;
use crate::ServerGate;

/// A request in a gate's queue. Dropping it removes the request from the queue.
#[derive(Debug)]
pub struct GateWaiter {
    gate: Arc<ServerGate>,
    id: u64,
    priority: u8,
    team: TeamName,
    expires_at: Instant,
    receiver: oneshot::Receiver<GateOutcome>,
}

impl GateWaiter {
    pub(crate) fn new(
        gate: Arc<ServerGate>,
        id: u64,
        priority: u8,
        team: TeamName,
        expires_at: Instant,
        receiver: oneshot::Receiver<GateOutcome>,
    ) -> GateWaiter {
        GateWaiter { gate, id, priority, team, expires_at, receiver }
    }

    /// When the request expires: if sent later, its first token would miss the deadline.
    pub fn expires_at(&self) -> Instant {
        self.expires_at
    }

    /// Waits for the decision, at most until the request expires.
    ///
    /// Dropping the future removes the request from the queue. If the request has already been
    /// admitted, its ticket is dropped and the slot goes to the next request.
    pub async fn wait(mut self) -> GateOutcome {
        let decision = tokio::time::timeout_at(self.expires_at, &mut self.receiver).await;
        if let Ok(decision) = decision {
            return decision.unwrap_or(GateOutcome::Moved(MoveReason::Gone));
        }
        let refusal = self.gate.expire(self.priority, &self.team, self.id, Instant::now());
        if let Some(refusal) = refusal {
            return GateOutcome::Refused(refusal);
        }
        // Another thread has removed the entry and is about to send its decision.
        (&mut self.receiver).await.unwrap_or(GateOutcome::Moved(MoveReason::Gone))
    }
}

impl Drop for GateWaiter {
    fn drop(&mut self) {
        self.gate.cancel(self.priority, &self.team, self.id);
    }
}
