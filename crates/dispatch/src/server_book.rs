//! All backend servers as this router sees them, and the choice among them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::CacheNotice;
use crate::CallFacts;
use crate::CallShape;
use crate::ChoiceReason;
use crate::EngineChoice;
use crate::EngineRequest;
use crate::LoadReport;
use crate::PartMemory;
use crate::PeerBoard;
use crate::PeerLoad;
use crate::PeerNews;
use crate::PromptNotice;
use crate::ServerEntry;
use crate::ServerKey;
use crate::ServerState;
use crate::Urgency;
use crate::engine_choice::Candidate;
use crate::engine_choice::OthersLoad;
use crate::engine_choice::Surroundings;
use crate::engine_choice::scope_of;
use crate::link_meter::LinkMeter;
use crate::prompt_source::PromptSource;

/// A server that is full takes requests again after about this time; one request of it has ended.
const FULL_PAUSE: Duration = Duration::from_millis(60);
/// An engine under an order turns requests away for about this time: the load and what it finishes
/// before.
const LOADING_PAUSE: Duration = Duration::from_millis(350);
/// What a way to another zone costs a plain call, as time.
const ZONE_MS: f64 = 2.0;
/// What a failure of a plain call costs, as time.
const FAILURE_MS: f64 = 150.0;

/// Prompts that wait to be told; what is beyond is a guess that the others lack.
const MOST_UNTOLD: usize = 256;
/// What a server that is still slow after its start costs, as time.
const COLD_MS: f64 = 30.0;
/// A shorter shared beginning is read in less time than a fetch takes.
const LEAST_SAVED_TOKENS: u32 = 1_000;

/// A request that is under way at a server.
#[derive(Clone, Debug)]
pub struct SendTicket {
    /// The server.
    pub server: ServerName,
    tokens: f64,
    urgency: Urgency,
    shape: CallShape,
    is_awaited: bool,
    sent: Instant,
}

/// Beliefs about all servers of the list.
#[derive(Debug, Default)]
pub struct ServerBook {
    servers: IndexMap<ServerName, ServerState>,
    /// What the store of cached prompts has been told to keep.
    kept: PartMemory,
    /// The store's link to the engines.
    store_link: LinkMeter,
    /// What the other routers have under way.
    peers: PeerBoard,
    /// Prompts sent since the others were last told.
    untold: Vec<PromptNotice>,
    /// And what caches have said since.
    untold_caches: Vec<CacheNotice>,
    /// Servers whose address another server answered at. Names are never used twice.
    gone: IndexSet<ServerName>,
}

impl ServerBook {
    /// Takes over the list's servers; those that are no longer in it are forgotten.
    pub fn sync(&mut self, entries: &[Arc<ServerEntry>], now: Instant) {
        self.servers.retain(|name, _| entries.iter().any(|entry| entry.name == *name));
        self.gone.retain(|name| entries.iter().any(|entry| entry.name == *name));
        for entry in entries.iter().filter(|entry| !self.gone.contains(&entry.name)) {
            match self.servers.get_mut(&entry.name) {
                Some(state) => state.update(entry),
                None => {
                    let state = ServerState::new(entry.clone(), now);
                    self.servers.insert(entry.name.clone(), state);
                }
            }
        }
    }

    /// One server.
    pub fn state(&self, name: &ServerName) -> Option<&ServerState> {
        self.servers.get(name)
    }

    /// Requests of all routers at a server.
    pub fn open_at(&self, name: &ServerName, now: Instant) -> u32 {
        let Some(state) = self.servers.get(name) else { return 0 };
        state.open + self.peers.open(state.key(), now)
    }

    /// All servers.
    pub fn states(&self) -> impl Iterator<Item = &ServerState> {
        self.servers.values()
    }

    /// The server of a plain service that is expected to answer first.
    pub fn choose_plain(
        &self,
        service: &ServiceName,
        zone: &ZoneName,
        excluded: &[ServerName],
        now: Instant,
    ) -> Option<Arc<ServerEntry>> {
        let of_service = |state: &&ServerState| {
            state.entry.service == *service && !excluded.contains(&state.entry.name)
        };
        let cost = |state: &ServerState| {
            let slots = f64::from(state.entry.slots.max(1));
            let open = state.occupancy(now).max(state.open + self.peers.open(state.key(), now));
            let load = 1.0 + f64::from(open) / slots;
            let away = if state.entry.zone == *zone { 0.0 } else { ZONE_MS };
            let cold = state.entry.warm_up.as_secs_f64().min(1.0) * COLD_MS;
            state.latency_ms(now) * load + state.failure_share(now) * FAILURE_MS + away + cold
        };
        let least = |states: Vec<&ServerState>| {
            let best = states.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
            best.map(|state| state.entry.clone())
        };
        let open = self.servers.values().filter(of_service).filter(|state| state.is_open(now));
        least(open.collect()).or_else(|| least(self.servers.values().filter(of_service).collect()))
    }

