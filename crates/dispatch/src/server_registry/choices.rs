//! Selects the server for a call.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_admission::LimitWait;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::AssignedEngine;
use crate::AssignedServer;
use crate::CallFacts;
use crate::CallShape;
use crate::ChoiceReason;
use crate::ChoiceView;
use crate::EngineChoice;
use crate::EngineRequest;
use crate::Placement;
use crate::PlacementRequest;
use crate::PlainPlacement;
use crate::PlainTicket;
use crate::ServerEntry;
use crate::ServerKey;
use crate::ServerRegistry;
use crate::ServerState;
use crate::Urgency;
use crate::admission::has_room;
use crate::admission::is_short;
use crate::engine_choice::EngineContext;
use crate::engine_choice::scope_of;
use crate::experiment::Mechanism;
use crate::experiment::is_enabled;
use crate::gossip_interval;
use crate::prompt_source::PromptSource;
use crate::server_state::LimitHeadroom;

/// Cost of sending a plain call to another availability zone.
const CROSS_ZONE_MS: f64 = 2.0;
/// Cost of a failed plain call.
const FAILURE_MS: f64 = 150.0;
/// Cost of a server with at least one second of warm-up left.
const WARM_UP_MS: f64 = 30.0;
/// Minimum decaying request count at which the parts of a prompt are saved.
const MIN_RECENT_REQUESTS: f64 = 0.2;
/// Minimum ratio of shared to unshared tokens at which a prompt is saved on first use. It keeps prompts
/// that nobody else requests from filling the prompt cache store.
const MIN_SHARED_RATIO: u32 = 2;
/// Prompts with a shorter shared prefix are not saved. They are prefilled in less time than a fetch takes.
const MIN_SAVED_TOKENS: u32 = 1_000;

impl ServerRegistry {
    /// Selects a server of a plain service and counts the call as sent there. While all open servers are at their
    /// rate limits, calls wait in the order of their priority; `waiting` is the ticket of a call that does.
    pub fn place_plain(
        &mut self,
        call: &CallFacts,
        service: &ServiceName,
        zone: &ZoneName,
        excluded: &[ServerKey],
        waiting: Option<&PlainTicket>,
        now: Instant,
    ) -> PlainPlacement {
        self.refresh_headroom(now);
        let ahead = self.plain_calls_ahead(service, call.priority, waiting);
        let mut exhausted = Vec::new();
        let mut earliest: Option<LimitWait> = None;
        loop {
            let skipped = [excluded, &exhausted].concat();
            let server = self.choose_plain(service, zone, &skipped, now);
            // A server at its limit is waited for rather than replaced by one that does not respond.
            let is_open = |server: &ServerEntry| {
                self.state(server.key()).is_some_and(|state| state.accepts_request(now))
            };
            let server = server.filter(|server| earliest.is_none() || is_open(server));
            let Some(server) = server else {
                return earliest.map_or(PlainPlacement::NoServer, |wait| {
                    PlainPlacement::Limited(wait.behind(ahead))
                });
            };
            let admission = match (self.first_response_wait(server.key(), now), ahead) {
                (Some(wait), _) => Err(wait),
                (None, 0) => self.admit_by_limit(server.key(), now),
                (None, _) => self.wait_behind(server.key(), now),
            };
            match admission {
                Ok(grant) => {
                    let mut ticket = self.record_send(call, server.key(), now);
                    ticket.grant = grant;
                    return PlainPlacement::Assigned(Box::new(AssignedServer { server, ticket }));
                }
                Err(wait) => {
                    exhausted.push(server.key());
                    earliest = Some(earliest.map_or(wait, |other| other.either(wait)));
                }
            }
        }
    }

