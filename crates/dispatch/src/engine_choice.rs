//! Which engine a prompt goes to.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::ModelName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::BootTime;
use crate::CallFacts;
use crate::RouteTable;
use crate::ServerEntry;
use crate::ServerState;
use crate::WeightsTable;

/// Prompt tokens an engine reads in a millisecond; the order of size of the engines in use. It
/// scales all costs alike, so that the choice hardly depends on it.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// A request that waits at an engine stands for so many prompt tokens.
const WAITING_TOKENS: f64 = 2_500.0;
/// A request that runs slows the others down by about this time.
const RUNNING_MS: f64 = 0.8;
/// The home of a prompt is believed to have this share of it cached when nothing is known: routers
/// that could not tell of it send it there, too. It also gives a new prompt its first engine.
const HOME_TRUST: f64 = 0.3;
/// A way to another zone and back.
const ZONE_MS: f64 = 2.0;
/// Requests on older weights lose worth from here on; well before it, newer engines are preferred.
const WEIGHTS_AGED: Duration = Duration::from_millis(1_300);
/// What older weights cost then: a fifth of the request's worth, as time to the first event.
const OLD_WEIGHTS_MS: f64 = 250.0;
/// What a failure costs, as time.
const FAILURE_MS: f64 = 600.0;
/// Reading anew what another engine or the store has is also wasted work of the engine.
const WASTE_FACTOR: f64 = 1.5;
/// Time for an import to begin.
const IMPORT_SETUP_MS: f64 = 2.0;

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
    pub excluded: &'a [ServerName],
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
    /// Where what is missing can be fetched from.
    pub fetch_from: Option<SocketAddr>,
    /// Where what was read is kept for others.
    pub save_to: Option<SocketAddr>,
    /// Why this engine.
    pub reason: ChoiceReason,
    /// Estimated time to the first event.
    pub estimate_ms: f64,
    /// Prompt tokens believed to be cached there.
    pub cached_tokens: u32,
}

/// What other routers have under way at an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OthersLoad {
    pub(crate) open: u32,
    pub(crate) backlog_tokens: f64,
}

/// One engine with its estimated cost.
pub(crate) struct Candidate<'a> {
    pub(crate) state: &'a ServerState,
    pub(crate) weights: WeightsVersion,
    pub(crate) salt: String,
    pub(crate) cached: u32,
    pub(crate) is_home: bool,
    pub(crate) estimate_ms: f64,
    pub(crate) cost: f64,
}

impl EngineRequest<'_> {
    /// Whether the engine may begin this call at all.
    pub(crate) fn allows(&self, state: &ServerState) -> Option<WeightsVersion> {
        if state.entry.service != *self.service || self.excluded.contains(&state.entry.name) {
            return None;
        }
        let weights = state.weights(self.model)?;
        if self.only_weights.is_some_and(|only| only != weights) {
            return None;
        }
        let age = self.weights.outdated_for(self.model, weights, self.boot_now);
        (age < self.weights_bound).then_some(weights)
    }

    /// The engine that the prompt's shared parts live on, the same for all routers.
    pub(crate) fn home_score(&self, state: &ServerState) -> u64 {
        let key = self.call.home_key().unwrap_or_default();
        mix(key, xxh3_64(state.entry.name.as_str().as_bytes()))
    }

    /// Rates one engine.
    pub(crate) fn candidate<'a>(
        &self,
        state: &'a ServerState,
        weights: WeightsVersion,
        is_home: bool,
        others: OthersLoad,
    ) -> Candidate<'a> {
        let salt = self.table.salts().salt(self.call.team.as_ref(), self.model, weights);
        let scope = scope_of(&salt);
        let shared = self.call.shared_tokens();
        let known = state.memory.cached_tokens(scope, &self.call.prompt, self.capacity());
        let trusted = if is_home { f64::from(shared) * HOME_TRUST } else { 0.0 };
        let cached = f64::from(known).max(trusted);
        let missing_shared = (f64::from(shared) - cached).max(0.0);
        let own = f64::from(self.call.prompt_tokens() - shared);
        let read_ms = missing_shared / PREFILL_TOKENS_PER_MS;
        let shared_ms = self.import_ms(missing_shared).map_or(read_ms, |ms| ms.min(read_ms));
        let wait_ms = self.wait_ms(state, others);
        let estimate_ms = wait_ms + own / PREFILL_TOKENS_PER_MS + shared_ms;
        let mut cost = estimate_ms + shared_ms * (WASTE_FACTOR - 1.0);
        if state.entry.zone != *self.zone {
            cost += ZONE_MS;
        }
        if WEIGHTS_AGED <= self.weights.outdated_for(self.model, weights, self.boot_now) {
            cost += OLD_WEIGHTS_MS;
        }
        cost += state.failure_share(self.now) * FAILURE_MS;
        let cached = cached as u32;
        Candidate { state, weights, salt, cached, is_home, estimate_ms, cost }
    }

    /// The engine's own report is as old as its last answer; what routers have under way is newer.
    fn wait_ms(&self, state: &ServerState, others: OthersLoad) -> f64 {
        let waiting = f64::from(state.waiting(self.now)) * WAITING_TOKENS;
        let tokens = (state.backlog_tokens + others.backlog_tokens).max(waiting);
        let running = state.occupancy(self.now).max(state.open + others.open);
        tokens / PREFILL_TOKENS_PER_MS + f64::from(running) * RUNNING_MS
    }

    fn import_ms(&self, tokens: f64) -> Option<f64> {
        let store = self.table.cache_store()?;
        let engine = self.table.service(self.service)?.engine.clone()?;
        let bits = tokens * engine.token_bytes as f64 * 8.0;
        Some(IMPORT_SETUP_MS + bits / (store.link_mbps.max(1.0) * 1_000.0))
    }

    /// Tokens that an engine can cache.
    pub(crate) fn capacity(&self) -> f64 {
        let service = self.table.service(self.service);
        let engine = service.and_then(|service| service.engine.as_ref());
        engine.map_or(0.0, |engine| engine.cache_tokens as f64)
    }
}

/// The scope of parts in memories.
pub(crate) fn scope_of(salt: &str) -> u64 {
    xxh3_64(salt.as_bytes())
}

const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

/// A well mixed function of both.
fn mix(left: u64, right: u64) -> u64 {
    let mut word = left ^ right.wrapping_add(1).wrapping_mul(GOLDEN);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
