//! Estimated state of one backend server.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::Backlog;
use crate::BootTime;
use crate::CallFacts;
use crate::ConnectOutcome;
use crate::PromptCacheEstimate;
use crate::ServerEntry;
use crate::ServerKey;
use crate::StreamOrigin;
use crate::decaying_mean::DecayingMean;
use crate::link_usage::LinkUsage;
use crate::server_probe::ServerProbe;

/// How long a load report is valid.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// Load that a server reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Capacity for concurrent requests.
    pub slots: u32,
}

/// Whether the rate limit that a server named admits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitHeadroom {
    /// It named no limit.
    Unlimited,
    /// The limit admits a request.
    Spare,
    /// The limit admits none now.
    Exhausted,
}

/// State of one server as far as this router knows it. Soft state that is rebuilt after a restart.
#[derive(Clone, Debug)]
pub struct ServerState {
    pub(crate) entry: Arc<ServerEntry>,
    key: ServerKey,
    origin: StreamOrigin,
    /// Until when no new streams begin there, as its version is new.
    pub(crate) streams_from: Option<BootTime>,
    /// This router's requests in flight.
    pub(crate) open: u32,
    /// Those of them that are chats.
    pub(crate) chats: u32,
    /// Prompt tokens of requests that wait for their first event.
    pub(crate) backlog: Backlog,
    report: Option<(LoadReport, Instant)>,
    latency_ms: DecayingMean,
    failures: DecayingMean,
    /// End of the backoff after a failed connection.
    backoff_until: Option<Instant>,
    /// Until when only probes try the server, which end this when they reach it.
    probed_until: Option<Instant>,
    backoff_count: u32,
    pub(crate) probe: ServerProbe,
    /// End of the backoff after a request was rejected as full.
    full_until: Option<Instant>,
    /// Until when the engine counts as loading weights.
    loading_until: Option<Instant>,
    /// Versions confirmed by the server list, a response or a report.
    weights: IndexMap<ModelName, WeightsVersion>,
    /// Versions that the engine is probably loading. Used only to route requests: if they also decided about
    /// load orders, a wrong assumption would leave the engine on old weights.
    assumed: IndexMap<ModelName, WeightsVersion>,
    /// When the entry was first seen.
    listed_at: Instant,
    /// Time from then on over which the server is filled while it is brittle.
    pub(crate) fill_time: Duration,
    /// Requests that a brittle server took at least when it last rejected one, and when that was.
    rejected_room: Option<(f64, Instant)>,
    /// Number of responses from it.
    pub(crate) responses: u32,
    /// Whether a first response is awaited, which shows whether the server is limited.
    pub(crate) awaits_first_response: bool,
    /// When a request was last sent while none was open.
    first_sent: Option<Instant>,
    /// Whether its rate limit admits a request, as of the last refresh.
    pub(crate) headroom: LimitHeadroom,
    pub(crate) cache: PromptCacheEstimate,
    /// Load on its link to other engines.
    pub(crate) link: LinkUsage,
}

/// Subtracted from the cost of a server whose limit admits a request: what a limit leaves unused is lost, while
/// other servers can take the request as well. Does not outweigh failures or a prefix cached elsewhere.
pub(crate) const SPARE_LIMIT_DISCOUNT_MS: f64 = 50.0;
/// How long requests wait for the first response of a server, which shows whether it is limited.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Expected latency of a plain call before any was observed.
const DEFAULT_LATENCY_MS: f64 = 20.0;
/// Backoff after the first failed connection; doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(400);
/// How long a server is left to probes after one has failed. Longer than it takes to probe all.
const PROBED_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(1_600);
/// After this time an engine no longer counts as loading. Covers the load and the running requests that must
/// finish before it. An engine finishes what runs in some 1 to 2 s, and loads in some 300 ms.
const LOADING_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A brittle server that is new is filled over this time.
const NEW_SERVER_FILL_TIME: Duration = Duration::from_secs(4);
/// The same for servers that were there when this router started: by then it has messages from all others.
pub(crate) const ROUTER_START_FILL_TIME: Duration = Duration::from_millis(1_500);
/// A brittle server that rejected a request regains its room over this time.
const ROOM_REGAIN_TIME: Duration = Duration::from_secs(8);
/// Share of the requests at a server that it is expected to take after it rejected one.
const REJECTED_ROOM_SHARE: f64 = 0.7;

