//! A model engine: a cache of prefixes, serial prefill by priority, a batch of decoders.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use fulmargate_placement::PromptChain;

/// Requests that decode at once.
pub(crate) const BATCH: usize = 16;
/// Time that an answer takes after its first token: 20 tokens of 5 ms.
pub(crate) const DECODE_MS: f64 = 100.0;

/// Prefixes cached by level, evicted by the time of last use. The question is cached too.
#[derive(Debug, Default)]
pub(crate) struct PrefixCache {
    room: u32,
    used: u32,
    clock: u64,
    kept: HashMap<u64, (u32, u64)>,
    by_use: BTreeMap<u64, u64>,
}

/// How much of a prompt was cached, and how much of its levels was computed again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Served {
    pub(crate) cached: u32,
    pub(crate) recomputed: u32,
}

impl PrefixCache {
    pub(crate) fn new(room: u32) -> PrefixCache {
        PrefixCache { room, ..PrefixCache::default() }
    }

    pub(crate) fn clear(&mut self) {
        self.kept.clear();
        self.by_use.clear();
        self.used = 0;
    }

    pub(crate) fn serve(&mut self, chain: &PromptChain) -> Served {
        let mut parts: Vec<(u64, u32)> = Vec::new();
        let mut before = 0;
        for level in chain.levels() {
            parts.push((level.hash.0, level.tokens - before));
            before = level.tokens;
        }
        let cached: u32 =
            parts.iter().take_while(|(hash, _)| self.kept.contains_key(hash)).map(|(_, n)| n).sum();
        parts.push((chain.request_hash(), chain.tokens() - before));
        for (hash, tokens) in parts.iter().rev() {
            self.touch(*hash, *tokens);
        }
        Served { cached, recomputed: before - cached }
    }

    fn touch(&mut self, hash: u64, tokens: u32) {
        self.clock += 1;
        match self.kept.insert(hash, (tokens, self.clock)) {
            Some((_, last)) => drop(self.by_use.remove(&last)),
            None => self.used += tokens,
        }
        self.by_use.insert(self.clock, hash);
        while self.room < self.used {
            let Some((_, oldest)) = self.by_use.pop_first() else { return };
            let (tokens, _) = self.kept.remove(&oldest).unwrap_or_default();
            self.used -= tokens;
        }
    }
}

/// The state of one engine; times are events of the run.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) cache: PrefixCache,
    /// Numbers of waiting requests, urgent ones first.
    pub(crate) waiting: [VecDeque<usize>; 2],
    pub(crate) prefill: Option<usize>,
    pub(crate) decoding: usize,
    /// Grows when it starts anew.
    pub(crate) life: u64,
}

impl Engine {
    pub(crate) fn new(room: u32) -> Engine {
        let cache = PrefixCache::new(room);
        Engine { cache, waiting: Default::default(), prefill: None, decoding: 0, life: 1 }
    }

    /// The request whose prefill can begin now.
    pub(crate) fn take_next(&mut self) -> Option<usize> {
        if self.prefill.is_some() || BATCH <= self.decoding {
            return None;
        }
        let next = self.waiting.iter_mut().find_map(VecDeque::pop_front);
        self.prefill = next;
        next
    }

    pub(crate) fn running(&self) -> usize {
        let waiting: usize = self.waiting.iter().map(VecDeque::len).sum();
        waiting + self.decoding + usize::from(self.prefill.is_some())
    }

    /// Starts anew and empty; what it had is lost.
    pub(crate) fn restart(&mut self) -> Vec<usize> {
        self.life += 1;
        self.cache.clear();
        self.decoding = 0;
        let waiting = self.waiting.iter_mut().flat_map(|queue| queue.drain(..));
        waiting.chain(self.prefill.take()).collect()
    }
}
