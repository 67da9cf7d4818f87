//! Which engines a call looks at, and the orders of engines that all routers share.

use xxhash_rust::xxh3::xxh3_64;

use super::EngineRequest;
use super::Surroundings;
use crate::CallShape;
use crate::ServerKey;
use crate::ServerState;
use crate::experiment::Mechanism;
use crate::experiment::is_on;

/// Share of the engines that chats go to where they suffer most from long prompts beside them.
const LEAST_CHAT_SHARE: f64 = 0.25;
/// Engines that a call draws where there are as many routers as engines. The more it draws, the more calls
/// meet at the engine that looked best when the others last spoke. Beside five other routers it draws
/// four engines in five, and chats keep to theirs: looking at all cost 0.04 to 0.07 of the score.
const DRAWN_ENGINES: f64 = 4.0;
/// Engines that a call draws of those that have most of its prompt.
const DRAWN_HOLDERS: f64 = 3.0;

/// Share of the engines that chats go to first: all where they bear long prompts beside them.
pub(super) fn chat_share(stall: f64) -> f64 {
    1.0 - (1.0 - LEAST_CHAT_SHARE) * stall
}

impl EngineRequest<'_> {
    /// The engine that the prompt's shared parts live on, the same for all routers.
    pub(crate) fn home_score(&self, state: &ServerState) -> u64 {
        let key = self.call.home_key().unwrap_or_default();
        mix(key, xxh3_64(state.entry.name.as_str().as_bytes()))
    }

    /// The order in which engines are filled with chats, the same for all routers.
    pub(crate) fn chat_score(&self, state: &ServerState) -> u64 {
        let key = xxh3_64(self.model.as_str().as_bytes());
        mix(key, xxh3_64(state.entry.name.as_str().as_bytes()))
    }

    /// Whether the call looks at this engine at all. Routers hear of each other's sends late, the later
    /// the more they are; if each took the least busy of all engines, all would take the same few. So
    /// each call draws a few, more of those that chats go to first, beside its home and the engines
    /// that have its parts.
    pub(crate) fn draws(&self, state: &ServerState, around: &Surroundings<'_>) -> bool {
        if !is_on(Mechanism::Draws) {
            return true;
        }
        let mut share = DRAWN_ENGINES / around.routers.max(1) as f64;
        let chat_engines = (around.engines as f64 * chat_share(around.stall)).ceil();
        if around.shape == CallShape::Chat {
            if chat_engines <= around.chat_rank as f64 && share < 1.0 {
                return false;
            }
            share /= chat_share(around.stall);
        }
        around.is_home || self.spread(state) < share || self.draws_holder(state, around)
    }

    /// Whether the call looks at this engine for what it has of the prompt: at the few that have most,
    /// or at some of many. A part that all prompts of a kind share is nearly everywhere; looked at for
    /// it, an engine that had just loaded got fifteen requests within a fifth of a second.
    fn draws_holder(&self, state: &ServerState, around: &Surroundings<'_>) -> bool {
        let engines = || around.sources.iter().filter(|source| source.key != ServerKey::STORE);
        let most = engines().map(|source| source.tokens).max().unwrap_or_default();
        let deepest = || engines().filter(|source| source.tokens == most);
        let is_deepest = deepest().any(|source| source.key == state.key());
        is_deepest && self.spread(state) < DRAWN_HOLDERS / deepest().count() as f64
    }

    /// Between 0 and 1, drawn by the call and the engine.
    pub(super) fn spread(&self, state: &ServerState) -> f64 {
        let call = xxh3_64(self.call.id.as_str().as_bytes());
        let engine = xxh3_64(state.entry.name.as_str().as_bytes());
        (mix(call, engine) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;

/// A well mixed function of both.
fn mix(left: u64, right: u64) -> u64 {
    let mut word = left ^ right.wrapping_add(1).wrapping_mul(GOLDEN);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
