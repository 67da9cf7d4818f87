//! Hosts that reach no server.

use crate::Promise;
use crate::SoakFault;
use crate::fault_log::FaultSpan;
use crate::judge::CALM_AFTER;
use crate::judge::SoakJudge;
use crate::request_record::RequestEnd;
use crate::request_record::RequestRecord;
use crate::served_count::ServedCount;
use crate::soak_world::TAKEN_KEY;

/// Whether the host that a request was sent to was cut off then.
fn is_cut(cut: &FaultSpan, record: &RequestRecord) -> bool {
    let SoakFault::CutHost(router, _) = cut.fault else { return false };
    router == record.router && cut.overlaps(record.sent, record.ended)
}

impl SoakJudge<'_> {
    /// Hosts that reach no server serve their callers two thirds as often as the others, or fail few requests.
    pub(super) fn judge_host_cuts(&mut self) {
        let spans = self.evidence.spans.iter();
        let cuts: Vec<FaultSpan> =
            spans.filter(|span| matches!(span.fault, SoakFault::CutHost(..))).copied().collect();
        for cut in &cuts {
            let (from, until) = (cut.from + CALM_AFTER, cut.until.unwrap_or(cut.from));
            let (mut own, mut others) = (ServedCount::default(), ServedCount::default());
            for record in &self.evidence.records {
                let is_judged = from <= record.sent
                    && record.sent + record.patience <= until
                    && self.is_calm(record.router, record.sent, record.ended)
                    && self.has_helper(&cuts, record)
                    && !matches!(record.end, RequestEnd::Left)
                    && (record.key != TAKEN_KEY || self.evidence.word.key_taken.is_none());
                if !is_judged {
                    continue;
                }
                match cuts.iter().any(|cut| is_cut(cut, record)) {
                    true => own.add(record.is_served()),
                    false => others.add(record.is_served()),
                }
            }
            self.judged.at_cut_hosts += own.sent;
            if own.breaks_recovery(others) {
                let detail = format!("cut hosts served {own:?}, the others {others:?}");
                self.note(Promise::CutHosts, detail);
            }
        }
    }

    /// Whether a router could have sent the request all the while: in touch, and not cut off for as long. Where none
    /// could, nobody serves, and routers that are just back say nothing of the others.
    fn has_helper(&self, cuts: &[FaultSpan], record: &RequestRecord) -> bool {
        let from = record.sent.checked_sub(CALM_AFTER).unwrap_or(record.sent);
        let is_cut_at = |router: usize| {
            cuts.iter().any(|cut| {
                let is_own = matches!(cut.fault, SoakFault::CutHost(at, _) if at == router);
                is_own && cut.overlaps(from, record.ended)
            })
        };
        (0..self.evidence.routers)
            .any(|router| !is_cut_at(router) && self.is_calm(router, record.sent, record.ended))
    }
}
