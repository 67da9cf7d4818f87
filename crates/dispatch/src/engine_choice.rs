//! Cost-based choice of an inference engine for a prompt.
//!
//! Costs are estimated times in milliseconds, so that queueing, prefill, cache misses, failures and
//! stale weights can be added up. Prompts share long prefixes and engines evict them within
//! seconds, so prefix cache contents count as much as load.

mod fetch_plan;
mod interference;
mod sampling;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::ModelName;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::BootTime;
use crate::CallFacts;
use crate::CallShape;
use crate::DemandMeter;
use crate::EngineRule;
use crate::PeerTotal;
use crate::RouteTable;
use crate::ServerEntry;
use crate::ServerKey;
use crate::ServerState;
use crate::StreamOrigin;
use crate::Urgency;
use crate::WeightsTable;
use crate::experiment::Mechanism;
use crate::experiment::is_enabled;
use crate::prompt_source::PromptSource;

/// Prefill speed of an engine. The order of magnitude suffices: it scales all costs alike, so that the choice
/// hardly depends on it.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// Prompt tokens assumed for a request that an engine reports as waiting.
const WAITING_REQUEST_TOKENS: f64 = 2_500.0;
/// Slowdown by each request that is running on an engine.
const RUNNING_REQUEST_MS: f64 = 0.8;
/// Penalty for sending a prompt that is cached nowhere to an engine other than its owner, the
/// one that all routers agree on without communication.
const NON_OWNER_PENALTY_MS: f64 = 60.0;
/// Penalty for another cached copy of a shared prefix, which evicts other prefixes.
const COPY_PENALTY_MS: f64 = 100.0;
/// An estimate below this share of the route's target latency counts as timely. It leaves room for
/// the response's way to the caller and for estimation errors.
const TARGET_LATENCY_SHARE: f64 = 0.85;
/// Round trip to another availability zone.
const CROSS_ZONE_MS: f64 = 2.0;
/// Weights that were replaced longer ago than this are penalized. Requests on them lose value a little later,
/// so newer engines are preferred in time.
const STALE_WEIGHTS_AGE: Duration = Duration::from_millis(1_300);
/// A fifth of the request's value, as time to the first event.
const STALE_WEIGHTS_PENALTY_MS: f64 = 250.0;
/// Penalty at a failure rate of 1.
const FAILURE_PENALTY_MS: f64 = 600.0;
/// Share of an engine's slots above which each further request is penalized.
const HIGH_OCCUPANCY_SHARE: f64 = 0.7;
/// Penalty for each request above that share: without a free slot, a request waits until a whole
/// stream ends.
const HIGH_OCCUPANCY_PENALTY_MS: f64 = 15.0;
/// Range of the random cost jitter, as a share of the gossip interval. Without it, routers that
/// have not yet received each other's updates would all choose the same engine.
const JITTER_SHARE: f64 = 0.4;
/// Penalty for prefilling a token that another engine or the prompt cache store already holds. It is work
/// done twice, which weighs more than a late answer: 1,000 tokens count as 300 ms beside the 25 ms that their
/// prefill takes.
const RECOMPUTE_PENALTY_MS_PER_TOKEN: f64 = 0.3;

/// Input of an engine choice.
#[derive(Debug)]
pub struct EngineRequest<'a> {
    /// The call to place.
    pub call: &'a CallFacts,
    /// Service that the engine must belong to.
    pub service: &'a ServiceName,
    /// Requested model.
    pub model: &'a ModelName,
    /// Routing configuration.
    pub table: &'a RouteTable,
    /// Weights version wanted for each model.
    pub weights: &'a WeightsTable,
    /// How long after newer weights were announced a request may still start on older ones.
    pub weights_bound: Duration,
    /// Availability zone of this router.
    pub zone: &'a ZoneName,
    /// If set, only engines with these weights are allowed, so that a stream can be resumed.
    pub only_weights: Option<WeightsVersion>,
    /// If set, only servers of this origin are allowed, which has begun the stream.
    pub only_origin: Option<StreamOrigin>,
    /// Servers that must not be chosen.
    pub excluded: &'a [ServerKey],
    /// Current time.
    pub now: Instant,
    /// Current time, including time spent suspended.
    pub boot_now: BootTime,
}

/// Why an engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It owns the prompt by rendezvous hash.
    Owner,
    /// It costs less than the owner of the prompt.
    Cheaper,
    /// No engine was considered available; this one may have recovered.
    LastResort,
}

