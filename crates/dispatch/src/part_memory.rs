//! Which parts of prompts an engine is believed to have cached.

use indexmap::IndexMap;

use crate::PromptPart;

/// Parts remembered of one engine; the least recently used go first.
const MOST_PARTS: usize = 512;
/// Share of an engine's memory within which a part is believed to be kept. The rest is taken by
/// requests that run.
const KEPT_SHARE: f64 = 0.75;

/// A belief, kept by what this router sent: parts yield to newer ones when the engine's memory is
/// full, so a part's age is counted in tokens that went to the engine since its last use.
#[derive(Clone, Debug, Default)]
pub struct PartMemory {
    /// Tokens that the engine has taken in.
    taken: f64,
    used: IndexMap<u64, f64>,
}

impl PartMemory {
    /// Tokens at the beginning of the prompt that are believed to be cached under the scope. A part
    /// counts only if all parts before it do.
    pub fn cached_tokens(&self, scope: u64, parts: &[PromptPart], capacity: f64) -> u32 {
        let kept = capacity * KEPT_SHARE;
        let is_kept = |part: &&PromptPart| {
            self.used.get(&(scope ^ part.hash)).is_some_and(|used| self.taken - used < kept)
        };
        parts.iter().take_while(is_kept).map(|part| part.tokens).sum()
    }

    /// The engine has read parts with these hashes; `taken` tokens were new to it.
    pub fn read(&mut self, scope: u64, parts: impl Iterator<Item = u64>, taken: f64) {
        self.taken += taken;
        for hash in parts {
            let key = scope ^ hash;
            self.used.shift_remove(&key);
            self.used.insert(key, self.taken);
        }
        while MOST_PARTS < self.used.len() {
            self.used.shift_remove_index(0);
        }
    }

    /// The engine has started anew or loaded other weights.
    pub fn clear(&mut self) {
        self.used.clear();
    }
}
