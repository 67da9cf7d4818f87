//! Hosts that take all new connections.

use std::time::Duration;

use tokio::time::Instant;

use crate::Promise;
use crate::SoakFault;
use crate::judge::CALM_AFTER;
use crate::judge::SoakJudge;
use crate::request_record::RequestEnd;
use crate::request_record::RequestKind;
use crate::request_record::RequestRecord;
use crate::served_count::ServedCount;
use crate::soak_world::TAKEN_KEY;

/// The seconds before, in which each caller uses its own host.
const TIME_BEFORE: Duration = Duration::from_millis(2_500);
/// The users' bound, as a share of what was served before.
const MIN_KEPT_SHARE: f64 = 0.75;
/// Requests before and after that a judgement needs.
const MIN_REQUESTS: usize = 20;

impl SoakJudge<'_> {
    /// From the time on in which hosts are in touch, a host that takes all connections serves three quarters as often
    /// as the hosts did before.
    pub(super) fn judge_crowded_hosts(&mut self) {
        for span in &self.evidence.spans {
            let (SoakFault::CrowdHost(_), Some(until)) = (span.fault, span.until) else { continue };
            let began_before = span.from.checked_sub(TIME_BEFORE).unwrap_or(span.from);
            let before = self.served_calls(began_before, span.from, span.from);
            let during = self.served_calls(span.from + CALM_AFTER, until, until);
            self.judged.at_crowded_hosts += during.sent;
            let is_enough = MIN_REQUESTS <= before.sent && MIN_REQUESTS <= during.sent;
            if is_enough && during.share() < MIN_KEPT_SHARE * before.share() {
                let detail = format!("served {during}, before {before}");
                self.note(Promise::CrowdedHost, detail);
            }
        }
    }

    /// Calls that run once at calm routers that were sent in this time and could end by then.
    fn served_calls(&self, from: Instant, until: Instant, ends: Instant) -> ServedCount {
        let is_judged = |record: &&RequestRecord| {
            from <= record.sent
                && record.sent < until
                && (record.ended <= ends || record.sent + record.patience <= ends)
                && record.kind == RequestKind::Charge
                && self.is_calm(record.router, record.sent, record.ended)
                && !matches!(record.end, RequestEnd::Left)
                && (record.key != TAKEN_KEY || self.evidence.word.key_taken.is_none())
        };
        let mut count = ServedCount::default();
        let records = self.evidence.records.iter().filter(is_judged);
        records.for_each(|record| count.add(record.is_served()));
        count
    }
}
