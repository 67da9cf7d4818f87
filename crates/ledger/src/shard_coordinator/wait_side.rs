//! Waiting calls and their deadlines.

use fulmargate_names::Disposition;
use tokio::time::Instant;

use super::ShardCoordinator;
use super::TablePhase;
use super::answer;
use crate::CallOutcome;
use crate::ClaimVerdict;
use crate::KeyHash;
use crate::KeyView;
use crate::KnownKey;

impl ShardCoordinator {
    /// Ends the wait for a claim. A claim that may have landed is kept, and released if it turns out to have won.
    pub(super) fn give_up(&mut self, number: u64, now: Instant) {
        let Some(claim) = self.own.get_mut(number) else {
            return;
        };
        let Some(call) = claim.call.take() else {
            return;
        };
        if claim.sequence.is_some() {
            return answer(call.reply, ClaimVerdict::LogOut(Disposition::Unknown));
        }
        self.queue.remove_claim(number);
        self.own.remove(number);
        let said = self.said_when_cut_off(call.key, now);
        answer(call.reply, ClaimVerdict::LogOut(said));
    }

    pub(super) fn expire_waiters(&mut self, now: Instant) {
        self.decide_waiters(now);
        for (key, calls) in &mut self.waiters {
            let held = self.table.holds(*key);
            let over = calls.extract_if(.., |call| call.deadline <= now || call.reply.is_closed());
            for call in over {
                let verdict = if held {
                    ClaimVerdict::Busy
                } else {
                    ClaimVerdict::LogOut(Disposition::Unknown)
                };
                answer(call.reply, verdict);
            }
        }
        self.waiters.retain(|_, calls| !calls.is_empty());
    }

    /// Decides the waiting calls again.
    pub(super) fn decide_waiters(&mut self, now: Instant) {
        if self.phase != TablePhase::Complete {
            return;
        }
        let keys: Vec<KeyHash> = self.waiters.keys().copied().collect();
        for key in keys {
            self.decide_key(key, now);
        }
    }

    pub(super) fn decide_key(&mut self, key: KeyHash, now: Instant) {
        let Some(calls) = self.waiters.swap_remove(&key) else {
            return;
        };
        for call in calls {
            self.decide(call, now);
        }
    }

    /// Until the table has reached the stream's end, no call can be decided.
    pub(super) fn expire_parked(&mut self, now: Instant) {
        let no_use = self.reads_out.is_long(self.settings.append_patience, now);
        let over = self
            .parked
            .extract_if(.., |call| no_use || call.deadline <= now || call.reply.is_closed());
        for call in over {
            answer(call.reply, ClaimVerdict::LogOut(Disposition::Unknown));
        }
    }

    pub(super) fn expire_knowns(&mut self, now: Instant) {
        let no_use = self.reads_out.is_long(self.settings.append_patience, now);
        let in_flight = self.barrier.iter_mut();
        for calls in in_flight.chain([&mut self.knowns]) {
            for call in calls.extract_if(.., |call| no_use || call.deadline <= now) {
                let _ = call.reply.send(KnownKey::Blind);
            }
        }
    }

    pub(super) fn settle_key(&mut self, key: KeyHash, outcome: &CallOutcome) {
        for call in self.waiters.swap_remove(&key).unwrap_or_default() {
            let verdict = match (self.table.view(key, call.print), outcome) {
                (KeyView::Reused, _) => ClaimVerdict::Reused,
                (_, CallOutcome::Ran(ran)) => ClaimVerdict::Done(ran.clone()),
                (_, CallOutcome::Unknown) => ClaimVerdict::Unknown,
            };
            answer(call.reply, verdict);
        }
    }
}
