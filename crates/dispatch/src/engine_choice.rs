//! Which engine a prompt goes to: the one that costs least, as time.
//!
//! Answers prompts that share long beginnings, on engines that forget them in seconds and are busy with
//! others. Constants are times, so that they weigh against each other; each says where it comes from.

mod draw;
mod interference;
mod supply;

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
use crate::PeerSum;
use crate::RouteTable;
use crate::ServerEntry;
use crate::ServerKey;
use crate::ServerState;
use crate::Urgency;
use crate::WeightsTable;
use crate::experiment::Mechanism;
use crate::experiment::is_on;
use crate::prompt_source::PromptSource;

/// Prompt tokens an engine reads in a millisecond; the order of size of the engines in use. It
/// scales all costs alike, so that the choice hardly depends on it.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// A request that waits at an engine stands for so many prompt tokens.
const WAITING_TOKENS: f64 = 2_500.0;
/// A request that runs slows the others down by about this time.
const RUNNING_MS: f64 = 0.8;
/// A prompt that no engine has goes to its home unless that costs this much more: all routers draw
/// the same home before they hear of each other's sends.
const HOME_MS: f64 = 60.0;
/// What a second copy of shared parts costs, as time: it pushes other parts out of the engine.
const COPY_MS: f64 = 100.0;
/// An estimate is taken for timely up to this share of the target latency: it leaves out the way to
/// the caller and errs by some ten per cent.
const TIMELY_SHARE: f64 = 0.85;
/// A way to another zone and back.
const ZONE_MS: f64 = 2.0;
/// Requests on older weights lose worth from here on; well before it, newer engines are preferred.
const WEIGHTS_AGED: Duration = Duration::from_millis(1_300);
/// What older weights cost then: a fifth of the request's worth, as time to the first event.
const OLD_WEIGHTS_MS: f64 = 250.0;
/// What a failure costs, as time.
const FAILURE_MS: f64 = 600.0;
/// From this share of its slots on an engine is nearly full.
const CROWDED_SHARE: f64 = 0.7;
/// Each request beyond that costs this much: without a slot it waits for a whole stream to end.
const CROWDED_MS: f64 = 15.0;
/// Costs of equal requests differ by up to this share of the gossip interval. Routers receive each other's
/// sends up to one interval late and would otherwise all choose the same engine meanwhile.
const SPREAD_SHARE: f64 = 0.4;
/// What reading a token anew costs, as time, if another engine or the store has it. It is work done
/// twice, which the users count higher than a late answer: 1,000 tokens weigh as 300 ms, beside the
/// 25 ms that reading takes.
const REREAD_MS_PER_TOKEN: f64 = 0.3;

/// What a choice is made from.
#[derive(Debug)]
pub struct EngineRequest<'a> {
    /// The call.
    pub call: &'a CallFacts,
    /// The service that serves it.
    pub service: &'a ServiceName,
    /// The model asked for.
    pub model: &'a ModelName,
    /// The configuration.
    pub table: &'a RouteTable,
    /// The weights wanted.
    pub weights: &'a WeightsTable,
    /// Requests may begin on older weights until this long after newer ones were named.
    pub weights_bound: Duration,
    /// Availability zone of this router.
    pub zone: &'a ZoneName,
    /// Only engines with these weights, for a stream that goes on.
    pub only_weights: Option<WeightsVersion>,
    /// Servers that this call must not go to again.
    pub excluded: &'a [ServerKey],
    /// Now.
    pub now: Instant,
    /// Now, suspensions counted.
    pub boot_now: BootTime,
}

/// Why an engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It is the prompt's home.
    Home,
    /// Another engine costs less than home.
    Cheaper,
    /// No engine was open; this one may have recovered.
    LastResort,
}

