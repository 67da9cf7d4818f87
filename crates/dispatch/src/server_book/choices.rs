//! Which server a call goes to.

use std::net::SocketAddr;
use std::sync::Arc;

use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::CallShape;
use crate::ChoiceReason;
use crate::EngineChoice;
use crate::EngineRequest;
use crate::ServerBook;
use crate::ServerEntry;
use crate::ServerKey;
use crate::ServerState;
use crate::Urgency;
use crate::engine_choice::Candidate;
use crate::engine_choice::OthersLoad;
use crate::engine_choice::Surroundings;
use crate::engine_choice::scope_of;
use crate::prompt_source::PromptSource;

/// What a way to another zone costs a plain call, as time.
const ZONE_MS: f64 = 2.0;
/// What a failure of a plain call costs, as time.
const FAILURE_MS: f64 = 150.0;
/// What a server that is still slow after its start costs, as time.
const COLD_MS: f64 = 30.0;
/// A shorter shared beginning is read in less time than a fetch takes.
const LEAST_SAVED_TOKENS: u32 = 1_000;

impl ServerBook {
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
        let shape = CallShape::of(request.call, request.engine_rule()?);
        let rated = self.rate_engines(request, urgency, shape);
        let (best, is_open) = cheapest(&rated)?;
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

    fn rate_engines(
        &self,
        request: &EngineRequest<'_>,
        urgency: Urgency,
        shape: CallShape,
    ) -> Vec<RatedEngine<'_>> {
        let allowed: Vec<(&ServerState, WeightsVersion)> = self
            .servers
            .values()
            .filter_map(|state| Some((state, request.allows(state)?)))
            .collect();
        let home = allowed.iter().map(|(state, _)| request.home_score(state)).max();
        let scores: Vec<u64> = allowed.iter().map(|(state, _)| request.chat_score(state)).collect();
        let routers = self.peers.hosts(request.now).count();
        let mut sources: IndexMap<WeightsVersion, Vec<PromptSource>> = IndexMap::new();
        let mut rated = Vec::with_capacity(allowed.len());
        for ((state, weights), score) in allowed.into_iter().zip(&scores) {
            let around = Surroundings {
                is_home: Some(request.home_score(state)) == home,
                urgency,
                shape,
                chat_rank: scores.iter().filter(|other| score < *other).count(),
                engines: scores.len(),
                routers,
                others: self.others_load(state, urgency, request.now),
                sources: sources.entry(weights).or_insert_with(|| self.sources(request, weights)),
            };
            rated.push(RatedEngine {
                candidate: request.candidate(state, weights, &around),
                is_open: state.is_open(request.now),
                is_drawn: request.draws(state, &around),
            });
        }
        rated
    }

    fn others_load(&self, state: &ServerState, urgency: Urgency, now: Instant) -> OthersLoad {
        let key = state.key();
        OthersLoad {
            open: self.peers.open(key, now),
            chats: self.peers.chats(key, now),
            tokens_before: self.peers.tokens_before(key, urgency, now),
            tokens: self.peers.tokens_before(key, Urgency::LAST, now),
        }
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
}

/// An engine with its cost.
struct RatedEngine<'a> {
    candidate: Candidate<'a>,
    is_open: bool,
    is_drawn: bool,
}

/// The cheapest of the open engines that the call draws, else of all that are open, else of all; and
/// whether it is open.
fn cheapest<'a, 'b>(rated: &'b [RatedEngine<'a>]) -> Option<(&'b Candidate<'a>, bool)> {
    let least = |wanted: fn(&RatedEngine<'_>) -> bool| {
        let wanted = rated.iter().filter(|engine| wanted(engine));
        wanted.map(|engine| &engine.candidate).min_by(|a, b| a.cost.total_cmp(&b.cost))
    };
    let drawn = least(|engine| engine.is_open && engine.is_drawn);
    let open = drawn.or_else(|| least(|engine| engine.is_open));
    match open {
        Some(candidate) => Some((candidate, true)),
        None => least(|_| true).map(|candidate| (candidate, false)),
    }
}
