//! Chooses servers and learns from what became of it.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use fulmargate_names::PromptHash;

use crate::CacheEventKind;
use crate::Choice;
use crate::ClassWeights;
use crate::EventBreak;
use crate::EventNews;
use crate::FleetView;
use crate::OpenRequest;
use crate::PlaceRequest;
use crate::PlacementConf;
use crate::PolicyKind;
use crate::PrefixDemand;
use crate::PromptChain;
use crate::ReasonCounts;
use crate::ReplyFacts;
use crate::ServerMeter;
use crate::chooser::Chooser;
use crate::demand_sketch::DemandSketch;
use crate::detour_budget::DetourBudget;
use crate::hint_table::HintTable;
use crate::open_request::ReplyVerdict;

/// Groups that the demand is kept of.
const GROUP_SLOTS: usize = 4_096;
/// Anchors that the demand is kept of.
const ANCHOR_SLOTS: usize = 8_192;
/// An anchor with fewer recent requests is not hot, and its cache events are passed over.
const MIN_HOT_REQUESTS: f64 = 2.0;

/// The placement of one model's requests, shared by all traffic threads of a router. Nothing in it
/// takes a lock, and all of it may be lost: a new one chooses as the old one did, but for the
/// copies of hot prefixes and for detours.
#[derive(Debug)]
pub struct Placer {
    conf: PlacementConf,
    hints: HintTable,
    groups: DemandSketch,
    anchors: DemandSketch,
    budget: DetourBudget,
    round_robin: AtomicUsize,
    reasons: ReasonCounts,
}

/// What one router sees asked for; all routers' reports together make the plan.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DemandReport {
    /// Requests in a second, whatever their prefix.
    pub requests_per_s: f64,
    /// The most wanted groups, most wanted first.
    pub groups: Vec<PrefixDemand>,
}

impl Placer {
    /// Knows nothing yet.
    pub fn new(conf: PlacementConf) -> Placer {
        Placer {
            hints: HintTable::new(conf.hint_slots),
            groups: DemandSketch::new(GROUP_SLOTS, conf.demand_window_ms),
            anchors: DemandSketch::new(ANCHOR_SLOTS, conf.demand_window_ms),
            budget: DetourBudget::new(conf.detour_share),
            round_robin: AtomicUsize::new(0),
            reasons: ReasonCounts::default(),
            conf,
        }
    }

    /// The server for a request; none if no server can be used.
    pub fn choose(
        &self,
        view: &FleetView,
        chain: &PromptChain,
        request: &PlaceRequest<'_>,
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

    /// The request goes to the chosen server. The load counts until the value is dropped.
    pub fn begin(
        &self,
        choice: &Choice,
        chain: &PromptChain,
        weights: ClassWeights,
        now_ms: u64,
    ) -> OpenRequest {
        if let (Some(group), Some(anchor)) = (chain.group(), chain.anchor()) {
            self.groups.record_request(group.hash, now_ms);
            self.anchors.record_request(anchor.hash, now_ms);
        }
        let uncached = chain.tokens().saturating_sub(choice.predicted_cached);
        self.budget.deposit(f64::from(uncached));
        OpenRequest::new(choice, chain, weights.band(), uncached, now_ms)
    }

    /// The first token came. An answer by another life of the server teaches nothing.
    pub fn first_token(
        &self,
        open: &mut OpenRequest,
        reply: &ReplyFacts,
        now_ms: u64,
    ) -> ReplyVerdict {
        let verdict = open.first_token(reply, now_ms);
        if verdict == ReplyVerdict::Expected {
            let chain = open.chain();
            let uncached = reply.prompt_tokens.saturating_sub(reply.cached_tokens);
            if let Some(group) = chain.group() {
                self.groups.record_uncached(group.hash, f64::from(uncached), now_ms);
            }
            for level in chain.hint_levels() {
                self.hints.record(level.hash, open.meter().id(), now_ms);
            }
        }
        verdict
    }

    /// Takes in what a server's cache events say of prefixes that are hot here.
    pub fn learn_events(&self, meter: &ServerMeter, news: &EventNews, now_ms: u64) {
        if news.incarnation != meter.incarnation() || news.broken == EventBreak::LateLife {
            return;
        }
        if news.broken != EventBreak::None {
            meter.invalidate_hints(now_ms);
        }
        for event in &news.events {
            match event.kind {
                CacheEventKind::Stored if self.is_hot(event.hash, now_ms) => {
                    self.hints.record(event.hash, meter.id(), now_ms);
                }
                CacheEventKind::Stored => {}
                CacheEventKind::Evicted => self.hints.invalidate(event.hash, meter.id()),
                CacheEventKind::Cleared => meter.invalidate_hints(now_ms),
            }
        }
    }

    /// Takes in what another router knows of a prefix.
    pub fn learn_hint(&self, prefix: PromptHash, meter: &ServerMeter, now_ms: u64) {
        self.hints.record(prefix, meter.id(), now_ms);
    }

    /// The hottest anchors and where they were last seen cached, to be told to other routers.
    pub fn hot_hints<'a>(
        &self,
        view: &'a FleetView,
        wanted: usize,
        now_ms: u64,
    ) -> Vec<(PromptHash, &'a ServerMeter)> {
        let hottest = self.anchors.top(wanted, now_ms);
        hottest
            .iter()
            .filter_map(|demand| {
                let hints = self.hints.lookup(demand.prefix, now_ms);
                let newest = hints.min_by_key(|hint| hint.age_ms)?;
                Some((demand.prefix, &*view.server_at(view.index_of(newest.server)?).meter))
            })
            .collect()
    }

    /// What is asked for here, for the maker of the plan.
    pub fn demand(&self, groups: usize, now_ms: u64) -> DemandReport {
        DemandReport {
            requests_per_s: self.groups.requests_per_s(now_ms),
            groups: self.groups.top(groups, now_ms),
        }
    }

    /// How often each reason was given.
    pub fn reasons(&self) -> &ReasonCounts {
        &self.reasons
    }

    /// The constants in force.
    pub fn conf(&self) -> &PlacementConf {
        &self.conf
    }

    pub(crate) fn hints(&self) -> &HintTable {
        &self.hints
    }

    pub(crate) fn groups(&self) -> &DemandSketch {
        &self.groups
    }

    pub(crate) fn anchors(&self) -> &DemandSketch {
        &self.anchors
    }

    pub(crate) fn budget(&self) -> &DetourBudget {
        &self.budget
    }

    pub(crate) fn next_round_robin(&self) -> usize {
        self.round_robin.fetch_add(1, Ordering::Relaxed)
    }

    fn is_hot(&self, prefix: PromptHash, now_ms: u64) -> bool {
        MIN_HOT_REQUESTS <= self.anchors.count(prefix, now_ms)
    }
}
