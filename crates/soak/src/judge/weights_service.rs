//! Prompts that are served beside series of weights versions.

use std::time::Duration;

use tokio::time::Instant;

use crate::LinkPlace;
use crate::Promise;
use crate::SoakFault;
use crate::fault_log::FaultSpan;
use crate::judge::CALM_AFTER;
use crate::judge::SoakJudge;
use crate::request_record::RequestEnd;
use crate::request_record::RequestRecord;
use crate::served_count::ServedCount;
use crate::soak_world::DESKS;
use crate::soak_world::TAKEN_KEY;

/// Share of the prompts that are served.
const MIN_SERVED_SHARE: f64 = 0.9;
/// Prompts from which on their share is judged.
const MIN_PROMPTS: usize = 30;
/// From when on, and until when, prompts are judged after all routers were killed and are back.
const BACK_AFTER: Duration = Duration::from_millis(1_500);
const BACK_UNTIL: Duration = Duration::from_millis(4_500);

impl SoakJudge<'_> {
    /// Nine tenths of the prompts are served at calm routers, and soon after all routers were killed, while engines are
    /// well.
    pub(super) fn judge_weights_service(&mut self) {
        let is_played = |span: &FaultSpan| matches!(span.fault, SoakFault::NameVersion(_));
        if !self.evidence.spans.iter().any(is_played) {
            return;
        }
        let records = self.evidence.records.iter().filter(|record| self.is_kept_prompt(record));
        let (mut calm, mut after_kills) = (ServedCount::default(), ServedCount::default());
        for record in records {
            if self.is_calm(record.router, record.sent, record.ended) {
                calm.add(record.is_served());
            } else if self.is_after_kills(record) {
                after_kills.add(record.is_served());
            }
        }
        let weights = &mut self.judged.weights;
        (weights.calm, weights.after_kills) = (calm, after_kills);
        let counts = [("at calm routers", calm), ("after all routers were killed", after_kills)];
        for (when, count) in counts {
            if MIN_PROMPTS <= count.sent && count.share() < MIN_SERVED_SHARE {
                self.note(Promise::ServedPrompts, format!("{count} prompts served {when}"));
            }
        }
    }

    /// Whether it is a prompt that its caller waited for, with a key in force, while engines were well.
    fn is_kept_prompt(&self, record: &RequestRecord) -> bool {
        let from = record.sent.checked_sub(CALM_AFTER).unwrap_or(record.sent);
        let has_key = record.key != TAKEN_KEY || self.evidence.word.key_taken.is_none();
        record.kind.is_stream()
            && has_key
            && !matches!(record.end, RequestEnd::Left)
            && !self.are_engines_harmed(from, record.ended)
    }

    fn are_engines_harmed(&self, from: Instant, until: Instant) -> bool {
        self.evidence.spans.iter().any(|span| {
            let is_engine = match span.fault {
                SoakFault::Link(LinkPlace::Server(number), _) => DESKS <= number,
                SoakFault::Server(number, _) => DESKS <= number,
                _ => false,
            };
            is_engine && span.overlaps(from, until)
        })
    }

    /// Whether all routers were killed a short while ago, and nothing else disturbs the router.
    fn is_after_kills(&self, record: &RequestRecord) -> bool {
        self.evidence.spans.iter().any(|kill| {
            let Some(back) = kill.until.filter(|_| kill.fault == SoakFault::KillAll) else {
                return false;
            };
            let is_judged = back + BACK_AFTER <= record.sent && record.sent <= back + BACK_UNTIL;
            let is_disturbed = self.evidence.spans.iter().any(|span| {
                span.from != kill.from
                    && span.fault.disturbs(record.router)
                    && span.overlaps(kill.from, record.ended)
            });
            is_judged && !is_disturbed
        })
    }
}
