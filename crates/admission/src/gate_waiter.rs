//! A request's place in a gate's queue.

use std::sync::Arc;

use fulmargate_names::TeamName;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::GateOutcome;
use crate::MoveReason;
use crate::ServerGate;

/// A request's place in a gate's queue; dropping it leaves the queue.
#[derive(Debug)]
pub struct GateWaiter {
    gate: Arc<ServerGate>,
    id: u64,
    priority: u8,
    team: TeamName,
    give_up: Instant,
    receiver: oneshot::Receiver<GateOutcome>,
}

impl GateWaiter {
    pub(crate) fn new(
        gate: Arc<ServerGate>,
        id: u64,
        priority: u8,
        team: TeamName,
        give_up: Instant,
        receiver: oneshot::Receiver<GateOutcome>,
    ) -> GateWaiter {
        GateWaiter { gate, id, priority, team, give_up, receiver }
    }

    /// When the request is given up: sent later, its first token would be late.
    pub fn give_up(&self) -> Instant {
        self.give_up
    }

    /// Waits for the decision, at most until the request is given up.
    ///
    /// Dropping the future leaves the queue; a decision to send that was made just before is
    /// dropped with it, and its room goes to the next request.
    pub async fn wait(mut self) -> GateOutcome {
        let decided = tokio::time::timeout_at(self.give_up, &mut self.receiver).await;
        if let Ok(decided) = decided {
            return decided.unwrap_or(GateOutcome::Moved(MoveReason::Gone));
        }
        let expired = self.gate.expire(self.priority, &self.team, self.id, Instant::now());
        if let Some(refusal) = expired {
            return GateOutcome::Refused(refusal);
        }
        // Another has taken it out of the queue and is about to send the decision.
        (&mut self.receiver).await.unwrap_or(GateOutcome::Moved(MoveReason::Gone))
    }
}

impl Drop for GateWaiter {
    fn drop(&mut self) {
        self.gate.abandon(self.priority, &self.team, self.id);
    }
}
