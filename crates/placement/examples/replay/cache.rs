//! A cache of prefixes that evicts what was used longest ago.

use std::collections::BTreeMap;
use std::collections::HashMap;

use fulmargate_placement::PromptChain;

/// Prefixes cached by level, and their time of use.
#[derive(Default)]
pub(crate) struct Cache {
    clock: u64,
    used: u32,
    kept: HashMap<u64, (u32, u64)>,
    by_use: BTreeMap<u64, u64>,
}

impl Cache {
    /// Cached tokens, and tokens of the levels that are computed again.
    pub(crate) fn serve(&mut self, chain: &PromptChain, room: u32) -> (u32, u32) {
        let mut parts: Vec<(u64, u32)> = Vec::new();
        let mut before = 0;
        for level in chain.levels() {
            parts.push((level.hash.0, level.tokens - before));
            before = level.tokens;
        }
        let kept = parts.iter().take_while(|(hash, _)| self.kept.contains_key(hash));
        let cached: u32 = kept.map(|(_, tokens)| tokens).sum();
        parts.push((chain.request_hash(), chain.tokens() - before));
        for (hash, tokens) in parts.into_iter().rev() {
            self.clock += 1;
            match self.kept.insert(hash, (tokens, self.clock)) {
                Some((_, last)) => drop(self.by_use.remove(&last)),
                None => self.used += tokens,
            }
            self.by_use.insert(self.clock, hash);
        }
        while let Some((_, oldest)) = (room < self.used).then(|| self.by_use.pop_first()).flatten()
        {
            self.used -= self.kept.remove(&oldest).map_or(0, |(tokens, _)| tokens);
        }
        (cached, before - cached)
    }
}