/// The chosen engine and the terms of the send.
#[derive(Clone, Debug)]
pub struct EngineChoice {
    /// The engine.
    pub server: Arc<ServerEntry>,
    /// Weights version that the call runs on.
    pub weights: WeightsVersion,
    /// Salt of the prompt cache keys.
    pub salt: String,
    /// Source of the missing cached prefix.
    pub fetch: Option<PromptFetch>,
    /// Prompt cache store that the engine should save the prompt to.
    pub save_to: Option<SocketAddr>,
    /// Why this engine was chosen.
    pub reason: ChoiceReason,
    /// Urgency of the request at the engine.
    pub urgency: Urgency,
    /// How the call affects other requests on the engine.
    pub shape: CallShape,
    /// Estimated time to the first event.
    pub estimate_ms: f64,
    /// Prefill time of the prompts queued before it.
    pub queue_ms: f64,
    /// Prompt tokens that the engine prefills although another one has them cached.
    pub recomputed_tokens: f64,
    /// Prompt tokens that the engine has to prefill.
    pub prefill_tokens: f64,
    /// Prompt tokens that are added to the engine's cache, including fetched ones.
    pub(crate) added_tokens: f64,
}

/// Fetch of a cached prefix from another engine or the prompt cache store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptFetch {
    /// Address to fetch from.
    pub from: SocketAddr,
    pub(crate) source: ServerKey,
    pub(crate) transfer_ms: f64,
}

/// An engine with its estimated cost.
pub(crate) struct Candidate<'a> {
    pub(crate) state: &'a ServerState,
    pub(crate) weights: WeightsVersion,
    pub(crate) salt: String,
    pub(crate) fetch: Option<PromptFetch>,
    pub(crate) prefill_tokens: f64,
    pub(crate) added_tokens: f64,
    pub(crate) is_owner: bool,
    pub(crate) estimate_ms: f64,
    pub(crate) queue_ms: f64,
    pub(crate) recomputed_tokens: f64,
    pub(crate) cost: f64,
}

/// State of the fleet that an engine's cost depends on.
pub(crate) struct EngineContext<'a> {
    pub(crate) is_owner: bool,
    pub(crate) urgency: Urgency,
    pub(crate) shape: CallShape,
    /// Position in the order in which chats fill the engines.
    pub(crate) chat_rank: usize,
    /// Number of engines that may be chosen.
    pub(crate) engines: usize,
    /// Number of other routers.
    pub(crate) routers: usize,
    /// Time between two gossip messages of a router.
    pub(crate) gossip_interval_ms: f64,
    pub(crate) others: PeerTotal,
    /// Engines and the prompt cache store that hold a prefix of this prompt under the same salt.
    pub(crate) sources: &'a [PromptSource],
    /// Request rates of prompt parts.
    pub(crate) demand: &'a DemandMeter,
    /// How much long prompts delay chats, from 0 to 1.
    pub(crate) chat_delay: f64,
}

