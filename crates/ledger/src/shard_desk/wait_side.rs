//! Who waits at the desk, and for how long.

use fulmargate_names::Disposition;
use tokio::time::Instant;

use super::BookPhase;
use super::ShardDesk;
use super::answer;
use crate::CallOutcome;
use crate::ClaimVerdict;
use crate::KeyHash;
use crate::KeyView;
use crate::KnownKey;

impl ShardDesk {
    /// Gives up the wait for a claim. One that may have landed stays known, and is released if it is found to have won.
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
            let held = self.book.holds(*key);
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

    /// Looks again at the calls whose key changed its state, or whose claimer is gone.
    pub(super) fn decide_waiters(&mut self, now: Instant) {
        if self.phase != BookPhase::Complete {
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

    /// The book isn't read to its end, so nothing can be said of any key.
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
            let verdict = match (self.book.view(key, call.print), outcome) {
                (KeyView::Reused, _) => ClaimVerdict::Reused,
                (_, CallOutcome::Ran(ran)) => ClaimVerdict::Done(ran.clone()),
                (_, CallOutcome::Unknown) => ClaimVerdict::Unknown,
            };
            answer(call.reply, verdict);
        }
    }
}
