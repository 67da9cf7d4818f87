//! Cached prompt blocks with least-recently-used eviction.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

/// What became of blocks that were inserted.
#[derive(Debug, Default)]
pub(crate) struct CacheChange {
    /// Blocks that were not there before.
    pub(crate) stored: Vec<u64>,
    /// Blocks that had to go, with their scopes.
    pub(crate) evicted: Vec<(u64, Arc<str>)>,
}

struct CachedBlock {
    scope: Arc<str>,
    weights: u64,
    used: u64,
}

/// Blocks by their chained hash. A hash covers scope and weights, so a block is found by its own
/// team and under its own weights only; both are kept beside it for what leaves the cache.
pub(crate) struct BlockCache {
    capacity: usize,
    blocks: HashMap<u64, CachedBlock>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
}

impl BlockCache {
    pub(crate) fn new(capacity: usize) -> BlockCache {
        BlockCache { capacity, blocks: HashMap::new(), by_use: BTreeMap::new(), uses: 0 }
    }

    pub(crate) fn len(&self) -> usize {
        self.blocks.len()
    }

    /// How many blocks from the start of the chain are cached.
    pub(crate) fn cached_run(&self, chain: &[u64]) -> usize {
        chain.iter().take_while(|hash| self.blocks.contains_key(hash)).count()
    }

    /// The cached start of a chain, if it belongs to the scope and weights asked for.
    pub(crate) fn export(&self, scope: &str, weights: u64, chain: &[u64]) -> Vec<u64> {
        let is_own = |hash: &&u64| {
            let block = self.blocks.get(hash);
            block.is_some_and(|block| &*block.scope == scope && block.weights == weights)
        };
        chain.iter().take_while(is_own).copied().collect()
    }

    /// Marks blocks as used, the deepest first, so that a chain is evicted from its end.
    pub(crate) fn touch(&mut self, chain: &[u64]) {
        for hash in chain.iter().rev() {
            if let Some(block) = self.blocks.get_mut(hash) {
                self.by_use.remove(&block.used);
                self.uses += 1;
                block.used = self.uses;
                self.by_use.insert(self.uses, *hash);
            }
        }
    }

    /// Stores a chain; least recently used blocks give way.
    pub(crate) fn insert(&mut self, scope: &Arc<str>, weights: u64, chain: &[u64]) -> CacheChange {
        let mut change = CacheChange::default();
        let chain = &chain[..chain.len().min(self.capacity)];
        for hash in chain {
            if !self.blocks.contains_key(hash) {
                let block = CachedBlock { scope: Arc::clone(scope), weights, used: 0 };
                self.blocks.insert(*hash, block);
                change.stored.push(*hash);
            }
        }
        self.touch(chain);
        while self.capacity < self.blocks.len() {
            let Some((_, hash)) = self.by_use.pop_first() else { break };
            if let Some(block) = self.blocks.remove(&hash) {
                change.evicted.push((hash, block.scope));
            }
        }
        change
    }

    pub(crate) fn clear(&mut self) {
        self.blocks.clear();
        self.by_use.clear();
    }
}
