//! Compares what callers and servers saw with what is promised.

mod convictions;
mod crashing_requests;
mod crowded_hosts;
mod crowded_servers;
mod host_cuts;
mod memory;
mod versions;
mod weights;
mod weights_service;

use std::fmt::Write;
use std::time::Duration;

use fulmargate_consortium_stand::ECHO_EVENTS;
use fulmargate_consortium_stand::ReceivedRequest;
use fulmargate_consortium_stand::echo_event;
use fulmargate_consortium_stand::echo_text;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::JudgedCount;
use crate::Promise;
use crate::answer_loss::AnswerLoss;
use crate::fault_log::FaultSpan;
use crate::request_record::RequestEnd;
use crate::request_record::RequestKind;
use crate::request_record::RequestRecord;
use crate::rough_clients::MemoryExcess;
use crate::router_process::KEY_REVOKE;
use crate::router_process::REPEAT_RATIO;
use crate::router_process::REPEAT_SLACK;
use crate::router_process::REPEAT_WINDOW;
use crate::soak_world::BrittleTime;
use crate::soak_world::ISOLATED_KEY;
use crate::soak_world::OperatorWord;
use crate::soak_world::PlannedStop;
use crate::soak_world::SeenLimit;
use crate::soak_world::SoakServer;
use crate::soak_world::TAKEN_KEY;
use crate::version_caller::StreamRecord;

/// A server that leaves gets nothing that is sent later than this after its word.
const LEAVE_BOUND: Duration = Duration::from_secs(2);
/// A configuration is in force everywhere after this.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// A router is calm this long after the end of a disturbance.
const CALM_AFTER: Duration = Duration::from_secs(3);
/// After this time the heartbeats of the other servers prove a departure.
const PROVEN_AFTER: Duration = Duration::from_secs(5);
/// A planned stop and what came just before it.
const STOP_BEFORE: Duration = Duration::from_millis(2_500);
/// Broken promises told of each kind; more would hide the others.
const MOST_TOLD: usize = 5;

/// A promise that was not kept.
#[derive(Clone, Debug)]
pub struct BrokenPromise {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub detail: String,
}

/// All that a run has shown.
pub(crate) struct RunEvidence {
    pub(crate) records: Vec<RequestRecord>,
    /// Streams that callers take up.
    pub(crate) streams: Vec<StreamRecord>,
    /// Number of routers.
    pub(crate) routers: usize,
    pub(crate) servers: Vec<SoakServer>,
    pub(crate) spans: Vec<FaultSpan>,
    pub(crate) stops: Vec<PlannedStop>,
    pub(crate) limits: Vec<SeenLimit>,
    /// Prompts that were rejected for a part which they do not hold.
    pub(crate) refused_sound: Vec<String>,
    pub(crate) brittle_times: Vec<BrittleTime>,
    pub(crate) excesses: Vec<MemoryExcess>,
    pub(crate) word: OperatorWord,
    /// Time after a version was named for which prompts may begin on older weights.
    pub(crate) weights_bound: Duration,
    /// From then on nothing was wrong any more, and there was time to recover.
    pub(crate) recovered: Instant,
}

/// A run at a server.
struct SeenRun {
    server: usize,
    request: ReceivedRequest,
}

/// The judge's notes.
pub(crate) struct SoakJudge<'a> {
    evidence: &'a RunEvidence,
    /// Runs by the request's id.
    runs: IndexMap<String, Vec<SeenRun>>,
    broken: Vec<BrokenPromise>,
    judged: JudgedCount,
}

