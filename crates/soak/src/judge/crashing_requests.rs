//! Requests that crash the servers which run them.

use std::time::Duration;

use tokio::time::Instant;

use crate::Promise;
use crate::SoakFault;
use crate::crashing_caller::CRASH_RULE;
use crate::crashing_caller::crashing_path;
use crate::judge::CALM_AFTER;
use crate::judge::SoakJudge;

/// Servers that a request may crash before it counts as known.
const KNOWN_CRASHES: usize = 3;
/// Routers know of the last of them after this time.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Later sends that are allowed, by all routers together.
const ALLOWED_SENDS: usize = 3;

impl SoakJudge<'_> {
    /// A request that has crashed three servers is sent no more than three times later than three seconds after that,
    /// by routers in touch.
    pub(super) fn judge_crashing_requests(&mut self) {
        let faults: Vec<SoakFault> = self.evidence.spans.iter().map(|span| span.fault).collect();
        for fault in faults {
            if let SoakFault::CrashingRequest(number) = fault {
                self.judge_crashing_request(number);
            }
        }
    }

    fn judge_crashing_request(&mut self, number: u32) {
        let path = crashing_path(number);
        let mut firsts = Vec::new();
        let mut sends = Vec::new();
        for server in &self.evidence.servers {
            let mut runs: Vec<(Instant, String)> = Vec::new();
            for request in server.stand.seen() {
                if request.line.contains(&path) {
                    runs.push((request.at, request.id().to_owned()));
                }
            }
            runs.sort();
            firsts.extend(runs.first().map(|(at, _)| *at + CRASH_RULE.delay));
            sends.extend(runs);
        }
        firsts.sort();
        self.judged.crashes += firsts.len();
        let Some(third) = firsts.get(KNOWN_CRASHES - 1) else { return };
        let known = *third + LEARNING_TIME;
        let is_late = |(at, id): &&(Instant, String)| {
            known < *at
                && self
                    .router_of(id)
                    .is_some_and(|router| self.is_calm_since(router, *at, CALM_AFTER))
        };
        let late = sends.iter().filter(is_late).count();
        self.judged.late_crash_sends += late;
        if ALLOWED_SENDS < late {
            let ended = firsts.len();
            let detail = format!("{path} was sent {late} times more; {ended} servers ended in all");
            self.note(Promise::CrashingRequests, detail);
        }
    }

    /// The router that a caller sent a request to, by the request's id.
    pub(super) fn router_of(&self, id: &str) -> Option<usize> {
        id.strip_prefix('r')?.split('-').next()?.parse().ok()
    }
}