impl ServerState {
    pub(crate) fn new(entry: Arc<ServerEntry>, now: Instant) -> ServerState {
        let weights = entry.models.clone();
        ServerState {
            key: entry.key(),
            origin: StreamOrigin::of(&entry),
            streams_from: None,
            entry,
            open: 0,
            chats: 0,
            backlog: Backlog::default(),
            report: None,
            latency_ms: DecayingMean::new(DEFAULT_LATENCY_MS, now),
            failures: DecayingMean::new(0.0, now),
            backoff_until: None,
            probed_until: None,
            backoff_count: 0,
            probe: ServerProbe::default(),
            full_until: None,
            loading_until: None,
            weights,
            assumed: IndexMap::new(),
            listed_at: now,
            fill_time: NEW_SERVER_FILL_TIME,
            rejected_room: None,
            responses: 0,
            awaits_first_response: false,
            first_sent: None,
            headroom: LimitHeadroom::Unlimited,
            cache: PromptCacheEstimate::default(),
            link: LinkUsage::default(),
        }
    }

    /// The server's current list entry.
    pub fn entry(&self) -> &Arc<ServerEntry> {
        &self.entry
    }

    /// Applies a newer list entry. Weights versions only increase, because the list lags behind responses.
    pub(crate) fn update(&mut self, entry: &Arc<ServerEntry>) {
        for (model, version) in &entry.models {
            self.learn_weights(model, *version);
        }
        self.origin = StreamOrigin::of(entry);
        self.entry = entry.clone();
    }

    /// Service and software version of the streams that the server begins.
    pub fn origin(&self) -> StreamOrigin {
        self.origin
    }

    /// Whether the software version allows a call there. A stream that has begun needs the version that began it, a new
    /// one a version that all hosts know.
    pub(crate) fn may_stream(
        &self,
        call: &CallFacts,
        begun_at: Option<StreamOrigin>,
        now: BootTime,
    ) -> bool {
        match begun_at {
            Some(origin) => origin == self.origin,
            None => !call.route.is_resumable() || self.streams_from.is_none_or(|from| from <= now),
        }
    }

    /// Records a confirmed weights version.
    pub(crate) fn learn_weights(&mut self, model: &ModelName, version: WeightsVersion) {
        let known = self.weights.entry(model.clone()).or_insert(version);
        if *known < version {
            *known = version;
            self.loading_until = None;
            // Loading weights empties the engine's cache.
            self.cache.clear();
        }
    }

    /// Assumes that the engine is loading this version.
    pub(crate) fn assume_weights(&mut self, model: &ModelName, version: WeightsVersion) {
        self.assumed.insert(model.clone(), version);
    }

    /// Discards assumed versions.
    pub(crate) fn clear_assumed_weights(&mut self) {
        self.assumed.clear();
    }

    /// The version confirmed by the server list, a response or a report.
    pub fn confirmed_weights(&self, model: &ModelName) -> Option<WeightsVersion> {
        self.weights.get(model).copied()
    }

    /// The version that a request sent now is expected to run on.
    pub fn weights(&self, model: &ModelName) -> Option<WeightsVersion> {
        let confirmed = self.confirmed_weights(model)?;
        let assumed = self.assumed.get(model).copied();
        Some(assumed.map_or(confirmed, |assumed| assumed.max(confirmed)))
    }

    /// Records a response, which ends the connection backoff.
    pub(crate) fn record_response(&mut self, report: Option<LoadReport>, now: Instant) {
        self.responses = self.responses.saturating_add(1);
        self.awaits_first_response = false;
        self.end_backoff();
        self.probe.record_reached(now);
        if let Some(report) = report {
            self.report = Some((report, now));
        }
    }

    /// Records a failed connection and extends the backoff.
    pub(crate) fn connection_failed(&mut self, outcome: ConnectOutcome, now: Instant) {
        let backoff = MIN_BACKOFF * 2_u32.pow(self.backoff_count.min(4));
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
        self.backoff_count += 1;
        self.probe.record_failure(outcome, now);
    }

    /// Backs off after a connection that probably failed through a local network fault. Requests try other servers
    /// meanwhile. The failure is not counted, and the backoff stays short so that the server is used again
    /// soon after the fault ends.
    pub(crate) fn back_off_briefly(&mut self, now: Instant) {
        self.backoff_until = Some(now + MIN_BACKOFF);
    }

    /// Skips the server until a probe reaches it.
    pub(crate) fn leave_to_prober(&mut self, now: Instant) {
        self.probed_until = Some(now + PROBED_TIMEOUT);
    }

    /// Ends the backoff: a connection was opened.
    pub(crate) fn end_backoff(&mut self) {
        self.probed_until = None;
        self.backoff_until = None;
        self.backoff_count = 0;
    }

    /// Records that the server rejected a request, and skips it for `backoff`.
    pub(crate) fn mark_full(&mut self, backoff: Duration, now: Instant) {
        self.full_until = Some(now + backoff);
    }

    /// Whether the server is not in connection backoff.
    pub(crate) fn is_reachable(&self, now: Instant) -> bool {
        self.backoff_until.is_none_or(|until| until <= now)
    }

