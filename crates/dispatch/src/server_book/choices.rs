//! Which server a call goes to.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::CallShape;
use crate::ChoiceReason;
use crate::ChoiceView;
use crate::EngineChoice;
use crate::EngineRequest;
use crate::PlacementRequest;
use crate::Placing;
use crate::ServerBook;
use crate::ServerEntry;
use crate::ServerKey;
use crate::ServerState;
use crate::TakenEngine;
use crate::Urgency;
use crate::admission::has_room;
use crate::admission::is_short;
use crate::engine_choice::Surroundings;
use crate::engine_choice::scope_of;
use crate::experiment::Mechanism;
use crate::experiment::is_on;
use crate::gossip_interval;
use crate::prompt_source::PromptSource;

/// What a way to another zone costs a plain call, as time.
const ZONE_MS: f64 = 2.0;
/// What a failure of a plain call costs, as time.
const FAILURE_MS: f64 = 150.0;
/// What a server that is still slow after its start costs, as time.
const COLD_MS: f64 = 30.0;
/// What is left of one request's count after 6 s.
const ASKED_LATELY: f64 = 0.2;
/// A prompt's shared parts are this many times its own: the store is hardly filled with what nobody else
/// asks for.
const OWN_TO_SHARED: u32 = 2;
/// A shorter shared beginning is read in less time than a fetch takes.
const LEAST_SAVED_TOKENS: u32 = 1_000;

