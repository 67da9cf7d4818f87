//! How an engine would come by the shared parts of a prompt that it lacks.

use xxhash_rust::xxh3::xxh3_64;

use super::EngineRequest;
use super::PromptFetch;
use crate::ServerState;
use crate::experiment::Mechanism;
use crate::experiment::is_on;
use crate::prompt_source::PromptSource;

/// Fewer tokens are read in less time than a fetch takes to begin.
const LEAST_FETCH_TOKENS: u32 = 400;

/// How an engine comes by shared parts that it lacks.
#[derive(Clone, Debug, Default)]
pub(super) struct PromptSupply {
    pub(super) fetch: Option<PromptFetch>,
    /// Tokens at the prompt's beginning that it has after the fetch.
    pub(super) fetched_up_to: u32,
    pub(super) fetch_ms: f64,
    /// Tokens that it reads although others have them.
    pub(super) reread_tokens: f64,
}

impl EngineRequest<'_> {
    /// How the engine would come by the shared parts that it lacks.
    pub(super) fn supply(
        &self,
        state: &ServerState,
        known: u32,
        sources: &[PromptSource],
    ) -> PromptSupply {
        let shared = self.call.shared_tokens();
        let token_bytes = self.engine_rule().map_or(0.0, |engine| engine.token_bytes as f64);
        let zone = &state.entry.zone;
        let mut best = PromptSupply::default();
        let mut held = 0;
        // Equal ones are taken in turn: all calls would ask the same one otherwise.
        let turn = xxh3_64(self.call.id.as_str().as_bytes()) as usize % sources.len().max(1);
        let (before, after) = sources.split_at(turn.min(sources.len()));
        let others = after.iter().chain(before).filter(|source| source.key != state.key());
        for source in others {
            held = held.max(source.tokens.min(shared));
            let up_to = source.ready_tokens.min(shared);
            if up_to < known + LEAST_FETCH_TOKENS || !is_on(Mechanism::Fetches) {
                continue;
            }
            let tokens = f64::from(up_to - known);
            let fetch_ms = source.fetch_ms(tokens, token_bytes, zone, self.now);
            let Some(fetch_ms) = fetch_ms else { continue };
            let is_better = (best.fetched_up_to, -best.fetch_ms) < (up_to, -fetch_ms);
            if !is_better {
                continue;
            }
            best.fetched_up_to = up_to;
            best.fetch_ms = fetch_ms;
            best.fetch = Some(PromptFetch {
                from: source.address,
                source: source.key,
                transfer_ms: source.transfer_ms(tokens, token_bytes, zone),
            });
        }
        best.reread_tokens = f64::from(held.saturating_sub(known.max(best.fetched_up_to)));
        best
    }
}
