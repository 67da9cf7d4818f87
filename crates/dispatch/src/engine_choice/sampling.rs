//! Sampling of the engines that a call considers, and engine orders that all routers share.

use xxhash_rust::xxh3::xxh3_64;

use super::EngineContext;
use super::EngineRequest;
use crate::CallShape;
use crate::ServerKey;
use crate::ServerState;
use crate::experiment::Mechanism;
use crate::experiment::is_enabled;

/// Share of the engines used for chats when long prompts delay them most.
const MIN_CHAT_SHARE: f64 = 0.25;
/// Engines that a call samples if there are as many routers as engines. Larger samples make more
/// calls meet at the engine that looked best in the last gossip messages.
const SAMPLED_ENGINES: f64 = 4.0;
/// Engines sampled among those with the longest cached prefix.
const SAMPLED_HOLDERS: f64 = 3.0;

/// Share of the engines that are filled with chats first.
pub(super) fn chat_share(chat_delay: f64) -> f64 {
    1.0 - (1.0 - MIN_CHAT_SHARE) * chat_delay
}

impl EngineRequest<'_> {
    /// Rendezvous hash of the engine for the prompt's shared prefix. The engine with the highest score is the
    /// prompt's owner.
    pub(crate) fn owner_score(&self, state: &ServerState) -> u64 {
        let key = self.call.owner_key().unwrap_or_default();
        mix(key, xxh3_64(state.entry.name.as_str().as_bytes()))
    }

    /// Rendezvous hash of the engine for the model. Chats fill the engines in descending order.
    pub(crate) fn chat_score(&self, state: &ServerState) -> u64 {
        let key = xxh3_64(self.model.as_str().as_bytes());
        mix(key, xxh3_64(state.entry.name.as_str().as_bytes()))
    }

    /// Whether the call considers this engine.
    ///
    /// Routers see each other's sends with a delay that grows with their number. If each chose
    /// among all engines, all would pick the same few, so each call samples some engines in
    /// addition to its owner and to those that hold its prefix.
    pub(crate) fn is_sampled(&self, state: &ServerState, context: &EngineContext<'_>) -> bool {
        if !is_enabled(Mechanism::Draws) {
            return true;
        }
        let mut share = SAMPLED_ENGINES / context.routers.max(1) as f64;
        let chat_engines = (context.engines as f64 * chat_share(context.chat_delay)).ceil();
        if context.shape == CallShape::Chat {
            if chat_engines <= context.chat_rank as f64 && share < 1.0 {
                return false;
            }
            share /= chat_share(context.chat_delay);
        }
        context.is_owner || self.jitter(state) < share || self.samples_holder(state, context)
    }

    /// Whether the engine is sampled as a holder of the longest cached prefix. With many holders
    /// only some are considered: a prefix common to all prompts must not attract them all to one
    /// engine.
    fn samples_holder(&self, state: &ServerState, context: &EngineContext<'_>) -> bool {
        let engines = || context.sources.iter().filter(|source| source.key != ServerKey::STORE);
        let max_tokens = engines().map(|source| source.tokens).max().unwrap_or_default();
        let holders = || engines().filter(|source| source.tokens == max_tokens);
        let is_holder = holders().any(|source| source.key == state.key());
        is_holder && self.jitter(state) < SAMPLED_HOLDERS / holders().count() as f64
    }

    /// Deterministic pseudo-random number in [0, 1) for the call and the engine.
    pub(super) fn jitter(&self, state: &ServerState) -> f64 {
        let call = xxh3_64(self.call.id.as_str().as_bytes());
        let engine = xxh3_64(state.entry.name.as_str().as_bytes());
        (mix(call, engine) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;

/// Hashes two values into one, with the finalizer of SplitMix64.
fn mix(first: u64, second: u64) -> u64 {
    let mut hash = first ^ second.wrapping_add(1).wrapping_mul(GOLDEN_RATIO);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
