//! Server selection and feedback for one model.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use fulmargate_names::PromptHash;

use crate::CacheEventKind;
use crate::Choice;
use crate::ClassWeights;
use crate::FleetView;
use crate::NewEvents;
use crate::OpenRequest;
use crate::PlacementConf;
use crate::PlacementRequest;
use crate::PolicyKind;
use crate::PrefixDemand;
use crate::PromptChain;
use crate::ReasonCounts;
use crate::ReplyStats;
use crate::ServerMeter;
use crate::StreamContinuity;
use crate::chooser::Chooser;
use crate::demand_sketch::DemandSketch;
use crate::detour_budget::DetourBudget;
use crate::hint_table::HintTable;
use crate::open_request::ReplySource;

/// Capacity of the group demand sketch.
const GROUP_SLOTS: usize = 4_096;
/// Capacity of the anchor demand sketch.
const ANCHOR_SLOTS: usize = 8_192;
/// Minimum recent requests of an anchor for which stored events are recorded as hints.
const MIN_RECORDED_REQUESTS: f64 = 2.0;

/// Placement state of one model, shared lock-free by all traffic threads of a router. It is soft
/// state: after a restart, only choices that depend on measured demand, load or hints can differ.
#[derive(Debug)]
pub struct Placer {
    conf: PlacementConf,
    hints: HintTable,
    group_demand: DemandSketch,
    anchor_demand: DemandSketch,
    budget: DetourBudget,
    round_robin: AtomicUsize,
    reasons: ReasonCounts,
}

/// Request rates observed by one router. The plan is computed from the reports of all routers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandReport {
    /// Requests per second over all prefixes.
    pub requests_per_s: f64,
    /// The most requested groups, in descending order of rate.
    pub groups: Vec<PrefixDemand>,
}

impl Placer {
    /// Creates a placer without hints or demand history.
    pub fn new(conf: PlacementConf) -> Placer {
        Placer {
            hints: HintTable::new(conf.hint_slots),
            group_demand: DemandSketch::new(GROUP_SLOTS, conf.demand_window_ms),
            anchor_demand: DemandSketch::new(ANCHOR_SLOTS, conf.demand_window_ms),
            budget: DetourBudget::new(conf.detour_share),
            round_robin: AtomicUsize::new(0),
            reasons: ReasonCounts::default(),
            conf,
        }
    }

    /// Selects a server for a request, or `None` if no server is usable.
    pub fn choose(
        &self,
        view: &FleetView,
        chain: &PromptChain,
        request: &PlacementRequest<'_>,
    ) -> Option<Choice> {
        let chooser = Chooser { placer: self, view, chain, request };
        let choice = match request.policy {
            PolicyKind::Cost => chooser.lowest_cost(),
            PolicyKind::RoundRobin => chooser.round_robin(),
            PolicyKind::LeastLoad => chooser.least_load(),
            PolicyKind::PrefixHash => chooser.prefix_hash(),
        }?;
        self.reasons.add(choice.reason);
        Some(choice)
    }

    /// Records that the request is sent to the chosen server. It counts towards the server's load
    /// until the returned value is dropped.
    pub fn begin(
        &self,
        choice: &Choice,
        chain: &PromptChain,
        weights: ClassWeights,
        now_ms: u64,
    ) -> OpenRequest {
        if let (Some(group), Some(anchor)) = (chain.group(), chain.anchor()) {
            self.group_demand.record_request(group.hash, now_ms);
            self.anchor_demand.record_request(anchor.hash, now_ms);
        }
        let uncached = chain.tokens().saturating_sub(choice.predicted_cached);
        self.budget.deposit(f64::from(uncached));
        OpenRequest::new(choice, chain, weights.band(), uncached, now_ms)
    }

    /// Records the first token. Replies from another incarnation of the server are not used to
    /// update estimates.
    pub fn first_token(
        &self,
        open: &mut OpenRequest,
        reply: &ReplyStats,
        now_ms: u64,
    ) -> ReplySource {
        let source = open.first_token(reply, now_ms);
        if source == ReplySource::SelectedIncarnation {
            let chain = open.chain();
            let uncached = reply.prompt_tokens.saturating_sub(reply.cached_tokens);
            if let Some(group) = chain.group() {
                self.group_demand.record_uncached(group.hash, f64::from(uncached), now_ms);
            }
            for level in chain.hint_levels() {
                self.hints.record(level.hash, open.meter().id(), now_ms);
            }
        }
        source
    }

    /// Applies a server's cache events to the hints. Stored events are applied only for anchors
    /// that this router requests often.
    pub fn apply_events(&self, meter: &ServerMeter, new_events: &NewEvents, now_ms: u64) {
        if new_events.incarnation != meter.incarnation()
            || new_events.continuity == StreamContinuity::StaleIncarnation
        {
            return;
        }
        if new_events.continuity != StreamContinuity::Continuous {
            meter.invalidate_hints(now_ms);
        }
        for event in &new_events.events {
            match event.kind {
                CacheEventKind::Stored if self.is_often_requested(event.hash, now_ms) => {
                    self.hints.record(event.hash, meter.id(), now_ms);
                }
                CacheEventKind::Stored => {}
                CacheEventKind::Evicted => self.hints.invalidate(event.hash, meter.id()),
                CacheEventKind::Cleared => meter.invalidate_hints(now_ms),
            }
        }
    }

    /// Records a hint received from another router.
    pub fn record_hint(&self, prefix: PromptHash, meter: &ServerMeter, now_ms: u64) {
        self.hints.record(prefix, meter.id(), now_ms);
    }

    /// The most requested anchors, each with the server that most recently had it cached, for sharing with
    /// other routers.
    pub fn hot_hints<'a>(
        &self,
        view: &'a FleetView,
        limit: usize,
        now_ms: u64,
    ) -> Vec<(PromptHash, &'a ServerMeter)> {
        let hottest = self.anchor_demand.top(limit, now_ms);
        hottest
            .iter()
            .filter_map(|demand| {
                let hints = self.hints.lookup(demand.prefix, now_ms);
                let newest = hints.min_by_key(|hint| hint.age_ms)?;
                Some((demand.prefix, &*view.server_at(view.index_of(newest.server)?).meter))
            })
            .collect()
    }

    /// The demand observed by this router, as input to the plan.
    pub fn demand(&self, groups: usize, now_ms: u64) -> DemandReport {
        DemandReport {
            requests_per_s: self.group_demand.requests_per_s(now_ms),
            groups: self.group_demand.top(groups, now_ms),
        }
    }

    /// Number of choices by reason.
    pub fn reasons(&self) -> &ReasonCounts {
        &self.reasons
    }

    /// The placement configuration.
    pub fn conf(&self) -> &PlacementConf {
        &self.conf
    }

    pub(crate) fn hints(&self) -> &HintTable {
        &self.hints
    }

    pub(crate) fn group_demand(&self) -> &DemandSketch {
        &self.group_demand
    }

    pub(crate) fn anchor_demand(&self) -> &DemandSketch {
        &self.anchor_demand
    }

    pub(crate) fn budget(&self) -> &DetourBudget {
        &self.budget
    }

    pub(crate) fn next_round_robin(&self) -> usize {
        self.round_robin.fetch_add(1, Ordering::Relaxed)
    }

    fn is_often_requested(&self, prefix: PromptHash, now_ms: u64) -> bool {
        MIN_RECORDED_REQUESTS <= self.anchor_demand.count(prefix, now_ms)
    }
}