impl EngineRequest<'_> {
    /// Returns the engine's weights version if the call may start there.
    pub(crate) fn allows(&self, state: &ServerState) -> Option<WeightsVersion> {
        if state.entry.service != *self.service || self.excluded.contains(&state.key()) {
            return None;
        }
        if !state.may_stream(self.call, self.only_origin, self.boot_now) {
            return None;
        }
        let weights = state.weights(self.model)?;
        if self.only_weights.is_some_and(|only| only != weights) {
            return None;
        }
        // Adds the estimated wait behind requests of any urgency, without those that other routers report.
        let age = self.weights.outdated_for(self.model, weights, self.boot_now);
        let max_wait = Duration::from_secs_f64(
            self.wait_ms(state, Urgency::late(9), PeerTotal::default()) / 1_000.0,
        );
        (age.saturating_add(max_wait) < self.weights_bound || age.is_zero()).then_some(weights)
    }

    /// Salt of the prompt cache keys under these weights.
    pub(crate) fn salt(&self, weights: WeightsVersion) -> String {
        self.table.salts().salt(self.call.team.as_ref(), self.model, weights)
    }

    /// Length in tokens of the prompt prefix that the engine is expected to have cached.
    pub(crate) fn known_cached_tokens(&self, state: &ServerState, scope: u64) -> u32 {
        state.cache.cached_tokens(scope, &self.call.prompt, self.capacity())
    }

    /// Length in tokens of the prefix that others can already fetch from the engine.
    pub(crate) fn ready_tokens(&self, state: &ServerState, scope: u64) -> u32 {
        state.cache.ready_tokens(scope, &self.call.prompt, self.capacity(), self.now)
    }

    /// Estimates the cost of the call on one engine.
    pub(crate) fn candidate<'a>(
        &self,
        state: &'a ServerState,
        weights: WeightsVersion,
        context: &EngineContext<'_>,
    ) -> Candidate<'a> {
        let salt = self.salt(weights);
        let cached_tokens = self.known_cached_tokens(state, scope_of(&salt));
        let total = self.call.prompt_tokens();
        let fetch_plan = self.fetch_plan(state, cached_tokens, context.sources);
        let prefill_tokens =
            f64::from(total.saturating_sub(cached_tokens.max(fetch_plan.prefix_tokens)));
        let wait_ms = self.wait_ms(state, context.urgency, context.others);
        let estimate_ms = wait_ms + fetch_plan.fetch_ms + prefill_tokens / PREFILL_TOKENS_PER_MS;
        let mut cost = estimate_ms + fetch_plan.recomputed_tokens * RECOMPUTE_PENALTY_MS_PER_TOKEN;
        if 0 < fetch_plan.prefix_tokens {
            cost += COPY_PENALTY_MS;
        }
        let uses_owner = 0 < self.call.shared_tokens() && is_enabled(Mechanism::Homes);
        if !context.is_owner && cached_tokens == 0 && uses_owner {
            cost += NON_OWNER_PENALTY_MS;
        }
        if state.entry.zone != *self.zone {
            cost += CROSS_ZONE_MS;
        }
        let avoids_stale = is_enabled(Mechanism::NewWeights);
        if avoids_stale
            && STALE_WEIGHTS_AGE <= self.weights.outdated_for(self.model, weights, self.boot_now)
        {
            cost += STALE_WEIGHTS_PENALTY_MS;
        }
        cost += state.failure_share(self.now) * FAILURE_PENALTY_MS;
        cost -= state.limit_discount_ms();
        cost += self.interference_ms(state, context);
        cost += self.unreported_ms(cached_tokens, prefill_tokens, context);
        cost += self.jitter(state) * context.gossip_interval_ms * JITTER_SHARE;
        Candidate {
            state,
            weights,
            salt,
            fetch: fetch_plan.fetch,
            prefill_tokens,
            added_tokens: f64::from(total.saturating_sub(cached_tokens)),
            is_owner: context.is_owner,
            estimate_ms,
            queue_ms: queued_tokens(state, context.others) / PREFILL_TOKENS_PER_MS,
            recomputed_tokens: fetch_plan.recomputed_tokens,
            cost,
        }
    }

    /// Estimated queueing time. The routers' own counts are more recent than the engine's report,
    /// which is used only if no other router has reported open requests. Engines prefill in order
    /// of arrival, so the whole queue counts regardless of urgency.
    fn wait_ms(&self, state: &ServerState, urgency: Urgency, others: PeerTotal) -> f64 {
        let mut tokens = match is_enabled(Mechanism::ArrivalOrder) {
            true => queued_tokens(state, others),
            false => state.backlog.before(urgency) + others.backlog.before(urgency),
        };
        if others.open == 0 {
            tokens = tokens.max(f64::from(state.waiting(self.now)) * WAITING_REQUEST_TOKENS);
        }
        let running = state.occupancy(self.now).max(state.open + others.open);
        let slots = f64::from(state.entry.slots.max(1));
        let occupancy_penalty_ms = (f64::from(running) - slots * HIGH_OCCUPANCY_SHARE).max(0.0)
            * HIGH_OCCUPANCY_PENALTY_MS;
        tokens / PREFILL_TOKENS_PER_MS
            + f64::from(running) * RUNNING_REQUEST_MS
            + occupancy_penalty_ms
    }

    /// Whether an answer with this estimated time to the first event meets the target latency.
    pub(crate) fn is_timely(&self, estimate_ms: f64) -> bool {
        let waited = self.now.saturating_duration_since(self.call.arrived);
        let target = self.call.route.target_latency.mul_f64(TARGET_LATENCY_SHARE);
        estimate_ms + waited.as_secs_f64() * 1_000.0 < target.as_secs_f64() * 1_000.0
    }

    pub(crate) fn engine_rule(&self) -> Option<&EngineRule> {
        self.table.service(self.service)?.engine.as_ref()
    }

    /// Size of an engine's prompt cache in tokens.
    pub(crate) fn capacity(&self) -> f64 {
        self.engine_rule().map_or(0.0, |engine| engine.cache_tokens as f64)
    }
}

fn queued_tokens(state: &ServerState, others: PeerTotal) -> f64 {
    state.backlog.total() + others.backlog.total()
}

/// Scope of prompt parts in cache keys: the hash of the salt.
pub fn scope_of(salt: &str) -> u64 {
    xxh3_64(salt.as_bytes())
}
