//! Which parts of prompts an engine or the store is believed to have cached.

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::PromptPart;

/// Parts remembered of one engine; the least recently used go first.
const MOST_PARTS: usize = 1_024;
/// Share of an engine's memory within which a part is believed to be kept when nothing is heard of
/// it. The rest is taken by requests that run.
const KEPT_SHARE: f64 = 1.5;

/// A belief: what was sent there, corrected by the engine's own events. Parts yield to newer ones
/// when the memory is full, so a part's age is counted in tokens taken in since its last use.
/// Events arrive late and some never do; neither source alone was right under load.
#[derive(Clone, Debug, Default)]
pub struct PartMemory {
    /// Tokens taken in.
    taken: f64,
    parts: IndexMap<u64, KnownPart>,
}

#[derive(Clone, Copy, Debug)]
struct KnownPart {
    /// Tokens stored by the engine's own word; none while there is no word.
    tokens: Option<u32>,
    /// Tokens that had been taken in at the last use.
    used: f64,
    /// When it has been read, as far as is known. Until then nobody can fetch it.
    ready: Instant,
}

impl PartMemory {
    /// Tokens at the beginning of the prompt that are believed to be cached under the scope, or will be
    /// before anything that is sent there now. A part counts only if all parts before it do.
    pub fn cached_tokens(&self, scope: u64, parts: &[PromptPart], capacity: f64) -> u32 {
        self.tokens_of(scope, parts, capacity, |_| true)
    }

    /// Those that can be fetched by now.
    ///
    /// A prompt that was sent to an engine waits there for some hundred milliseconds. What others tried
    /// to fetch meanwhile was not there, and they read it anew: a quarter of all shared tokens.
    pub fn ready_tokens(
        &self,
        scope: u64,
        parts: &[PromptPart],
        capacity: f64,
        now: Instant,
    ) -> u32 {
        self.tokens_of(scope, parts, capacity, |part| part.ready <= now)
    }

    fn tokens_of(
        &self,
        scope: u64,
        parts: &[PromptPart],
        capacity: f64,
        counts: impl Fn(&KnownPart) -> bool,
    ) -> u32 {
        let kept = capacity * KEPT_SHARE;
        let mut cached = 0;
        for part in parts {
            let known = self.parts.get(&(scope ^ part.hash));
            let is_kept = |known: &&KnownPart| self.taken - known.used < kept && counts(known);
            let Some(known) = known.filter(is_kept) else { break };
            let tokens = known.tokens.unwrap_or(part.tokens).min(part.tokens);
            cached += tokens;
            if tokens < part.tokens {
                break;
            }
        }
        cached
    }

    /// A prompt with these parts was sent there; `taken` tokens were new. It will have been read by
    /// `ready`; parts that are there already are ready as before.
    pub fn read(
        &mut self,
        scope: u64,
        parts: impl Iterator<Item = u64>,
        taken: f64,
        ready: Instant,
    ) {
        self.taken += taken;
        for hash in parts {
            let key = scope ^ hash;
            let before = self.parts.shift_remove(&key).map_or(ready, |known| known.ready);
            let ready = before.min(ready);
            self.parts.insert(key, KnownPart { tokens: None, used: self.taken, ready });
        }
        self.bound();
    }

    /// By its own word so many tokens of a part are stored now.
    pub fn hear(&mut self, key: u64, tokens: u32, now: Instant) {
        if tokens == 0 {
            self.parts.shift_remove(&key);
            return;
        }
        match self.parts.get_mut(&key) {
            Some(part) => {
                part.tokens = Some(tokens);
                part.ready = part.ready.min(now);
            }
            None => {
                let part = KnownPart { tokens: Some(tokens), used: self.taken, ready: now };
                self.parts.insert(key, part);
            }
        }
        self.bound();
    }

    /// It has started anew or loaded other weights.
    pub fn clear(&mut self) {
        self.parts.clear();
    }

    fn bound(&mut self) {
        while MOST_PARTS < self.parts.len() {
            self.parts.shift_remove_index(0);
        }
    }
}
