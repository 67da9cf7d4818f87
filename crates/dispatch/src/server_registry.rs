//! This router's view of all backend servers, and the selection among them.

mod brittle;
mod choices;
mod connectivity;
mod gossip;
mod isolation;
mod limits;
mod reach;
mod slots;
mod versions;

pub use self::brittle::RejectionNotice;
pub use self::slots::DivisionChange;

use std::sync::Arc;
use std::time::Duration;

use fulmargate_admission::LimitGrant;
use fulmargate_admission::ServerLimits;
use fulmargate_names::ModelName;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::CallFacts;
use crate::CallShape;
use crate::DemandMeter;
use crate::EngineChoice;
use crate::LoadReport;
use crate::PeerLoadTable;
use crate::PromptCacheEstimate;
use crate::PromptNotice;
use crate::ServerEntry;
use crate::ServerKey;
use crate::ServerState;
use crate::Urgency;
use crate::chat_gap_tracker::ChatGapTracker;
use crate::engine_choice::scope_of;
use crate::link_usage::LinkUsage;
use crate::local_fault_detector::LocalFaultDetector;
use crate::pending_updates::PendingUpdates;
use crate::plain_queue::PlainQueue;
use crate::reach_tracker::ReachTracker;
use crate::server_state::ROUTER_START_FILL_TIME;
use crate::slot_shares::SlotShares;

/// How long a server that rejected a request as full is skipped: about the time in which one of its
/// running requests ends.
const FULL_BACKOFF: Duration = Duration::from_millis(60);
/// How long an engine that rejected a prompt while loading weights is skipped. Covers the load and what the
/// engine finishes before it.
const LOADING_BACKOFF: Duration = Duration::from_millis(350);

/// A sent prompt counts as ready to be fetched from the engine after this multiple of its estimated time to the
/// first event. The estimate is too low while prompts sent by other routers are not known here.
const READY_FACTOR: f64 = 2.0;

/// A request in flight at a server.
#[derive(Clone, Debug)]
pub struct SendTicket {
    /// The server.
    pub server: ServerKey,
    tokens: f64,
    urgency: Urgency,
    shape: CallShape,
    /// Whether its prompt tokens are still counted in the server's backlog.
    is_queued: bool,
    sent_at: Instant,
    /// Admission by the server's rate limit, given back if the request is not sent; `None` without a limit.
    grant: Option<LimitGrant>,
    /// When the request went out; `None` until then.
    left_at: Option<Instant>,
}

impl SendTicket {
    /// Admission by the server's rate limit; `None` without a limit.
    pub fn grant(&self) -> Option<LimitGrant> {
        self.grant
    }
}

/// Registry of all listed servers with their estimated state.
#[derive(Debug, Default)]
pub struct ServerRegistry {
    servers: IndexMap<ServerKey, ServerState>,
    /// Estimated contents of the prompt cache store.
    store_cache: PromptCacheEstimate,
    /// Load on the link between the prompt cache store and the engines.
    store_link: LinkUsage,
    /// Requests in flight from the other routers.
    peers: PeerLoadTable,
    /// Interval between two gossip messages of a router, once configured.
    gossip_interval: Option<Duration>,
    /// Request rate of each prompt part, over all routers.
    demand: DemandMeter,
    /// How much long prompts delay chat streams on the same engine.
    chat_gaps: ChatGapTracker,
    /// Prompts sent since the last gossip message.
    pending_prompts: Vec<PromptNotice>,
    /// Cache updates received since the last gossip message.
    pending_cache_updates: PendingUpdates,
    /// Servers whose address now belongs to another server. Ignored until the list drops them.
    replaced: IndexSet<ServerKey>,
    /// Listed servers that are draining. They are not among `servers`.
    draining: IndexSet<ServerKey>,
    /// Rate limits that servers name; `None` where no other router shares them.
    limits: Option<ServerLimits>,
    /// Whether any server was ever listed.
    has_servers: bool,
    /// Keys in `limits` that belong to listed servers and their services.
    limit_keys: IndexSet<u64>,
    /// When the headroom of limited servers was last updated.
    headroom_refreshed: Option<Instant>,
    /// Plain calls that wait for a limited server.
    plain_queue: PlainQueue,
    /// Recent connection attempts, from which a local network fault is suspected.
    local_fault_detector: LocalFaultDetector,
    /// Services of which this host reaches no server.
    reach: ReachTracker,
    /// Rejections by brittle servers since the last gossip message.
    pending_rejections: Vec<brittle::PendingRejection>,
    /// How the slots of brittle servers are divided among the routers, by service.
    slot_shares: IndexMap<ServiceName, SlotShares>,
    /// Changes of these divisions since they were last taken.
    division_changes: Vec<DivisionChange>,
}

