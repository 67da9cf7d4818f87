//! Whether a router gave up an answer that its server was going on with.

#[cfg(test)]
mod tests;

use fulmargate_consortium_stand::LinkCut;
use fulmargate_consortium_stand::ServerMode;

use crate::LinkPlace;
use crate::RouterSignal;
use crate::SoakFault;
use crate::fault_log::FaultSpan;
use crate::request_record::RequestEnd;
use crate::request_record::RequestRecord;
use crate::soak_world::DESKS;

/// A request that servers ran, and what went wrong meanwhile.
pub(crate) struct AnswerLoss<'a> {
    pub(crate) record: &'a RequestRecord,
    /// Places of the servers that ran it.
    pub(crate) places: Vec<usize>,
    pub(crate) spans: &'a [FaultSpan],
}

impl AnswerLoss<'_> {
    /// What the router did without an excuse. A link that is full is none: the servers are well and go
    /// on, and what cannot be had elsewhere is worth waiting for.
    pub(crate) fn unexcused(&self) -> Option<&'static str> {
        let RequestRecord { sent, ended, patience, .. } = *self.record;
        if self.places.is_empty() || sent + patience <= ended {
            return None;
        }
        let spans = self.spans.iter().filter(|span| span.overlaps(sent, ended));
        let is_excused = spans.map(|span| span.fault).any(|fault| self.excuses(fault));
        self.lost().filter(|_| !is_excused)
    }

    fn lost(&self) -> Option<&'static str> {
        match &self.record.end {
            RequestEnd::Broken(_) => Some("closed without an answer"),
            RequestEnd::Answered(answer) if answer.status == 200 && !answer.is_whole => {
                Some("cut in the middle")
            }
            RequestEnd::Answered(answer)
                if answer.status == 502 && !self.record.kind.may_repeat() =>
            {
                Some("given up")
            }
            RequestEnd::Answered(_) | RequestEnd::Left => None,
        }
    }

    /// Whether the router's host lost its links to servers at about this time, so that another one may have sent the
    /// request.
    fn is_cut_off(&self) -> bool {
        self.spans.iter().any(|span| {
            let is_own =
                matches!(span.fault, SoakFault::CutHost(router, _) if router == self.record.router);
            is_own && span.overlaps(self.record.sent, self.record.ended)
        })
    }

    /// Whether the router's process, its callers' connections or a server that ran the request suffered.
    fn excuses(&self, fault: SoakFault) -> bool {
        match fault {
            SoakFault::KillAll => true,
            // Another router may have had the request from its cut off one.
            SoakFault::Signal(router, signal) => {
                let may_have_it = router == self.record.router || self.is_cut_off();
                may_have_it && signal != RouterSignal::HangUp
            }
            SoakFault::CutHost(router, LinkCut::Hang | LinkCut::Reset) => {
                router == self.record.router || self.is_cut_off()
            }
            SoakFault::CutHost(_, LinkCut::NewRefused | LinkCut::NewHang) => false,
            SoakFault::Brittle(_) | SoakFault::CrashingRequest(_) => {
                self.places.iter().any(|place| *place < DESKS)
            }
            SoakFault::CrowdHost(_) => false,
            SoakFault::CrashingPart(_) => self.places.iter().any(|place| DESKS <= *place),
            SoakFault::Link(LinkPlace::Callers(router), _) => router == self.record.router,
            SoakFault::Link(LinkPlace::Server(place), _) => self.places.contains(&place),
            SoakFault::Server(_, ServerMode::PausedEcho) => false,
            SoakFault::Server(place, _) | SoakFault::KillServer(place) => {
                self.places.contains(&place)
            }
            SoakFault::Link(LinkPlace::Store(_), _) | SoakFault::FullLink(_) => false,
            SoakFault::Store(_) | SoakFault::ForgetHistory | SoakFault::RestoreStore => false,
            SoakFault::ServerLimit(..) | SoakFault::Upgrade(..) => false,
            SoakFault::ReplaceServer(_) | SoakFault::RemoveServer(_) => false,
            SoakFault::AddRoute | SoakFault::TakeKey | SoakFault::NameWeights => false,
            SoakFault::NameVersion(_) | SoakFault::EngineOrders(..) => false,
            SoakFault::ForeignEntries(..) => false,
        }
    }
}
