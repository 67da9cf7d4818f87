//! Estimated contents of the prompt cache of an engine or of the prompt cache store.

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::PromptPart;

/// Parts tracked for each engine; beyond, the least recently used are dropped.
const MAX_PARTS: usize = 1_024;
/// A part is assumed evicted once this many times the cache capacity has been added since its last
/// use.
const RETENTION_FACTOR: f64 = 1.5;

/// Estimate of which prompt parts are cached.
///
/// It is updated both by the prompts sent and by the engine's cache events, since events arrive
/// late or get lost. Caches evict by recency, so the age of a part is counted in tokens added since
/// its last use.
#[derive(Clone, Debug, Default)]
pub struct PromptCacheEstimate {
    /// Tokens added to the cache so far.
    added_tokens: f64,
    parts: IndexMap<u64, CachedPart>,
}

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    /// Cached tokens as reported by the engine; `None` before a report.
    tokens: Option<u32>,
    /// Value of the token counter at the last use.
    used_at: f64,
    /// Estimated time at which it is prefilled. It cannot be fetched before.
    ready_at: Instant,
}

impl PromptCacheEstimate {
    /// Length in tokens of the prompt prefix that is cached, or will be before any prompt sent from
    /// now on.
    pub fn cached_tokens(&self, scope: u64, parts: &[PromptPart], capacity: f64) -> u32 {
        self.count_prefix(scope, parts, capacity, |_| true)
    }

    /// Length in tokens of the prompt prefix that can be fetched now. A prompt still queued at its
    /// engine cannot be fetched.
    pub fn ready_tokens(
        &self,
        scope: u64,
        parts: &[PromptPart],
        capacity: f64,
        now: Instant,
    ) -> u32 {
        self.count_prefix(scope, parts, capacity, |part| part.ready_at <= now)
    }

    fn count_prefix(
        &self,
        scope: u64,
        parts: &[PromptPart],
        capacity: f64,
        is_usable: impl Fn(&CachedPart) -> bool,
    ) -> u32 {
        let retained_tokens = capacity * RETENTION_FACTOR;
        let mut prefix_tokens = 0;
        for part in parts {
            let entry = self.parts.get(&(scope ^ part.hash));
            let is_retained = |entry: &&CachedPart| {
                self.added_tokens - entry.used_at < retained_tokens && is_usable(entry)
            };
            let Some(entry) = entry.filter(is_retained) else { break };
            let tokens = entry.tokens.unwrap_or(part.tokens).min(part.tokens);
            prefix_tokens += tokens;
            if tokens < part.tokens {
                break;
            }
        }
        prefix_tokens
    }

    /// Records a prompt sent to the engine, which adds `added_tokens` to its cache and prefills it
    /// by `ready_at`. Parts that could be fetched before still can.
    pub fn record_prompt(
        &mut self,
        scope: u64,
        parts: impl Iterator<Item = u64>,
        added_tokens: f64,
        ready_at: Instant,
    ) {
        self.added_tokens += added_tokens;
        for hash in parts {
            let key = scope ^ hash;
            let previous = self.parts.shift_remove(&key).map_or(ready_at, |entry| entry.ready_at);
            let ready_at = previous.min(ready_at);
            self.parts
                .insert(key, CachedPart { tokens: None, used_at: self.added_tokens, ready_at });
        }
        self.evict_excess();
    }

    /// Applies a cache event: this many tokens of the part are now cached.
    pub fn apply_event(&mut self, key: u64, tokens: u32, now: Instant) {
        if tokens == 0 {
            self.parts.shift_remove(&key);
            return;
        }
        match self.parts.get_mut(&key) {
            Some(part) => {
                part.tokens = Some(tokens);
                part.ready_at = part.ready_at.min(now);
            }
            None => {
                let part =
                    CachedPart { tokens: Some(tokens), used_at: self.added_tokens, ready_at: now };
                self.parts.insert(key, part);
            }
        }
        self.evict_excess();
    }

    /// Forgets all parts, after the engine has restarted or loaded other weights.
    pub fn clear(&mut self) {
        self.parts.clear();
    }

    fn evict_excess(&mut self) {
        while MAX_PARTS < self.parts.len() {
            self.parts.shift_remove_index(0);
        }
    }
}