fn limit_keys(entries: &[Arc<ServerEntry>]) -> IndexSet<u64> {
    let of_entry = |entry: &Arc<ServerEntry>| {
        let server = entry.key();
        [server.0, brittle::risk_key(server), brittle::service_risk_key(&entry.service)]
    };
    entries.iter().flat_map(of_entry).collect()
}

impl ServerRegistry {
    /// Replaces the servers that are listed as draining.
    pub fn set_draining(&mut self, draining: IndexSet<ServerKey>) {
        self.draining = draining;
    }

    /// Whether a server is listed as draining.
    pub fn is_draining(&self, server: ServerKey) -> bool {
        self.draining.contains(&server)
    }

    /// Adds and updates the servers of the list, and removes all others.
    pub fn sync(&mut self, entries: &[Arc<ServerEntry>], now: Instant) {
        let listed_keys: IndexSet<ServerKey> = entries.iter().map(|entry| entry.key()).collect();
        self.servers.retain(|key, _| listed_keys.contains(key));
        self.replaced.retain(|key| listed_keys.contains(key));
        self.reach.retain(|key| listed_keys.contains(&key));
        self.limit_keys = limit_keys(entries);
        if let Some(limits) = &mut self.limits {
            limits.retain(|key| self.limit_keys.contains(&key));
        }
        let is_first = !self.has_servers;
        self.has_servers |= !entries.is_empty();
        for entry in entries {
            let key = entry.key();
            if self.replaced.contains(&key) {
                continue;
            }
            match self.servers.get_mut(&key) {
                Some(state) => state.update(entry),
                None => {
                    let mut state = ServerState::new(entry.clone(), now);
                    state.awaits_first_response = self.limits.is_some();
                    if is_first {
                        state.fill_time = ROUTER_START_FILL_TIME;
                    }
                    self.servers.insert(key, state);
                }
            }
        }
    }

    /// State of a listed server.
    pub fn state(&self, server: ServerKey) -> Option<&ServerState> {
        self.servers.get(&server)
    }

    /// Requests in flight from all routers at a server.
    pub fn open_at(&self, server: ServerKey) -> u32 {
        let Some(state) = self.state(server) else { return 0 };
        state.open + self.peers.total(server).open
    }

    /// States of all listed servers.
    pub fn states(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.values()
    }

    /// Time in which the fastest server of a service responds; zero while none has.
    pub fn min_latency(&self, service: &ServiceName, now: Instant) -> Duration {
        let of_service = |state: &&ServerState| state.entry.service == *service;
        let observed = self.servers.values().filter(of_service).filter(|state| state.has_latency());
        let latency_ms = observed.map(|state| state.latency_ms(now)).min_by(f64::total_cmp);
        Duration::from_secs_f64(latency_ms.unwrap_or_default() / 1_000.0)
    }

    /// Counts a plain call as sent to the server.
    pub fn record_send(&mut self, call: &CallFacts, server: ServerKey, now: Instant) -> SendTicket {
        let tokens = f64::from(call.prompt_tokens());
        let urgency = Urgency::timely(call.priority);
        if let Some(state) = self.state_mut(server) {
            state.add_open(now);
            state.backlog.add(urgency, tokens);
        }
        SendTicket {
            server,
            tokens,
            urgency,
            shape: CallShape::Plain,
            is_queued: true,
            sent_at: now,
            grant: None,
            left_at: None,
        }
    }

    /// Counts a prompt as sent to the chosen engine and queues it for the next gossip message.
    pub fn record_prompt_send(
        &mut self,
        call: &CallFacts,
        choice: &EngineChoice,
        now: Instant,
    ) -> SendTicket {
        let notice = PromptNotice {
            server: choice.server.key(),
            scope: scope_of(&choice.salt),
            parts: call.shared_parts().iter().map(|part| part.hash).collect(),
            taken_tokens: choice.added_tokens as u32,
            ready_ms: (choice.estimate_ms * READY_FACTOR) as u32,
            is_stored: choice.save_to.is_some(),
            source: choice.fetch.map(|fetch| fetch.source),
            transfer_ms: choice.fetch.map_or(0, |fetch| fetch.transfer_ms as u32),
        };
        self.apply_prompt_notice(&notice, now);
        if self.pending_prompts.len() < gossip::MAX_PENDING_PROMPTS {
            self.pending_prompts.push(notice);
        }
        if let Some(state) = self.state_mut(choice.server.key()) {
            state.add_open(now);
            state.chats += u32::from(choice.shape == CallShape::Chat);
            state.backlog.add(choice.urgency, choice.prefill_tokens);
        }
        SendTicket {
            server: choice.server.key(),
            tokens: choice.prefill_tokens,
            urgency: choice.urgency,
            shape: choice.shape,
            is_queued: true,
            sent_at: now,
            grant: None,
            left_at: None,
        }
    }