/// An engine for a call.
#[derive(Clone, Debug)]
pub struct EngineChoice {
    /// The engine.
    pub server: Arc<ServerEntry>,
    /// The weights that the call is to run on.
    pub weights: WeightsVersion,
    /// The salt that it is cached under.
    pub salt: String,
    /// Where what is missing is fetched from.
    pub fetch: Option<PromptFetch>,
    /// Where what was read is kept for others.
    pub save_to: Option<SocketAddr>,
    /// Why this engine.
    pub reason: ChoiceReason,
    /// Its rank at the engine.
    pub urgency: Urgency,
    /// What it does to the others there.
    pub shape: CallShape,
    /// Estimated time to the first event.
    pub estimate_ms: f64,
    /// Reading that waits there before it, in milliseconds.
    pub queue_ms: f64,
    /// Prompt tokens that the engine reads although another has them.
    pub reread_tokens: f64,
    /// Prompt tokens that the engine has to read.
    pub read_tokens: f64,
    /// Prompt tokens that are new to it, fetched ones included.
    pub(crate) taken_tokens: f64,
}

/// A fetch of cached parts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PromptFetch {
    /// The engine or store that has them.
    pub from: SocketAddr,
    pub(crate) source: ServerKey,
    pub(crate) transfer_ms: f64,
}

/// One engine with its estimated cost.
pub(crate) struct Candidate<'a> {
    pub(crate) state: &'a ServerState,
    pub(crate) weights: WeightsVersion,
    pub(crate) salt: String,
    pub(crate) fetch: Option<PromptFetch>,
    pub(crate) read_tokens: f64,
    pub(crate) taken_tokens: f64,
    pub(crate) is_home: bool,
    pub(crate) estimate_ms: f64,
    pub(crate) queue_ms: f64,
    pub(crate) reread_tokens: f64,
    pub(crate) cost: f64,
}

/// What is known of an engine besides its own state.
pub(crate) struct Surroundings<'a> {
    pub(crate) is_home: bool,
    pub(crate) urgency: Urgency,
    pub(crate) shape: CallShape,
    /// Place in the order in which engines are filled with chats.
    pub(crate) chat_rank: usize,
    /// Engines that may be chosen.
    pub(crate) engines: usize,
    /// Other routers that choose at the same time.
    pub(crate) routers: usize,
    /// Pause between two gossip messages of a router.
    pub(crate) gossip_interval_ms: f64,
    pub(crate) others: PeerSum,
    /// Engines and the store with parts of this prompt under the same salt.
    pub(crate) sources: &'a [PromptSource],
    /// How often parts are asked for.
    pub(crate) demand: &'a DemandMeter,
    /// How much chats suffer from long prompts, from 0 to 1.
    pub(crate) stall: f64,
}

