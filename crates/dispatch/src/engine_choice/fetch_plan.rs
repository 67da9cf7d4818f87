//! Choice of the source from which an engine fetches a missing prompt prefix.

use xxhash_rust::xxh3::xxh3_64;

use super::EngineRequest;
use super::PromptFetch;
use crate::ServerState;
use crate::experiment::Mechanism;
use crate::experiment::is_enabled;
use crate::prompt_source::PromptSource;

/// A fetch must add at least this many tokens to the prefix that the engine has cached. Fewer are prefilled
/// in less time than a fetch takes to begin.
const MIN_FETCH_TOKENS: u32 = 400;

/// The fetch that an engine would make, and what it would still recompute.
#[derive(Clone, Debug, Default)]
pub(super) struct FetchPlan {
    pub(super) fetch: Option<PromptFetch>,
    /// Length in tokens of the cached prefix after the fetch.
    pub(super) prefix_tokens: u32,
    pub(super) fetch_ms: f64,
    /// Tokens that the engine prefills although another source holds them.
    pub(super) recomputed_tokens: f64,
}

impl EngineRequest<'_> {
    /// Chooses the source with the longest prefix, and among equals the fastest one.
    pub(super) fn fetch_plan(
        &self,
        state: &ServerState,
        cached_tokens: u32,
        sources: &[PromptSource],
    ) -> FetchPlan {
        let shared = self.call.shared_tokens();
        let token_bytes = self.engine_rule().map_or(0.0, |engine| engine.token_bytes as f64);
        let zone = &state.entry.zone;
        let mut best = FetchPlan::default();
        let mut max_held_tokens = 0;
        // Starts at a position that depends on the call, to spread load over equal sources.
        let start = xxh3_64(self.call.id.as_str().as_bytes()) as usize % sources.len().max(1);
        let (before, after) = sources.split_at(start.min(sources.len()));
        let candidates = after.iter().chain(before).filter(|source| source.key != state.key());
        for source in candidates {
            max_held_tokens = max_held_tokens.max(source.tokens.min(shared));
            let source_prefix = source.ready_tokens.min(shared);
            if source_prefix < cached_tokens + MIN_FETCH_TOKENS || !is_enabled(Mechanism::Fetches) {
                continue;
            }
            let tokens = f64::from(source_prefix - cached_tokens);
            let fetch_ms = source.fetch_ms(tokens, token_bytes, zone, self.now);
            let Some(fetch_ms) = fetch_ms else { continue };
            let is_better = (best.prefix_tokens, -best.fetch_ms) < (source_prefix, -fetch_ms);
            if !is_better {
                continue;
            }
            best.prefix_tokens = source_prefix;
            best.fetch_ms = fetch_ms;
            best.fetch = Some(PromptFetch {
                from: source.address,
                source: source.key,
                transfer_ms: source.transfer_ms(tokens, token_bytes, zone),
            });
        }
        best.recomputed_tokens =
            f64::from(max_held_tokens.saturating_sub(cached_tokens.max(best.prefix_tokens)));
        best
    }
}