    fn state_mut(&mut self, server: ServerKey) -> Option<&mut ServerState> {
        self.servers.get_mut(&server)
    }

    /// Records the first part of a response.
    pub fn record_response(
        &mut self,
        ticket: &mut SendTicket,
        load: Option<LoadReport>,
        now: Instant,
    ) {
        if let Some(state) = self.state_mut(ticket.server) {
            if ticket.is_queued {
                state.backlog.take(ticket.urgency, ticket.tokens);
            }
            state.record_response(load, now);
        }
        ticket.is_queued = false;
    }

    /// Removes a request that ended, successfully or not, from the server's counts.
    pub fn record_end(&mut self, ticket: &SendTicket) {
        self.refund_unsent(ticket);
        if let Some(state) = self.state_mut(ticket.server) {
            state.open = state.open.saturating_sub(1);
            let chats = u32::from(ticket.shape == CallShape::Chat);
            state.chats = state.chats.saturating_sub(chats);
            if ticket.is_queued {
                state.backlog.take(ticket.urgency, ticket.tokens);
            }
        }
    }

    /// Records a complete, successful response.
    pub fn record_success(&mut self, ticket: &SendTicket, now: Instant) {
        let latency = now.saturating_duration_since(ticket.sent_at);
        if let Some(state) = self.state_mut(ticket.server) {
            state.succeeded(latency, now);
        }
    }

    /// Records the longest gap between events of a finished stream, as a share of the gap that its route accepts.
    pub fn record_stall(&mut self, ticket: &SendTicket, share: f64, now: Instant) {
        if ticket.shape == CallShape::Chat {
            self.chat_gaps.record(share, now);
        }
    }

    /// Records a failed request.
    pub fn record_failure(&mut self, server: ServerKey, now: Instant) {
        if let Some(state) = self.state_mut(server) {
            state.failed(now);
        }
    }

    /// Records that the server rejected a plain request as full.
    pub fn record_rejection(&mut self, server: ServerKey, now: Instant) {
        if let Some(state) = self.state_mut(server) {
            state.mark_full(FULL_BACKOFF, now);
        }
        self.record_brittle_rejection(server, now);
    }

    /// Records that an engine rejected a prompt. If the engine runs older weights than the target version,
    /// it is assumed to be loading that version.
    pub fn record_prompt_rejection(
        &mut self,
        server: ServerKey,
        model: &ModelName,
        wanted: Option<WeightsVersion>,
        now: Instant,
    ) {
        let Some(state) = self.state_mut(server) else { return };
        let is_outdated = wanted
            .is_some_and(|wanted| state.weights(model).is_some_and(|weights| weights < wanted));
        if !is_outdated {
            state.mark_full(FULL_BACKOFF, now);
            self.record_brittle_rejection(server, now);
            return;
        }
        state.mark_full(LOADING_BACKOFF, now);
        if let Some(wanted) = wanted {
            state.assume_weights(model, wanted);
        }
    }

    /// Records that an engine rejected a request because it runs other weights than expected. It is assumed
    /// to run the target version if that is newer than the expected one; otherwise, earlier assumptions about
    /// the engine's weights are dropped.
    pub fn record_weights_mismatch(
        &mut self,
        server: ServerKey,
        model: &ModelName,
        sent: WeightsVersion,
        wanted: Option<WeightsVersion>,
    ) {
        let Some(state) = self.state_mut(server) else { return };
        match wanted {
            Some(wanted) if sent < wanted => state.assume_weights(model, wanted),
            _ => state.clear_assumed_weights(),
        }
    }

    /// Records the weights version named in a response.
    pub fn learn_weights(&mut self, server: ServerKey, model: &ModelName, seen: WeightsVersion) {
        if let Some(state) = self.state_mut(server) {
            state.learn_weights(model, seen);
        }
    }

    /// Records that this router, as the lease holder, ordered the engine to load weights.
    pub fn record_weights_order(&mut self, server: ServerKey, now: Instant) {
        if let Some(state) = self.state_mut(server) {
            state.mark_loading(now);
        }
    }

    /// Records that the load order failed and the engine keeps its weights.
    pub fn record_weights_failure(&mut self, server: ServerKey) {
        if let Some(state) = self.state_mut(server) {
            state.clear_loading();
        }
    }

    /// Records that the engine confirmed the load.
    pub fn record_weights_loaded(
        &mut self,
        server: ServerKey,
        model: &ModelName,
        seen: WeightsVersion,
    ) {
        if let Some(state) = self.state_mut(server) {
            state.mark_loaded(model, seen);
        }
    }

    /// Removes a server because another one answered at its address.
    pub fn forget(&mut self, server: ServerKey) {
        self.servers.swap_remove(&server);
        self.replaced.insert(server);
    }
}
