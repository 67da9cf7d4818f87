//! What other requests on an engine cost a call, those that nobody has told of yet included.

use super::EngineRequest;
use super::PREFILL_TOKENS_PER_MS;
use super::Surroundings;
use super::draw::chat_share;
use crate::CallShape;
use crate::ServerKey;
use crate::ServerState;
use crate::experiment::Mechanism;
use crate::experiment::is_on;
use crate::prompt_source::PromptSource;

/// Each engine further down the order costs a chat this much: it is passed over while those have no
/// more than some ten streams more.
const CHAT_RANK_MS: f64 = 8.0;
/// Share of the prompts' reading time by which a chat beside them is late.
const STALL_SHARE: f64 = 0.5;
/// What a long prompt does to each chat beside it, as time.
const CHAT_STALL_MS: f64 = 40.0;
/// And to all of them at most.
const MOST_STALL_MS: f64 = 400.0;
/// A word is on average half as old as the pause between two.
const UNREPORTED_SHARE: f64 = 0.5;
/// What is not heard yet counts for so much at most: an estimate from a few requests errs.
const MOST_UNREPORTED_MS: f64 = 2_000.0;

impl EngineRequest<'_> {
    /// What the call and the streams there do to each other. Chats fill the engines in a fixed order,
    /// so that few engines have any and long prompts find the others, as far as they suffer from those.
    pub(super) fn interference_ms(&self, state: &ServerState, around: &Surroundings<'_>) -> f64 {
        if !is_on(Mechanism::ChatInterference) {
            return 0.0;
        }
        match around.shape {
            CallShape::Chat => {
                let waiting = state.backlog.total() + around.others.backlog.total();
                let engines = around.engines as f64;
                let beyond =
                    around.chat_rank as f64 + 1.0 - (engines * chat_share(around.stall)).ceil();
                let rank = beyond.max(0.0) * CHAT_RANK_MS;
                rank + waiting / PREFILL_TOKENS_PER_MS * STALL_SHARE
            }
            CallShape::Heavy => {
                let chats = f64::from(state.chats + around.others.chats);
                (chats * CHAT_STALL_MS * around.stall).min(MOST_STALL_MS)
            }
            CallShape::Plain => 0.0,
        }
    }

    /// What the other routers have sent to an engine for the same parts since they last spoke, as time.
    ///
    /// They all know who has a part, and nobody knows yet who is sending there. Of 90 routers 27 sent to
    /// the one engine that had a common part within half a second, four seconds of reading, while a copy
    /// takes ten milliseconds. How often the part was asked for lately tells how many are to be expected.
    pub(super) fn unreported_ms(
        &self,
        known: u32,
        read_tokens: f64,
        around: &Surroundings<'_>,
    ) -> f64 {
        if !is_on(Mechanism::UnreportedSends) {
            return 0.0;
        }
        let Some(part) = self.deepest_part(known) else { return 0.0 };
        let rate = around.demand.rate(part, self.now);
        let lag = around.gossip_interval_ms / 1_000.0 * UNREPORTED_SHARE;
        let is_holder =
            |source: &&PromptSource| source.key != ServerKey::STORE && known <= source.tokens;
        let holders = around.sources.iter().filter(is_holder).count();
        let reading_ms = read_tokens / PREFILL_TOKENS_PER_MS;
        (rate * lag * reading_ms / holders.max(1) as f64).min(MOST_UNREPORTED_MS)
    }

    /// The last shared part that an engine with so many tokens of the prompt has.
    fn deepest_part(&self, known: u32) -> Option<u64> {
        let mut tokens = 0;
        let held = self.call.shared_parts().iter().take_while(|part| {
            tokens += part.tokens;
            tokens <= known
        });
        held.last().map(|part| part.hash)
    }
}