impl EngineRequest<'_> {
    /// Whether the engine may begin this call at all.
    pub(crate) fn allows(&self, state: &ServerState) -> Option<WeightsVersion> {
        if state.entry.service != *self.service || self.excluded.contains(&state.key()) {
            return None;
        }
        let weights = state.weights(self.model)?;
        if self.only_weights.is_some_and(|only| only != weights) {
            return None;
        }
        let age = self.weights.outdated_for(self.model, weights, self.boot_now);
        let wait = Duration::from_secs_f64(
            self.wait_ms(state, Urgency::late(9), PeerSum::default()) / 1_000.0,
        );
        (age + wait < self.weights_bound || age.is_zero()).then_some(weights)
    }

    /// The salt under these weights.
    pub(crate) fn salt(&self, weights: WeightsVersion) -> String {
        self.table.salts().salt(self.call.team.as_ref(), self.model, weights)
    }

    /// Tokens at the prompt's beginning that the engine is believed to have.
    pub(crate) fn known_tokens(&self, state: &ServerState, scope: u64) -> u32 {
        state.memory.cached_tokens(scope, &self.call.prompt, self.capacity())
    }

    /// Those that others can fetch from it by now.
    pub(crate) fn ready_tokens(&self, state: &ServerState, scope: u64) -> u32 {
        state.memory.ready_tokens(scope, &self.call.prompt, self.capacity(), self.now)
    }

    /// Rates one engine.
    pub(crate) fn candidate<'a>(
        &self,
        state: &'a ServerState,
        weights: WeightsVersion,
        around: &Surroundings<'_>,
    ) -> Candidate<'a> {
        let salt = self.salt(weights);
        let known = self.known_tokens(state, scope_of(&salt));
        let total = self.call.prompt_tokens();
        let supply = self.supply(state, known, around.sources);
        let read_tokens = f64::from(total.saturating_sub(known.max(supply.fetched_up_to)));
        let wait_ms = self.wait_ms(state, around.urgency, around.others);
        let estimate_ms = wait_ms + supply.fetch_ms + read_tokens / PREFILL_TOKENS_PER_MS;
        let mut cost = estimate_ms + supply.reread_tokens * REREAD_MS_PER_TOKEN;
        if 0 < supply.fetched_up_to {
            cost += COPY_MS;
        }
        let has_home = 0 < self.call.shared_tokens() && is_on(Mechanism::Homes);
        if !around.is_home && known == 0 && has_home {
            cost += HOME_MS;
        }
        if state.entry.zone != *self.zone {
            cost += ZONE_MS;
        }
        let avoids_old = is_on(Mechanism::NewWeights);
        if avoids_old
            && WEIGHTS_AGED <= self.weights.outdated_for(self.model, weights, self.boot_now)
        {
            cost += OLD_WEIGHTS_MS;
        }
        cost += state.failure_share(self.now) * FAILURE_MS;
        cost += self.interference_ms(state, around);
        cost += self.unreported_ms(known, read_tokens, around);
        cost += self.spread(state) * around.gossip_interval_ms * SPREAD_SHARE;
        Candidate {
            state,
            weights,
            salt,
            fetch: supply.fetch,
            read_tokens,
            taken_tokens: f64::from(total.saturating_sub(known)),
            is_home: around.is_home,
            estimate_ms,
            queue_ms: queued_tokens(state, around.others) / PREFILL_TOKENS_PER_MS,
            reread_tokens: supply.reread_tokens,
            cost,
        }
    }

    /// What routers have under way is newer than the engine's own report. The report counts where nothing
    /// is heard of other routers. Engines admit what they have slots and memory for and read it in the
    /// order of arrival, so that all of it counts, whatever its urgency: of 1,034 short
    /// prompts that were thought to overtake long ones 76 waited for more than 400 ms.
    fn wait_ms(&self, state: &ServerState, urgency: Urgency, others: PeerSum) -> f64 {
        let mut tokens = match is_on(Mechanism::ArrivalOrder) {
            true => queued_tokens(state, others),
            false => state.backlog.before(urgency) + others.backlog.before(urgency),
        };
        if others.open == 0 {
            tokens = tokens.max(f64::from(state.waiting(self.now)) * WAITING_TOKENS);
        }
        let running = state.occupancy(self.now).max(state.open + others.open);
        let slots = f64::from(state.entry.slots.max(1));
        let crowded = (f64::from(running) - slots * CROWDED_SHARE).max(0.0) * CROWDED_MS;
        tokens / PREFILL_TOKENS_PER_MS + f64::from(running) * RUNNING_MS + crowded
    }

    /// Whether an answer that takes so long is in time.
    pub(crate) fn is_timely(&self, estimate_ms: f64) -> bool {
        let waited = self.now.saturating_duration_since(self.call.arrived);
        let target = self.call.route.target_latency.mul_f64(TIMELY_SHARE);
        estimate_ms + waited.as_secs_f64() * 1_000.0 < target.as_secs_f64() * 1_000.0
    }

    /// Sizes of the service's engines.
    pub(crate) fn engine_rule(&self) -> Option<&EngineRule> {
        self.table.service(self.service)?.engine.as_ref()
    }

    /// Tokens that an engine can cache.
    pub(crate) fn capacity(&self) -> f64 {
        self.engine_rule().map_or(0.0, |engine| engine.cache_tokens as f64)
    }
}

/// Prompt tokens that wait at an engine to be read.
fn queued_tokens(state: &ServerState, others: PeerSum) -> f64 {
    state.backlog.total() + others.backlog.total()
}

/// The scope of parts in memories: the hash of the salt.
pub fn scope_of(salt: &str) -> u64 {
    xxh3_64(salt.as_bytes())
}