impl SoakJudge<'_> {
    /// Judges a run. Returns what was broken, and how much could be judged.
    pub(crate) fn judge(evidence: &RunEvidence) -> (Vec<BrokenPromise>, JudgedCount) {
        let mut runs: IndexMap<String, Vec<SeenRun>> = IndexMap::new();
        for (server, soaked) in evidence.servers.iter().enumerate() {
            for request in soaked.stand.seen() {
                runs.entry(request.id().to_owned()).or_default().push(SeenRun { server, request });
            }
        }
        let judged = JudgedCount::default();
        let mut judge = SoakJudge { evidence, runs, broken: Vec::new(), judged };
        for record in &evidence.records {
            judge.judge_answer(record);
            judge.judge_conviction(record);
            judge.judge_runs(record);
            judge.judge_loss(record);
            judge.judge_key(record);
            judge.judge_leaving(record);
            judge.judge_route(record);
        }
        judge.judge_reverts();
        judge.judge_stops();
        judge.judge_scopes();
        judge.judge_orders();
        judge.judge_limits();
        judge.judge_brittle_times();
        judge.judge_host_cuts();
        judge.judge_crowded_hosts();
        judge.judge_memory();
        judge.judge_crashing_requests();
        judge.judge_refused_sound();
        judge.judge_versions();
        judge.judge_weights();
        judge.judge_weights_service();
        judge.judge_budget();
        judge.judge_recovery();
        (judge.broken, judge.judged)
    }

    fn note(&mut self, promise: Promise, detail: String) {
        let told = self.broken.iter().filter(|broken| broken.promise == promise).count();
        if told < MOST_TOLD {
            self.broken.push(BrokenPromise { promise, detail });
        }
    }

    fn note_record(&mut self, promise: Promise, record: &RequestRecord, why: &str) {
        let runs = self.runs.get(&record.id).map_or(0, Vec::len);
        let sent = self.since_start(record.sent);
        let mut detail =
            format!("{} of router {} start {}", record.id, record.router, record.start);
        let took = record.ended.saturating_duration_since(record.sent).as_millis();
        let _fits = write!(
            detail,
            ": {why}; {:?}, sent at {sent} ms, took {took} ms, runs {runs}, {:?}",
            record.kind, record.end,
        );
        self.note(promise, detail);
    }

    fn since_start(&self, at: Instant) -> u128 {
        let start = self.evidence.records.first().map_or(at, |record| record.sent);
        at.saturating_duration_since(start).as_millis()
    }

    /// Whether nothing kept the router from the store or from its work for a while.
    fn is_calm(&self, router: usize, from: Instant, until: Instant) -> bool {
        let from = from.checked_sub(CALM_AFTER).unwrap_or(from);
        let disturbs = |span: &FaultSpan| span.fault.disturbs(router) && span.overlaps(from, until);
        !self.evidence.spans.iter().any(disturbs)
    }

    fn judge_answer(&mut self, record: &RequestRecord) {
        let RequestEnd::Answered(answer) = &record.end else { return };
        if answer.status == 503 && !answer.says_when() {
            self.note_record(Promise::SaysWhen, record, "no time to come back");
        }
        if answer.status != 200 {
            return;
        }
        if !answer.is_signed() {
            self.note_record(Promise::WholeAnswer, record, "no signature");
        }
        if record.kind.is_stream() {
            let events = (1..=ECHO_EVENTS).map(|number| echo_event(&record.id, number));
            let whole: String = events.collect();
            if !whole.starts_with(&answer.body) {
                self.note_record(Promise::OrderedStream, record, "other events");
            } else if answer.is_whole && answer.body != whole {
                self.note_record(Promise::OrderedStream, record, "ends too early as if whole");
            }
        } else if answer.is_whole && answer.body != echo_text(&record.id) {
            self.note_record(Promise::WholeAnswer, record, "another body");
        }
    }

    fn judge_runs(&mut self, record: &RequestRecord) {
        let runs = self.runs.get(&record.id).map_or(0, Vec::len);
        if 1 < runs && !record.kind.may_repeat() {
            self.note_record(Promise::AtMostOnce, record, "ran more than once");
        }
        let says_not_run = matches!(record.status(), Some(408 | 421 | 429 | 503));
        if says_not_run && 0 < runs && !record.kind.may_repeat() {
            self.note_record(Promise::TrueRefusal, record, "it has run");
        }
    }

    fn judge_loss(&mut self, record: &RequestRecord) {
        let runs = self.runs.get(&record.id).into_iter().flatten();
        let places = runs.map(|run| self.evidence.servers[run.server].place).collect();
        let loss = AnswerLoss { record, places, spans: &self.evidence.spans };
        if let Some(lost) = loss.unexcused() {
            self.note_record(Promise::KeptAnswer, record, lost);
        }
    }

    fn judge_key(&mut self, record: &RequestRecord) {
        let Some(taken) = self.evidence.word.key_taken else { return };
        let is_late = taken + KEY_REVOKE < record.sent;
        if record.key == TAKEN_KEY && is_late && self.runs.contains_key(&record.id) {
            self.note_record(Promise::TakenKey, record, "ran with a key taken long before");
        }
    }

    fn judge_leaving(&mut self, record: &RequestRecord) {
        let Some(runs) = self.runs.get(&record.id) else { return };
        let late = runs.iter().any(|run| {
            let left = self.evidence.servers[run.server].left;
            left.is_some_and(|left| {
                left + LEAVE_BOUND < record.sent && self.is_accountable(record, left)
            })
        });
        if late {
            self.note_record(Promise::LeavingServer, record, "ran at a server that leaves");
        }
    }

    /// Whether the store was well when the server left, and the router when the request was sent. What
    /// disturbed the router in between is no excuse, as it has read the list again.
    fn is_accountable(&self, record: &RequestRecord, left: Instant) -> bool {
        let before = left.checked_sub(CALM_AFTER).unwrap_or(left);
        let mut spans = self.evidence.spans.iter();
        let was_accepted =
            !spans.any(|span| span.fault.disturbs_store() && span.overlaps(before, left));
        let is_proven = left + PROVEN_AFTER < record.sent;
        let calm_time = if is_proven { LEAVE_BOUND } else { CALM_AFTER };
        was_accepted && self.is_calm_since(record.router, record.sent, calm_time)
    }

    fn is_calm_since(&self, router: usize, now: Instant, calm_time: Duration) -> bool {
        let from = now.checked_sub(calm_time).unwrap_or(now);
        let disturbs = |span: &FaultSpan| span.fault.disturbs(router) && span.overlaps(from, now);
        !self.evidence.spans.iter().any(disturbs)
    }

    fn judge_route(&mut self, record: &RequestRecord) {
        let RequestKind::NewRoute(number) = record.kind else { return };
        let routes = &self.evidence.word.routes;
        let Some((_, put)) = routes.iter().find(|(route, _)| *route == number) else { return };
        let is_late = *put + CONFIG_BOUND < record.sent;
        if record.status() == Some(404) && is_late && self.is_calm(record.router, *put, record.sent)
        {
            self.note_record(Promise::ConfigInForce, record, "its route is not known");
        }
    }

    /// A process that has served a route must not forget it.
    fn judge_reverts(&mut self) {
        let records = &self.evidence.records;
        let mut served: IndexMap<(usize, usize, RequestKind), Instant> = IndexMap::new();
        for record in records.iter().filter(|record| record.status() == Some(200)) {
            let ended =
                served.entry((record.router, record.start, record.kind)).or_insert(record.ended);
            *ended = record.ended.min(*ended);
        }
        let reverted: Vec<&RequestRecord> = records
            .iter()
            .filter(|record| record.status() == Some(404))
            .filter(|record| {
                let ended = served.get(&(record.router, record.start, record.kind));
                ended.is_some_and(|ended| *ended < record.sent)
            })
            .collect();
        for record in reverted {
            self.note_record(Promise::ConfigReverts, record, "served before by the same process");
        }
    }

    fn judge_stops(&mut self) {
        for stop in &self.evidence.stops {
            let from = stop.from.checked_sub(STOP_BEFORE).unwrap_or(stop.from);
            let others = self.evidence.spans.iter().filter(|span| {
                span.overlaps(from, stop.until)
                    && (span.fault.disturbs(stop.router) || span.fault.harms_servers())
            });
            // The stop itself is one of them.
            if 1 < others.count() {
                continue;
            }
            if !stop.is_clean {
                let detail = format!("router {} did not end by itself", stop.router);
                self.note(Promise::PlannedStop, detail);
            }
            let cut: Vec<&RequestRecord> = self
                .evidence
                .records
                .iter()
                .filter(|record| (record.router, record.start) == (stop.router, stop.start))
                .filter(|record| from < record.sent && self.runs.contains_key(&record.id))
                .filter(|record| match &record.end {
                    RequestEnd::Answered(answer) => !answer.is_whole,
                    RequestEnd::Broken(_) => true,
                    RequestEnd::Left => false,
                })
                .collect();
            for record in cut {
                self.note_record(Promise::PlannedStop, record, "cut by a planned stop");
            }
        }
    }

    /// The weights and the kind of team that each salt was used with.
    fn judge_scopes(&mut self) {
        let keys: IndexMap<&str, &str> =
            self.evidence.records.iter().map(|record| (record.id.as_str(), record.key)).collect();
        let mut scopes: IndexMap<String, (u64, bool)> = IndexMap::new();
        let mut mixed = Vec::new();
        for run in self.runs.values().flatten().filter(|run| run.request.is_prompt()) {
            let key = keys.get(run.request.id()).copied().unwrap_or_default();
            let scope = (run.request.weights, key == ISOLATED_KEY);
            let first = *scopes.entry(run.request.salt().to_owned()).or_insert(scope);
            if first != scope {
                let id = run.request.id();
                mixed.push(format!("{id} shares a salt of {first:?} with {scope:?}"));
            }
        }
        for detail in mixed {
            self.note(Promise::CacheScope, detail);
        }
    }

    /// The engines themselves turn lower numbers away; a number must have one holder only.
    fn judge_orders(&mut self) {
        let mut holders: IndexMap<u64, String> = IndexMap::new();
        let orders = self.evidence.servers.iter().flat_map(|server| server.stand.orders());
        let mut shared = Vec::new();
        for order in orders {
            let holder = holders.entry(order.fence).or_insert_with(|| order.holder.clone());
            if *holder != order.holder {
                shared.push(format!("{} has holders {holder} and {}", order.fence, order.holder));
            }
        }
        for detail in shared {
            self.note(Promise::OneHolder, detail);
        }
    }

    /// Runs beyond the first of each request, in any window.
    fn judge_budget(&mut self) {
        let mut repeats: Vec<Instant> = Vec::new();
        for runs in self.runs.values_mut() {
            runs.sort_by_key(|run| run.request.at);
            repeats.extend(runs.iter().skip(1).map(|run| run.request.at));
        }
        repeats.sort();
        for (index, first) in repeats.iter().enumerate() {
            let until = *first + REPEAT_WINDOW;
            let count = repeats[index..].iter().take_while(|at| **at <= until).count();
            let before = first.checked_sub(REPEAT_WINDOW).unwrap_or(*first);
            let records = self.evidence.records.iter();
            let firsts =
                records.filter(|record| before <= record.sent && record.sent <= until).count();
            if firsts as f64 * REPEAT_RATIO + REPEAT_SLACK < count as f64 {
                let detail = format!("{count} repeats beside {firsts} requests");
                return self.note(Promise::RepeatBudget, detail);
            }
        }
    }

    /// Nothing is wrong any more: all routers serve all kinds, and all engines have the newest weights.
    fn judge_recovery(&mut self) {
        let recovered = self.evidence.recovered;
        let late: Vec<&RequestRecord> = self
            .evidence
            .records
            .iter()
            .filter(|record| recovered < record.sent && !matches!(record.end, RequestEnd::Left))
            .filter(|record| record.key != TAKEN_KEY || self.evidence.word.key_taken.is_none())
            .collect();
        for router in 0..self.evidence.routers {
            for kind in self.sent_kinds() {
                let is_one =
                    |record: &&&RequestRecord| (record.router, record.kind) == (router, *kind);
                if !late.iter().filter(is_one).any(|record| record.is_served()) {
                    let detail = format!("router {router} serves no {kind:?}");
                    self.note(Promise::Recovery, detail);
                }
            }
        }
        let unserved: Vec<&RequestRecord> =
            late.into_iter().filter(|record| !record.is_served()).collect();
        for record in unserved {
            self.note_record(Promise::Recovery, record, "not served though nothing is wrong");
        }
        let wanted = self.evidence.word.weights;
        let engines = self.evidence.servers.iter().filter(|server| server.service == "engines");
        let behind: Vec<String> = engines
            .filter(|server| server.left.is_none() && server.stand.weights() < wanted)
            .map(|server| format!("{} has {}", server.stand.name, server.stand.weights()))
            .collect();
        for engine in behind {
            self.note(Promise::Recovery, format!("{engine} instead of weights {wanted}"));
        }
    }
}