    /// The engine that costs least, by waiting, by what it would read anew, and by its weights. If
    /// it could not answer in time, the request goes behind those that can be.
    pub fn choose_engine(&self, request: &EngineRequest<'_>) -> Option<EngineChoice> {
        let priority = request.call.priority;
        let choice = self.cheapest_engine(request, Urgency::timely(priority))?;
        if request.is_timely(choice.estimate_ms) {
            return Some(choice);
        }
        self.cheapest_engine(request, Urgency::late(priority))
    }

    fn cheapest_engine(
        &self,
        request: &EngineRequest<'_>,
        urgency: Urgency,
    ) -> Option<EngineChoice> {
        let allowed: Vec<(&ServerState, WeightsVersion)> = self
            .servers
            .values()
            .filter_map(|state| Some((state, request.allows(state)?)))
            .collect();
        let home = allowed.iter().map(|(state, _)| request.home_score(state)).max()?;
        let shape = CallShape::of(request.call, request.engine_rule()?);
        let routers = self.peers.hosts(request.now).count();
        let scores: Vec<u64> = allowed.iter().map(|(state, _)| request.chat_score(state)).collect();
        let mut sources: IndexMap<WeightsVersion, Vec<PromptSource>> = IndexMap::new();
        let mut rated: Vec<(Candidate<'_>, bool)> = Vec::with_capacity(allowed.len());
        for (state, weights) in allowed {
            let sources = sources.entry(weights).or_insert_with(|| self.sources(request, weights));
            let (key, now) = (state.key(), request.now);
            let others = OthersLoad {
                open: self.peers.open(key, now),
                chats: self.peers.chats(key, now),
                tokens_before: self.peers.tokens_before(key, urgency, now),
                tokens: self.peers.tokens_before(key, Urgency::LAST, now),
            };
            let is_home = request.home_score(state) == home;
            let score = request.chat_score(state);
            let chat_rank = scores.iter().filter(|other| score < **other).count();
            let around = Surroundings {
                is_home,
                urgency,
                shape,
                chat_rank,
                engines: scores.len(),
                routers,
                others,
                sources,
            };
            let candidate = request.candidate(state, weights, &around);
            rated.push((candidate, state.is_open(now)));
        }
        let by_cost =
            |a: &&(Candidate<'_>, bool), b: &&(Candidate<'_>, bool)| a.0.cost.total_cmp(&b.0.cost);
        let open = rated.iter().filter(|(_, is_open)| *is_open).min_by(by_cost);
        let (best, is_open) = open.or_else(|| rated.iter().min_by(by_cost))?;
        let reason = match (is_open, best.is_home) {
            (false, _) => ChoiceReason::LastResort,
            (true, true) => ChoiceReason::Home,
            (true, false) => ChoiceReason::Cheaper,
        };
        Some(EngineChoice {
            server: best.state.entry.clone(),
            weights: best.weights,
            salt: best.salt.clone(),
            fetch: best.fetch,
            save_to: self.save_to(request, &best.salt),
            reason,
            urgency,
            shape,
            estimate_ms: best.estimate_ms,
            read_tokens: best.read_tokens,
            taken_tokens: best.taken_tokens,
        })
    }

    /// Who has parts of the prompt under the salt of these weights.
    fn sources(&self, request: &EngineRequest<'_>, weights: WeightsVersion) -> Vec<PromptSource> {
        let scope = scope_of(&request.salt(weights));
        let link_mbps = request.engine_rule().map_or(0.0, |engine| engine.link_mbps);
        let of_service = self.servers.values().filter(|state| {
            state.entry.service == *request.service && state.is_reachable(request.now)
        });
        let engine = |state: &ServerState| PromptSource {
            key: state.key(),
            address: state.entry.address,
            zone: state.entry.zone.clone(),
            tokens: request.known_tokens(state, scope),
            link_mbps,
            link: state.link,
        };
        let mut sources: Vec<PromptSource> = of_service.map(engine).collect();
        if let Some(store) = request.table.cache_store() {
            let shared = request.call.shared_parts();
            sources.push(PromptSource {
                key: ServerKey::STORE,
                address: store.address,
                zone: store.zone.clone(),
                tokens: self.kept.cached_tokens(scope, shared, store.cache_tokens as f64),
                link_mbps: store.link_mbps,
                link: self.store_link,
            });
        }
        sources.retain(|source| 0 < source.tokens);
        sources
    }

    /// The store, if it does not have the shared parts yet.
    fn save_to(&self, request: &EngineRequest<'_>, salt: &str) -> Option<SocketAddr> {
        let store = request.table.cache_store()?;
        let shared = request.call.shared_tokens();
        if shared < LEAST_SAVED_TOKENS {
            return None;
        }
        let parts = request.call.shared_parts();
        let kept = self.kept.cached_tokens(scope_of(salt), parts, store.cache_tokens as f64);
        (kept < shared).then_some(store.address)
    }

    /// The call goes to the server.
    pub fn begin(&mut self, call: &CallFacts, server: &ServerName, now: Instant) -> SendTicket {
        let tokens = f64::from(call.prompt_tokens());
        let urgency = Urgency::timely(call.priority);
        if let Some(state) = self.servers.get_mut(server) {
            state.open += 1;
            state.backlog.add(urgency, tokens);
        }
        SendTicket {
            server: server.clone(),
            tokens,
            urgency,
            shape: CallShape::Plain,
            is_awaited: true,
            sent: now,
        }
    }

    /// The call's prompt goes to the chosen engine.
    pub fn begin_prompt(
        &mut self,
        call: &CallFacts,
        choice: &EngineChoice,
        now: Instant,
    ) -> SendTicket {
        let notice = PromptNotice {
            server: ServerKey::of(&choice.server.name),
            scope: scope_of(&choice.salt),
            parts: call.shared_parts().iter().map(|part| part.hash).collect(),
            taken_tokens: choice.taken_tokens as u32,
            is_stored: choice.save_to.is_some(),
            source: choice.fetch.map(|fetch| fetch.source),
            transfer_ms: choice.fetch.map_or(0, |fetch| fetch.transfer_ms as u32),
        };
        self.note_prompt(&notice, now);
        if self.untold.len() < MOST_UNTOLD {
            self.untold.push(notice);
        }
        if let Some(state) = self.servers.get_mut(&choice.server.name) {
            state.open += 1;
            state.chats += u32::from(choice.shape == CallShape::Chat);
            state.backlog.add(choice.urgency, choice.read_tokens);
        }
        SendTicket {
            server: choice.server.name.clone(),
            tokens: choice.read_tokens,
            urgency: choice.urgency,
            shape: choice.shape,
            is_awaited: true,
            sent: now,
        }
    }

    /// A prompt goes to an engine, through this router or another.
    fn note_prompt(&mut self, notice: &PromptNotice, now: Instant) {
        let parts = || notice.parts.iter().copied();
        let taken = f64::from(notice.taken_tokens);
        if let Some(state) = self.by_key(notice.server) {
            state.memory.read(notice.scope, parts(), taken);
        }
        if notice.is_stored || notice.source == Some(ServerKey::STORE) {
            let stored = if notice.is_stored { taken } else { 0.0 };
            self.kept.read(notice.scope, parts(), stored);
        }
        let transfer_ms = f64::from(notice.transfer_ms);
        match notice.source {
            Some(ServerKey::STORE) => self.store_link.add(transfer_ms, now),
            Some(source) => {
                if let Some(state) = self.by_key(source) {
                    state.link.add(transfer_ms, now);
                }
            }
            None => {}
        }
    }

    fn by_key(&mut self, key: ServerKey) -> Option<&mut ServerState> {
        self.servers.values_mut().find(|state| state.key() == key)
    }

    /// The first of the answer has come.
    pub fn answered(&mut self, ticket: &mut SendTicket, load: Option<LoadReport>, now: Instant) {
        if let Some(state) = self.servers.get_mut(&ticket.server) {
            if ticket.is_awaited {
                state.backlog.take(ticket.urgency, ticket.tokens);
            }
            state.heard(load, now);
        }
        ticket.is_awaited = false;
    }

    /// The request has left the server, whatever became of it.
    pub fn left(&mut self, ticket: &SendTicket) {
        if let Some(state) = self.servers.get_mut(&ticket.server) {
            state.open = state.open.saturating_sub(1);
            let chats = u32::from(ticket.shape == CallShape::Chat);
            state.chats = state.chats.saturating_sub(chats);
            if ticket.is_awaited {
                state.backlog.take(ticket.urgency, ticket.tokens);
            }
        }
    }

    /// The whole answer came and was good.
    pub fn succeeded(&mut self, ticket: &SendTicket, now: Instant) {
        let took = now.saturating_duration_since(ticket.sent);
        if let Some(state) = self.servers.get_mut(&ticket.server) {
            state.succeeded(took, now);
        }
    }

    /// The server failed the request.
    pub fn failed(&mut self, server: &ServerName, now: Instant) {
        if let Some(state) = self.servers.get_mut(server) {
            state.failed(now);
        }
    }

    /// No connection could be had.
    pub fn unreachable(&mut self, server: &ServerName, now: Instant) {
        if let Some(state) = self.servers.get_mut(server) {
            state.unreachable(now);
        }
    }

    /// The server turned a plain request away.
    pub fn turned_away(&mut self, server: &ServerName, now: Instant) {
        if let Some(state) = self.servers.get_mut(server) {
            state.full(FULL_PAUSE, now);
        }
    }

    /// An engine turned a prompt away. If newer weights are wanted, it is most likely loading them.
    pub fn turned_away_prompt(
        &mut self,
        server: &ServerName,
        model: &ModelName,
        wanted: Option<WeightsVersion>,
        now: Instant,
    ) {
        let Some(state) = self.servers.get_mut(server) else { return };
        let is_behind = wanted
            .is_some_and(|wanted| state.weights(model).is_some_and(|weights| weights < wanted));
        if !is_behind {
            state.full(FULL_PAUSE, now);
            return;
        }
        state.full(LOADING_PAUSE, now);
        if let Some(wanted) = wanted {
            state.assume_weights(model, wanted);
        }
    }

    /// The engine runs other weights than expected: the newest, unless these were expected.
    pub fn misjudged_weights(
        &mut self,
        server: &ServerName,
        model: &ModelName,
        sent: WeightsVersion,
        wanted: Option<WeightsVersion>,
    ) {
        let Some(state) = self.servers.get_mut(server) else { return };
        match wanted {
            Some(wanted) if sent < wanted => state.assume_weights(model, wanted),
            _ => state.drop_assumption(),
        }
    }

    /// An answer names the weights in use.
    pub fn learn_weights(&mut self, server: &ServerName, model: &ModelName, seen: WeightsVersion) {
        if let Some(state) = self.servers.get_mut(server) {
            state.learn_weights(model, seen);
        }
    }

    /// What the other routers are told of this one's requests. Prompts are told once.
    pub fn take_news(&mut self) -> PeerNews {
        let busy = self.servers.values().filter(|state| 0 < state.open);
        let loads = busy
            .map(|state| PeerLoad {
                server: state.key(),
                open: state.open,
                chats: state.chats,
                backlog: state.backlog,
            })
            .collect();
        let prompts = std::mem::take(&mut self.untold);
        let caches = std::mem::take(&mut self.untold_caches);
        PeerNews { loads, prompts, caches, ..PeerNews::default() }
    }

    /// Another router's message.
    pub fn hear(&mut self, news: &PeerNews, now: Instant) {
        let Some(host) = &news.host else { return };
        self.peers.hear(host, news.zone.as_ref(), &news.loads, now);
        for notice in &news.loading {
            let Some(state) = self.by_key(notice.server) else { continue };
            match notice.is_done {
                true => state.loaded(&notice.model, notice.version),
                false => state.loads(now),
            }
        }
        for notice in &news.prompts {
            self.note_prompt(notice, now);
        }
        for notice in &news.caches {
            self.note_cache(notice);
        }
    }

    /// An engine or the store has told this router of its cache.
    pub fn hear_cache(&mut self, notice: CacheNotice) {
        self.note_cache(&notice);
        if self.untold_caches.len() < MOST_UNTOLD {
            self.untold_caches.push(notice);
        }
    }

    fn note_cache(&mut self, notice: &CacheNotice) {
        let memory = match notice.server {
            ServerKey::STORE => Some(&mut self.kept),
            server => self.by_key(server).map(|state| &mut state.memory),
        };
        let Some(memory) = memory else { return };
        if notice.is_reset {
            memory.clear();
        }
        for (key, tokens) in &notice.parts {
            memory.hear(*key, *tokens);
        }
    }

    /// Routers that have spoken lately.
    pub fn live_peers(&self, now: Instant) -> Vec<HostName> {
        self.peers.hosts(now).cloned().collect()
    }

    /// Those of one availability zone.
    pub fn zone_peers(&self, zone: &ZoneName, now: Instant) -> Vec<HostName> {
        self.peers.zone_hosts(zone, now).cloned().collect()
    }

    /// This router, which holds the lease, has an engine load weights.
    pub fn order_given(&mut self, server: &ServerName, now: Instant) {
        if let Some(state) = self.servers.get_mut(server) {
            state.loads(now);
        }
    }

    /// The engine has the weights by its own word.
    pub fn order_done(&mut self, server: &ServerName, model: &ModelName, seen: WeightsVersion) {
        if let Some(state) = self.servers.get_mut(server) {
            state.loaded(model, seen);
        }
    }

    /// Another server answered at the address: this one is gone from there.
    pub fn forget(&mut self, server: &ServerName) {
        self.servers.swap_remove(server);
        self.gone.insert(server.clone());
    }
}
