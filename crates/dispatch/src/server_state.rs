//! What this router has seen of one backend server.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::Backlog;
use crate::ConnectEnd;
use crate::PartMemory;
use crate::ServerEntry;
use crate::ServerKey;
use crate::fading_mean::FadingMean;
use crate::link_meter::LinkMeter;
use crate::server_contact::ServerContact;

/// A report counts this long; later it says nothing of the server's load.
const REPORT_AGE: Duration = Duration::from_millis(1_500);

/// A server's own word on its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// Beliefs about one server. All of them may be lost.
#[derive(Clone, Debug)]
pub struct ServerState {
    pub(crate) entry: Arc<ServerEntry>,
    key: ServerKey,
    /// This router's requests that are under way there.
    pub(crate) open: u32,
    /// Those of them that are chats.
    pub(crate) chats: u32,
    /// Prompt tokens of those whose first event is awaited.
    pub(crate) backlog: Backlog,
    report: Option<(LoadReport, Instant)>,
    latency_ms: FadingMean,
    failures: FadingMean,
    /// No connection could be had: not tried again before this moment.
    shut_until: Option<Instant>,
    shut_times: u32,
    pub(crate) contact: ServerContact,
    /// It turned requests away.
    full_until: Option<Instant>,
    /// The holder of the lease has said that it loads weights.
    loading_until: Option<Instant>,
    /// Weights that the list or an answer named.
    weights: IndexMap<ModelName, WeightsVersion>,
    /// Weights that it most likely loads now, for requests only: an engine that is wrongly thought
    /// to be up to date would never be ordered to load.
    assumed: IndexMap<ModelName, WeightsVersion>,
    pub(crate) memory: PartMemory,
    /// Its link to other engines.
    pub(crate) link: LinkMeter,
}

/// Expected time of a plain call while nothing is known, in milliseconds.
const COMMON_LATENCY_MS: f64 = 20.0;
/// A server without a connection is left alone for this long, twice as long each time.
const SHUT_FIRST: Duration = Duration::from_millis(400);
/// And for this long at most.
const SHUT_MOST: Duration = Duration::from_millis(1_600);
/// An engine finishes what runs, some 1 to 2 s, and loads in some 300 ms.
const LONGEST_LOADING: Duration = Duration::from_millis(2_500);

impl ServerState {
    pub(crate) fn new(entry: Arc<ServerEntry>, now: Instant) -> ServerState {
        let weights = entry.models.clone();
        ServerState {
            key: entry.key(),
            entry,
            open: 0,
            chats: 0,
            backlog: Backlog::default(),
            report: None,
            latency_ms: FadingMean::new(COMMON_LATENCY_MS, now),
            failures: FadingMean::new(0.0, now),
            shut_until: None,
            shut_times: 0,
            contact: ServerContact::default(),
            full_until: None,
            loading_until: None,
            weights,
            assumed: IndexMap::new(),
            memory: PartMemory::default(),
            link: LinkMeter::default(),
        }
    }

    /// The list's entry.
    pub fn entry(&self) -> &Arc<ServerEntry> {
        &self.entry
    }

    /// The list has a newer entry. Versions only rise: the list lags behind answers.
    pub(crate) fn update(&mut self, entry: &Arc<ServerEntry>) {
        for (model, version) in &entry.models {
            self.learn_weights(model, *version);
        }
        self.entry = entry.clone();
    }

    /// An answer or the list names the weights in use.
    pub(crate) fn learn_weights(&mut self, model: &ModelName, version: WeightsVersion) {
        let known = self.weights.entry(model.clone()).or_insert(version);
        if *known < version {
            *known = version;
            self.loading_until = None;
            // Loading discards what the engine had cached.
            self.memory.clear();
        }
    }

    /// It most likely loads these weights.
    pub(crate) fn assume_weights(&mut self, model: &ModelName, version: WeightsVersion) {
        self.assumed.insert(model.clone(), version);
    }

    /// What was assumed of its weights was wrong.
    pub(crate) fn drop_assumption(&mut self) {
        self.assumed.clear();
    }