    /// Whether the server may be selected now.
    pub fn is_open(&self, now: Instant) -> bool {
        let is_over = |until: Option<Instant>| until.is_none_or(|until| until <= now);
        is_over(self.backoff_until)
            && is_over(self.probed_until)
            && is_over(self.full_until)
            && is_over(self.loading_until)
    }

    /// Whether the server is open and may get another request. Until its first response it gets one at a time:
    /// it may be limited, and the other routers' reports may not have arrived yet.
    pub(crate) fn accepts_request(&self, now: Instant) -> bool {
        let is_tried = self.awaits_first_response && 0 < self.open;
        self.is_open(now) && !is_tried
    }

    /// Whether further requests should wait until the first response shows whether the server is limited. One that
    /// responds slowly is not waited for any longer.
    pub(crate) fn is_response_imminent(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < FIRST_RESPONSE_TIMEOUT;
        let is_tried = self.awaits_first_response && 0 < self.open;
        is_tried && self.is_open(now) && self.first_sent.is_some_and(is_recent)
    }

    /// Counts a request as sent there.
    pub(crate) fn add_open(&mut self, now: Instant) {
        if self.open == 0 {
            self.first_sent = Some(now);
        }
        self.open += 1;
    }

    /// Marks the engine as loading weights. The mark expires, because the notice that ends it may be lost.
    pub(crate) fn mark_loading(&mut self, now: Instant) {
        self.loading_until = Some(now + LOADING_TIMEOUT);
    }

    /// Ends the loading state without a new version.
    pub(crate) fn clear_loading(&mut self) {
        self.loading_until = None;
    }

    /// Ends the loading state and records the new version.
    pub(crate) fn mark_loaded(&mut self, model: &ModelName, version: WeightsVersion) {
        self.loading_until = None;
        self.learn_weights(model, version);
    }

    pub(crate) fn succeeded(&mut self, latency: Duration, now: Instant) {
        self.latency_ms.add(latency.as_secs_f64() * 1_000.0, now);
        self.failures.add(0.0, now);
    }

    pub(crate) fn failed(&mut self, now: Instant) {
        self.failures.add(1.0, now);
    }

    /// Expected latency of a plain call. One that was short stays so while the server is idle.
    pub(crate) fn latency_ms(&self, now: Instant) -> f64 {
        self.latency_ms.get(now)
    }

    /// Whether the latency of a call was observed.
    pub(crate) fn has_latency(&self) -> bool {
        self.latency_ms.is_sampled()
    }

    /// Recent share of failed requests.
    pub fn failure_share(&self, now: Instant) -> f64 {
        self.failures.get(now)
    }

    /// Queued requests by the last valid report.
    pub(crate) fn waiting(&self, now: Instant) -> u32 {
        self.valid_report(now).map_or(0, |report| report.waiting)
    }

    /// Requests at the server: the larger of its own report and this router's count.
    pub fn occupancy(&self, now: Instant) -> u32 {
        let reported = self.valid_report(now).map_or(0, |report| report.running + report.waiting);
        reported.max(self.open)
    }

    /// Requests that a brittle server is expected to take at the same time: its slots, less after a rejection or a start.
    pub(crate) fn room(&self, now: Instant) -> f64 {
        let slots = f64::from(self.entry.slots.max(1));
        let since = |at: Instant| now.saturating_duration_since(at).as_secs_f64();
        let started = (slots * since(self.listed_at) / self.fill_time.as_secs_f64()).max(1.0);
        let regained = self
            .rejected_room
            .map(|(room, at)| room + slots * since(at) / ROOM_REGAIN_TIME.as_secs_f64());
        slots.min(started).min(regained.unwrap_or(slots))
    }

    /// Lowers the room after a rejection with so many requests at the server.
    pub(crate) fn shrink_room(&mut self, in_flight: u32, now: Instant) {
        let room = (f64::from(in_flight) * REJECTED_ROOM_SHARE).min(self.room(now)).max(1.0);
        self.rejected_room = Some((room, now));
    }

    /// Reduction of its cost while its limit admits a request.
    pub(crate) fn limit_discount_ms(&self) -> f64 {
        match self.headroom {
            LimitHeadroom::Spare => SPARE_LIMIT_DISCOUNT_MS,
            LimitHeadroom::Unlimited | LimitHeadroom::Exhausted => 0.0,
        }
    }

    /// Key of the server in gossip messages.
    pub fn key(&self) -> ServerKey {
        self.key
    }

    fn valid_report(&self, now: Instant) -> Option<LoadReport> {
        let (report, received_at) = self.report?;
        (now.saturating_duration_since(received_at) < REPORT_TTL).then_some(report)
    }
}
