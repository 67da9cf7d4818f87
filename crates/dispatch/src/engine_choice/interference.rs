//! Cost of sharing an engine with other requests, including those not yet reported by gossip.

use super::EngineContext;
use super::EngineRequest;
use super::PREFILL_TOKENS_PER_MS;
use super::sampling::chat_share;
use crate::CallShape;
use crate::ServerKey;
use crate::ServerState;
use crate::experiment::Mechanism;
use crate::experiment::is_enabled;
use crate::prompt_source::PromptSource;

/// Penalty of a chat for each position beyond the engines reserved for chats.
const CHAT_RANK_PENALTY_MS: f64 = 8.0;
/// Share of the queued prefill time by which a chat is delayed.
const PREFILL_DELAY_SHARE: f64 = 0.5;
/// Delay that a long prompt causes to each chat on the same engine.
const CHAT_DELAY_MS: f64 = 40.0;
/// Upper bound of the delay over all chats.
const MAX_CHAT_DELAY_MS: f64 = 400.0;
/// Mean age of gossip data as a share of the gossip interval.
const MEAN_REPORT_AGE_SHARE: f64 = 0.5;
/// Upper bound of the estimate, which is unreliable when based on few requests.
const MAX_UNREPORTED_MS: f64 = 2_000.0;

impl EngineRequest<'_> {
    /// Cost of mixing chats and long prompts. Chats fill the engines in a fixed order, which leaves
    /// the other engines to long prompts while these delay chats.
    pub(super) fn interference_ms(&self, state: &ServerState, context: &EngineContext<'_>) -> f64 {
        if !is_enabled(Mechanism::ChatInterference) {
            return 0.0;
        }
        match context.shape {
            CallShape::Chat => {
                let queued_tokens = state.backlog.total() + context.others.backlog.total();
                let engines = context.engines as f64;
                let excess_rank = context.chat_rank as f64 + 1.0
                    - (engines * chat_share(context.chat_delay)).ceil();
                let rank_penalty_ms = excess_rank.max(0.0) * CHAT_RANK_PENALTY_MS;
                rank_penalty_ms + queued_tokens / PREFILL_TOKENS_PER_MS * PREFILL_DELAY_SHARE
            }
            CallShape::Heavy => {
                let chats = f64::from(state.chats + context.others.chats);
                (chats * CHAT_DELAY_MS * context.chat_delay).min(MAX_CHAT_DELAY_MS)
            }
            CallShape::Plain => 0.0,
        }
    }

    /// Prefill time of the requests with the same prefix that other routers have sent since their
    /// last gossip message.
    ///
    /// All routers know which engines hold a prefix but not yet who is sending there, so they would
    /// overload a single holder. The prefix's recent request rate gives the expected number.
    pub(super) fn unreported_ms(
        &self,
        cached_tokens: u32,
        prefill_tokens: f64,
        context: &EngineContext<'_>,
    ) -> f64 {
        if !is_enabled(Mechanism::UnreportedSends) {
            return 0.0;
        }
        let Some(part) = self.last_cached_part(cached_tokens) else { return 0.0 };
        let rate = context.demand.rate(part, self.now);
        let report_age_s = context.gossip_interval_ms / 1_000.0 * MEAN_REPORT_AGE_SHARE;
        let is_holder = |source: &&PromptSource| {
            source.key != ServerKey::STORE && cached_tokens <= source.tokens
        };
        let holders = context.sources.iter().filter(is_holder).count();
        let prefill_ms = prefill_tokens / PREFILL_TOKENS_PER_MS;
        (rate * report_age_s * prefill_ms / holders.max(1) as f64).min(MAX_UNREPORTED_MS)
    }

    /// Last shared part of the prompt within a cached prefix of this length.
    fn last_cached_part(&self, cached_tokens: u32) -> Option<u64> {
        let mut tokens = 0;
        let cached = self.call.shared_parts().iter().take_while(|part| {
            tokens += part.tokens;
            tokens <= cached_tokens
        });
        cached.last().map(|part| part.hash)
    }
}