    /// The weights that the list, an answer or a report named.
    pub fn confirmed_weights(&self, model: &ModelName) -> Option<WeightsVersion> {
        self.weights.get(model).copied()
    }

    /// The weights that a request sent now is expected to run on.
    pub fn weights(&self, model: &ModelName) -> Option<WeightsVersion> {
        let confirmed = self.confirmed_weights(model)?;
        let assumed = self.assumed.get(model).copied();
        Some(assumed.map_or(confirmed, |assumed| assumed.max(confirmed)))
    }

    /// The server answered: it can be reached.
    pub(crate) fn heard(&mut self, report: Option<LoadReport>, now: Instant) {
        self.shut_until = None;
        self.shut_times = 0;
        self.contact.reached(now);
        if let Some(report) = report {
            self.report = Some((report, now));
        }
    }

    /// No connection could be had, or it fell silent.
    pub(crate) fn unreachable(&mut self, end: ConnectEnd, now: Instant) {
        let wait = SHUT_FIRST * 2_u32.pow(self.shut_times.min(4));
        self.shut_until = Some(now + wait.min(SHUT_MOST));
        self.shut_times += 1;
        self.contact.failed(end, now);
    }

    /// No connection could be had, most likely for want of the host's own. It is left alone for a moment, which
    /// leads requests to servers that may be reached; longer, they would stay away from it when the
    /// host is well again. Nothing is held against it.
    pub(crate) fn shut_shortly(&mut self, now: Instant) {
        self.shut_until = Some(now + SHUT_FIRST);
    }

    /// It turned a request away.
    pub(crate) fn full(&mut self, wait: Duration, now: Instant) {
        self.full_until = Some(now + wait);
    }

    /// Whether a connection may be had.
    pub(crate) fn is_reachable(&self, now: Instant) -> bool {
        self.shut_until.is_none_or(|until| until <= now)
    }

    /// Whether it may be chosen.
    pub fn is_open(&self, now: Instant) -> bool {
        let is_past = |until: Option<Instant>| until.is_none_or(|until| until <= now);
        is_past(self.shut_until) && is_past(self.full_until) && is_past(self.loading_until)
    }

    /// It loads weights, or is about to. The notice may be lost when they are in place, so that it
    /// counts for a while only.
    pub(crate) fn loads(&mut self, now: Instant) {
        self.loading_until = Some(now + LONGEST_LOADING);
    }

    /// It keeps the weights it has.
    pub(crate) fn loads_no_more(&mut self) {
        self.loading_until = None;
    }

    /// The weights are in place.
    pub(crate) fn loaded(&mut self, model: &ModelName, version: WeightsVersion) {
        self.loading_until = None;
        self.learn_weights(model, version);
    }

    pub(crate) fn succeeded(&mut self, took: Duration, now: Instant) {
        self.latency_ms.add(took.as_secs_f64() * 1_000.0, now);
        self.failures.add(0.0, now);
    }

    pub(crate) fn failed(&mut self, now: Instant) {
        self.failures.add(1.0, now);
    }

    pub(crate) fn latency_ms(&self, now: Instant) -> f64 {
        self.latency_ms.get(now)
    }

    /// Share of requests that fail.
    pub fn failure_share(&self, now: Instant) -> f64 {
        self.failures.get(now)
    }

    /// Requests that wait at the server, by its last report if that is fresh.
    pub(crate) fn waiting(&self, now: Instant) -> u32 {
        self.fresh_report(now).map_or(0, |report| report.waiting)
    }

    /// Requests that are there: the larger of the server's word and this router's count.
    pub fn occupancy(&self, now: Instant) -> u32 {
        let reported = self.fresh_report(now).map_or(0, |report| report.running + report.waiting);
        reported.max(self.open)
    }

    /// Its name in messages.
    pub fn key(&self) -> ServerKey {
        self.key
    }

    fn fresh_report(&self, now: Instant) -> Option<LoadReport> {
        let (report, at) = self.report?;
        (now.saturating_duration_since(at) < REPORT_AGE).then_some(report)
    }
}