impl ServerBook {
    /// The server of a plain service that is expected to answer first.
    pub fn choose_plain(
        &self,
        service: &ServiceName,
        zone: &ZoneName,
        excluded: &[ServerKey],
        now: Instant,
    ) -> Option<Arc<ServerEntry>> {
        let of_service = |state: &&ServerState| {
            state.entry.service == *service && !excluded.contains(&state.key())
        };
        let cost = |state: &ServerState| {
            let slots = f64::from(state.entry.slots.max(1));
            let open = state.occupancy(now).max(state.open + self.peers.sum(state.key()).open);
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

    /// Takes the engine that suits the prompt best, if it has room.
    pub fn place(&mut self, wish: &PlacementRequest, view: ChoiceView<'_>) -> Placing {
        let choice = self.choose_engine(&wish.request(view, &wish.excluded));
        // Those already tried only if there is no other.
        let choice = choice.or_else(|| self.choose_engine(&wish.request(view, &[])));
        let Some(choice) = choice else { return Placing::Nowhere };
        if !has_room(wish, &choice, self.interval_in_force(view.now)) {
            return Placing::Wait(choice.read_tokens);
        }
        let ticket = self.begin_prompt(&wish.call, &choice, view.now);
        Placing::Taken(Box::new(TakenEngine { choice, ticket }))
    }

    /// The pause between two gossip messages of a router: the one that was set, or that of direct messages.
    fn interval_in_force(&self, now: Instant) -> Duration {
        self.gossip_interval.unwrap_or_else(|| gossip_interval(self.peers.hosts(now).count()))
    }

    /// The engine that costs least, by waiting, by what it would read anew, and by its weights. If
    /// it could not answer in time, the request goes behind those that can be.
    pub fn choose_engine(&self, request: &EngineRequest<'_>) -> Option<EngineChoice> {
        let priority = request.call.priority;
        if is_short(request.call) && is_on(Mechanism::ShortFirst) {
            return self.cheapest_engine(request, Urgency::short(priority));
        }
        let choice = self.cheapest_engine(request, Urgency::timely(priority))?;
        if request.is_timely(choice.estimate_ms) {
            return Some(choice);
        }
        self.cheapest_engine(request, Urgency::late(priority))
    }

    fn cheapest_engine<'a>(
        &'a self,
        request: &EngineRequest<'_>,
        urgency: Urgency,
    ) -> Option<EngineChoice> {
        let shape = CallShape::of(request.call, request.engine_rule()?);
        let allowed = self.allowed_engines(request);
        let sources = self.sources_by_weights(request, &allowed);
        let routers = self.peers.hosts(request.now).count();
        let gossip_interval_ms = match routers {
            0 => 0.0,
            _ => self.interval_in_force(request.now).as_secs_f64() * 1_000.0,
        };
        let around = |engine: &AllowedEngine<'_>| Surroundings {
            is_home: engine.is_home,
            urgency,
            shape,
            chat_rank: engine.chat_rank,
            engines: allowed.len(),
            routers,
            gossip_interval_ms,
            others: self.peers.sum(engine.state.key()),
            sources: sources.get(&engine.weights).map_or(&[][..], Vec::as_slice),
            demand: &self.demand,
            stall: self.stalls.strength(request.now),
        };
        let draws = |engine: &AllowedEngine<'_>| request.draws(engine.state, &around(engine));
        let (engines, is_open) = looked_at(&allowed, request.now, draws);
        let rate = |engine: &AllowedEngine<'a>| {
            request.candidate(engine.state, engine.weights, &around(engine))
        };
        let best = engines.into_iter().map(rate).min_by(|a, b| a.cost.total_cmp(&b.cost))?;
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
            queue_ms: best.queue_ms,
            reread_tokens: best.reread_tokens,
            read_tokens: best.read_tokens,
            taken_tokens: best.taken_tokens,
        })
    }

    /// The engines that may begin the call, with their places in the orders that all routers share.
    fn allowed_engines(&self, request: &EngineRequest<'_>) -> Vec<AllowedEngine<'_>> {
        let allow = |state| {
            let weights = request.allows(state)?;
            Some(AllowedEngine { state, weights, is_home: false, chat_rank: 0 })
        };
        let mut allowed: Vec<AllowedEngine<'_>> = self.servers.values().filter_map(allow).collect();
        allowed.sort_by_cached_key(|engine| Reverse(request.chat_score(engine.state)));
        for (rank, engine) in allowed.iter_mut().enumerate() {
            engine.chat_rank = rank;
        }
        let home = allowed.iter_mut().max_by_key(|engine| request.home_score(engine.state));
        if let Some(home) = home {
            home.is_home = true;
        }
        allowed
    }

    /// Who has parts of the prompt, for each weights version that an engine runs.
    fn sources_by_weights(
        &self,
        request: &EngineRequest<'_>,
        allowed: &[AllowedEngine<'_>],
    ) -> IndexMap<WeightsVersion, Vec<PromptSource>> {
        let mut sources = IndexMap::new();
        for engine in allowed {
            let weights = engine.weights;
            sources.entry(weights).or_insert_with(|| self.sources(request, weights));
        }
        sources
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
            ready_tokens: request.ready_tokens(state, scope),
            link_mbps,
            link: state.link,
        };
        let mut sources: Vec<PromptSource> = of_service.map(engine).collect();
        if let Some(store) = request.table.cache_store() {
            let shared = request.call.shared_parts();
            let room = store.cache_tokens as f64;
            sources.push(PromptSource {
                key: ServerKey::STORE,
                address: store.address,
                zone: store.zone.clone(),
                tokens: self.kept.cached_tokens(scope, shared, room),
                ready_tokens: self.kept.ready_tokens(scope, shared, room, request.now),
                link_mbps: store.link_mbps,
                link: self.store_link,
            });
        }
        sources.retain(|source| 0 < source.tokens);
        sources
    }

    /// The store, if it does not have the shared parts yet and they were asked for lately, or come with
    /// little else. It takes all of a prompt, its own part too, so that with every first prompt sent there
    /// it would keep nothing for long. With those that come with little else, parts that their engine has
    /// dropped are there when they are asked for again.
    fn save_to(&self, request: &EngineRequest<'_>, salt: &str) -> Option<SocketAddr> {
        if !is_on(Mechanism::StoreKeeping) {
            return None;
        }
        let store = request.table.cache_store()?;
        let shared = request.call.shared_tokens();
        if shared < LEAST_SAVED_TOKENS {
            return None;
        }
        let parts = request.call.shared_parts();
        let asked = parts.last().map_or(0.0, |part| self.demand.count(part.hash, request.now));
        let own = request.call.prompt_tokens().saturating_sub(shared);
        let is_cheap = own * OWN_TO_SHARED <= shared;
        if asked < ASKED_LATELY && !is_cheap {
            return None;
        }
        let kept = self.kept.cached_tokens(scope_of(salt), parts, store.cache_tokens as f64);
        (kept < shared).then_some(store.address)
    }
}

/// An engine that may begin the call.
struct AllowedEngine<'a> {
    state: &'a ServerState,
    weights: WeightsVersion,
    is_home: bool,
    chat_rank: usize,
}

/// The open engines that the call draws, else all that are open, else all; and whether they are open.
/// Only these are rated: in a large fleet the rating of all would take most of the time of a choice.
fn looked_at<'a, 'b>(
    allowed: &'b [AllowedEngine<'a>],
    now: Instant,
    draws: impl Fn(&AllowedEngine<'a>) -> bool,
) -> (Vec<&'b AllowedEngine<'a>>, bool) {
    let open: Vec<_> = allowed.iter().filter(|engine| engine.state.is_open(now)).collect();
    if open.is_empty() {
        return (allowed.iter().collect(), false);
    }
    let drawn: Vec<_> = open.iter().copied().filter(|engine| draws(engine)).collect();
    if drawn.is_empty() {
        return (open, true);
    }
    (drawn, true)
}