    /// Selects the server of a plain service with the lowest expected latency, without regard to rate limits.
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
        // A server that was not measured is taken to be as fast as the others, or it would never be.
        let measured = self.servers.values().filter(of_service).filter(|state| state.has_latency());
        let fastest_ms = measured.map(|state| state.latency_ms(now)).reduce(f64::min);
        let latency_ms = |state: &ServerState| match fastest_ms {
            Some(fastest_ms) if !state.has_latency() => fastest_ms.min(state.latency_ms(now)),
            _ => state.latency_ms(now),
        };
        let cost = |state: &ServerState| {
            let slots = f64::from(state.entry.slots.max(1));
            let open = state.occupancy(now).max(state.open + self.peers.total(state.key()).open);
            let load = 1.0 + f64::from(open) / slots;
            let cross_zone = if state.entry.zone == *zone { 0.0 } else { CROSS_ZONE_MS };
            let warm_up = state.entry.warm_up.as_secs_f64().min(1.0) * WARM_UP_MS;
            latency_ms(state) * load + state.failure_share(now) * FAILURE_MS + cross_zone + warm_up
                - state.limit_discount_ms()
        };
        let cheapest = |states: Vec<&ServerState>| {
            let best = states.into_iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
            best.map(|state| state.entry.clone())
        };
        let open =
            self.servers.values().filter(of_service).filter(|state| state.accepts_request(now));
        cheapest(open.collect())
            .or_else(|| cheapest(self.servers.values().filter(of_service).collect()))
    }

    /// Sends a prompt to the engine with the lowest cost, if its queue has room and its rate limit admits it.
    pub fn place(&mut self, placement: &PlacementRequest, view: ChoiceView<'_>) -> Placement {
        self.refresh_headroom(view.now);
        let mut exhausted = Vec::new();
        let mut earliest: Option<LimitWait> = None;
        loop {
            let choice = self.choose_for(placement, &exhausted, view);
            let choice = choice
                .filter(|choice| earliest.is_none() || choice.reason != ChoiceReason::LastResort);
            let Some(choice) = choice else {
                return earliest.map_or(Placement::NoEngine, Placement::Limited);
            };
            if !has_room(placement, &choice, self.current_gossip_interval(view.now)) {
                return Placement::Queued(choice.prefill_tokens);
            }
            match self.admit_by_limit(choice.server.key(), view.now) {
                Ok(grant) => {
                    let mut ticket = self.record_prompt_send(&placement.call, &choice, view.now);
                    ticket.grant = grant;
                    return Placement::Assigned(Box::new(AssignedEngine { choice, ticket }));
                }
                Err(wait) => {
                    earliest = Some(earliest.map_or(wait, |other| other.either(wait)));
                    exhausted.push(choice.server.key());
                    // All others at their limits at once, as each choice rates many engines.
                    let is_candidate = |state: &ServerState| {
                        state.entry.service == placement.service
                            && state.key() != choice.server.key()
                    };
                    for server in self.exhausted_servers(is_candidate, view.now) {
                        exhausted.push(server);
                        if let Err(wait) = self.wait_behind(server, view.now) {
                            earliest = Some(earliest.map_or(wait, |other| other.either(wait)));
                        }
                    }
                }
            }
        }
    }

    /// Falls back to servers that this prompt has already been sent to.
    fn choose_for(
        &self,
        placement: &PlacementRequest,
        exhausted: &[ServerKey],
        view: ChoiceView<'_>,
    ) -> Option<EngineChoice> {
        if let Some(only) = placement.only_server {
            let excluded = [&self.others_of_service(&placement.service, only), exhausted].concat();
            return self.choose_engine(&placement.request(view, &excluded));
        }
        let excluded = [&placement.excluded, exhausted].concat();
        let choice = self.choose_engine(&placement.request(view, &excluded));
        choice.or_else(|| self.choose_engine(&placement.request(view, exhausted)))
    }

    /// The configured gossip interval, or by default that of direct messages between all routers.
    pub(super) fn current_gossip_interval(&self, now: Instant) -> Duration {
        self.gossip_interval.unwrap_or_else(|| gossip_interval(self.peers.hosts(now).count()))
    }

    /// Selects the engine with the lowest cost in waiting time, recomputed tokens and outdated weights. If none
    /// can respond within the target latency, the costs are estimated anew with the urgency of a late request, which
    /// may change the selection.
    pub fn choose_engine(&self, request: &EngineRequest<'_>) -> Option<EngineChoice> {
        let priority = request.call.priority;
        if is_short(request.call) && is_enabled(Mechanism::ShortFirst) {
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
        let eligible = self.eligible_engines(request);
        let sources = self.sources_by_weights(request, &eligible);
        let routers = self.peers.hosts(request.now).count();
        let gossip_interval_ms = match routers {
            0 => 0.0,
            _ => self.current_gossip_interval(request.now).as_secs_f64() * 1_000.0,
        };
        let context = |engine: &EligibleEngine<'_>| EngineContext {
            is_owner: engine.is_owner,
            urgency,
            shape,
            chat_rank: engine.chat_rank,
            engines: eligible.len(),
            routers,
            gossip_interval_ms,
            others: self.peers.total(engine.state.key()),
            sources: sources.get(&engine.weights).map_or(&[][..], Vec::as_slice),
            demand: &self.demand,
            chat_delay: self.chat_gaps.strength(request.now),
        };
        let is_sampled = |engine: &EligibleEngine<'_>| {
            (engine.state.headroom == LimitHeadroom::Spare)
                || request.is_sampled(engine.state, &context(engine))
        };
        let (engines, is_open) = engines_to_rate(&eligible, request.now, is_sampled);
        let evaluate = |engine: &EligibleEngine<'a>| {
            request.candidate(engine.state, engine.weights, &context(engine))
        };
        let best = engines.into_iter().map(evaluate).min_by(|a, b| a.cost.total_cmp(&b.cost))?;
        let reason = match (is_open, best.is_owner) {
            (false, _) => ChoiceReason::LastResort,
            (true, true) => ChoiceReason::Owner,
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
            recomputed_tokens: best.recomputed_tokens,
            prefill_tokens: best.prefill_tokens,
            added_tokens: best.added_tokens,
        })
    }

    /// Engines that may start the call. Routers with the same eligible engines agree on the chat ranks and the
    /// prompt's owner.
    fn eligible_engines(&self, request: &EngineRequest<'_>) -> Vec<EligibleEngine<'_>> {
        let eligible = |state| {
            let weights = request.allows(state)?;
            Some(EligibleEngine { state, weights, is_owner: false, chat_rank: 0 })
        };
        let mut eligible: Vec<EligibleEngine<'_>> =
            self.servers.values().filter_map(eligible).collect();
        eligible.sort_by_cached_key(|engine| Reverse(request.chat_score(engine.state)));
        for (rank, engine) in eligible.iter_mut().enumerate() {
            engine.chat_rank = rank;
        }
        let owner = eligible.iter_mut().max_by_key(|engine| request.owner_score(engine.state));
        if let Some(owner) = owner {
            owner.is_owner = true;
        }
        eligible
    }

    /// Engines and the prompt cache store that have cached parts of the prompt, for each weights version in use.
    fn sources_by_weights(
        &self,
        request: &EngineRequest<'_>,
        eligible: &[EligibleEngine<'_>],
    ) -> IndexMap<WeightsVersion, Vec<PromptSource>> {
        let mut sources = IndexMap::new();
        for engine in eligible {
            let weights = engine.weights;
            sources.entry(weights).or_insert_with(|| self.sources(request, weights));
        }
        sources
    }

    /// Engines and the prompt cache store that have parts of the prompt cached under the salt of these weights.
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
            tokens: request.known_cached_tokens(state, scope),
            ready_tokens: request.ready_tokens(state, scope),
            link_mbps,
            link: state.link,
        };
        let mut sources: Vec<PromptSource> = of_service.map(engine).collect();
        if let Some(store) = request.table.cache_store() {
            let shared = request.call.shared_parts();
            let capacity = store.cache_tokens as f64;
            sources.push(PromptSource {
                key: ServerKey::STORE,
                address: store.address,
                zone: store.zone.clone(),
                tokens: self.store_cache.cached_tokens(scope, shared, capacity),
                ready_tokens: self.store_cache.ready_tokens(scope, shared, capacity, request.now),
                link_mbps: store.link_mbps,
                link: self.store_link,
            });
        }
        sources.retain(|source| 0 < source.tokens);
        sources
    }

    /// Address of the prompt cache store if the prompt should be saved there: its shared parts are not stored yet,
    /// and were requested recently or make up most of the prompt. A prompt is stored whole, with its unshared part,
    /// so that storing every prompt on first use would evict entries too early.
    fn save_to(&self, request: &EngineRequest<'_>, salt: &str) -> Option<SocketAddr> {
        if !is_enabled(Mechanism::StoreKeeping) {
            return None;
        }
        let store = request.table.cache_store()?;
        let shared = request.call.shared_tokens();
        if shared < MIN_SAVED_TOKENS {
            return None;
        }
        let parts = request.call.shared_parts();
        let recent_requests =
            parts.last().map_or(0.0, |part| self.demand.count(part.hash, request.now));
        let unshared = request.call.prompt_tokens().saturating_sub(shared);
        let is_mostly_shared = unshared * MIN_SHARED_RATIO <= shared;
        if recent_requests < MIN_RECENT_REQUESTS && !is_mostly_shared {
            return None;
        }
        let stored =
            self.store_cache.cached_tokens(scope_of(salt), parts, store.cache_tokens as f64);
        (stored < shared).then_some(store.address)
    }
}

/// An engine that may start the call.
struct EligibleEngine<'a> {
    state: &'a ServerState,
    weights: WeightsVersion,
    /// Whether this is the engine that all routers prefer for an uncached prompt.
    is_owner: bool,
    /// Position in the order in which engines are filled with chats.
    chat_rank: usize,
}

/// The open engines that the call samples, else all open engines, else all; and whether they are open.
/// Sampling keeps the selection fast in large fleets, as only the returned engines are rated.
fn engines_to_rate<'a, 'b>(
    eligible: &'b [EligibleEngine<'a>],
    now: Instant,
    is_sampled: impl Fn(&EligibleEngine<'a>) -> bool,
) -> (Vec<&'b EligibleEngine<'a>>, bool) {
    let open: Vec<_> = eligible.iter().filter(|engine| engine.state.accepts_request(now)).collect();
    if open.is_empty() {
        return (eligible.iter().collect(), false);
    }
    let sampled: Vec<_> = open.iter().copied().filter(|engine| is_sampled(engine)).collect();
    if sampled.is_empty() {
        return (open, true);
    }
    (sampled, true)
}
