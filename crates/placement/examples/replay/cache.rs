//! LRU cache of prompt prefixes.

use std::collections::BTreeMap;
use std::collections::HashMap;

use fulmargate_placement::PromptChain;

/// An LRU cache of prefix levels.
#[derive(Default)]
pub(crate) struct LruCache {
    clock: u64,
    used: u32,
    entries: HashMap<u64, (u32, u64)>,
    by_last_use: BTreeMap<u64, u64>,
}

impl LruCache {
    /// Looks up and caches a prompt. Returns the number of cached tokens and of level tokens to
    /// recompute.
    pub(crate) fn access(&mut self, chain: &PromptChain, capacity: u32) -> (u32, u32) {
        let mut segments: Vec<(u64, u32)> = Vec::new();
        let mut prefix_tokens = 0;
        for level in chain.levels() {
            segments.push((level.hash.0, level.tokens - prefix_tokens));
            prefix_tokens = level.tokens;
        }
        let entries = segments.iter().take_while(|(hash, _)| self.entries.contains_key(hash));
        let cached: u32 = entries.map(|(_, tokens)| tokens).sum();
        segments.push((chain.request_hash(), chain.tokens() - prefix_tokens));
        for (hash, tokens) in segments.into_iter().rev() {
            self.clock += 1;
            match self.entries.insert(hash, (tokens, self.clock)) {
                Some((_, last)) => drop(self.by_last_use.remove(&last)),
                None => self.used += tokens,
            }
            self.by_last_use.insert(self.clock, hash);
        }
        while let Some((_, oldest)) =
            (capacity < self.used).then(|| self.by_last_use.pop_first()).flatten()
        {
            self.used -= self.entries.remove(&oldest).map_or(0, |(tokens, _)| tokens);
        }
        (cached, prefix_tokens - cached)
    }
}
