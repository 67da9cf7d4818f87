//! Requests that crash the servers which run them.

use std::time::Duration;

use fulmargate_consortium_stand::ReceivedRequest;
use tokio::time::Instant;

use crate::Promise;
use crate::SoakFault;
use crate::crashing_caller::CRASH_RULE;
use crate::crashing_caller::crashing_path;
use crate::crashing_part_caller::crashing_part;
use crate::judge::CALM_AFTER;
use crate::judge::SoakJudge;

/// Servers that a request may crash before it counts as known.
const KNOWN_CRASHES: usize = 3;
/// The same of a part of prompts.
const KNOWN_PART_CRASHES: usize = 5;
/// Routers know of the last of them after this time.
const LEARNING_TIME: Duration = Duration::from_secs(3);
/// Later sends that are allowed, by all routers together.
const ALLOWED_SENDS: usize = 3;

impl SoakJudge<'_> {
    /// A request that has crashed three servers, or a part that has crashed five, is sent no more than three times later
    /// than three seconds after that, by routers in touch.
    pub(super) fn judge_crashing_requests(&mut self) {
        let faults: Vec<SoakFault> = self.evidence.spans.iter().map(|span| span.fault).collect();
        for fault in faults {
            if let SoakFault::CrashingRequest(number) = fault {
                let path = crashing_path(number);
                let is_guilty = |request: &ReceivedRequest| request.line.contains(&path);
                self.judge_crashes(&path, &is_guilty, KNOWN_CRASHES);
            }
            if let SoakFault::CrashingPart(number) = fault {
                let part = crashing_part(number);
                let is_guilty =
                    |request: &ReceivedRequest| request.shared_parts().contains(&part.as_str());
                self.judge_crashes(&part, &is_guilty, KNOWN_PART_CRASHES);
            }
        }
    }

    fn judge_crashes(
        &mut self,
        name: &str,
        is_guilty: &dyn Fn(&ReceivedRequest) -> bool,
        known_crashes: usize,
    ) {
        let mut firsts = Vec::new();
        let mut sends = Vec::new();
        for server in &self.evidence.servers {
            let mut runs: Vec<(Instant, String)> = Vec::new();
            for request in server.stand.seen() {
                if is_guilty(&request) {
                    runs.push((request.at, request.id().to_owned()));
                }
            }
            runs.sort();
            firsts.extend(runs.first().map(|(at, _)| *at + CRASH_RULE.delay));
            sends.extend(runs);
        }
        firsts.sort();
        self.judged.crashes += firsts.len();
        let Some(last) = firsts.get(known_crashes - 1) else { return };
        let known = *last + LEARNING_TIME;
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
            let detail = format!("{name} was sent {late} times more; {ended} servers ended in all");
            self.note(Promise::CrashingRequests, detail);
        }
    }

    /// The router that a caller sent a request to, by the request's id.
    pub(super) fn router_of(&self, id: &str) -> Option<usize> {
        id.strip_prefix('r')?.split('-').next()?.parse().ok()
    }
}
