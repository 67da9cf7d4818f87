//! What the best placement could reach: all engines' caches as one, known at each moment.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

use fulmargate_stand::token::BLOCK_TOKENS;
use serde::Serialize;

use super::prompt_touch::PromptTouch;
use super::prompt_touch::SegmentUse;

/// Which blocks leave a full cache first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvictionRule {
    /// Those whose next use is furthest off: no cache of this size can have more hits.
    FurthestUse,
    /// Those used longest ago, as engines do it.
    LeastRecent,
}

/// Figures of a replay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct BoundFigures {
    /// Prompts counted.
    pub prompts: usize,
    /// Their tokens.
    pub prompt_tokens: usize,
    /// Tokens found in the cache.
    pub cached_tokens: usize,
    /// Tokens that had been computed before and were computed again.
    pub recomputed_tokens: usize,
}

impl BoundFigures {
    /// Share of the prompts' tokens that were found in the cache.
    pub fn hit_rate(&self) -> f64 {
        self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64
    }

    /// Tokens that have to be computed for a prompt on average.
    pub fn computed_per_prompt(&self) -> f64 {
        (self.prompt_tokens - self.cached_tokens) as f64 / self.prompts.max(1) as f64
    }
}

/// Replays prompts in their order against one cache of the whole fleet's size.
///
/// With `FurthestUse` it is a bound: what all engines together hold is a set of at most this many
/// blocks, no set chosen with knowledge of the future has fewer misses than this one, and here
/// each block is there as soon as a prompt that needs it arrived. Copies on two engines, load and
/// the time that computing takes only add misses. Import from a KV store is not covered: a store
/// is more cache than the fleet's own.
pub fn replay_bound(
    touches: &[PromptTouch],
    capacity_blocks: usize,
    rule: EvictionRule,
) -> BoundFigures {
    let ranks = eviction_ranks(touches, rule);
    let mut cache = PooledCache::new(capacity_blocks);
    let mut seen = HashSet::new();
    let mut figures = BoundFigures::default();
    for (index, touch) in touches.iter().enumerate() {
        let cached_blocks = cache.cached_blocks(&touch.segments);
        if touch.is_counted {
            let seen_segments = touch.segments.iter().filter(|segment| seen.contains(&segment.id));
            let seen_blocks: usize = seen_segments.map(|segment| segment.blocks).sum();
            figures.prompts += 1;
            figures.prompt_tokens += touch.tokens;
            figures.cached_tokens += cached_blocks * BLOCK_TOKENS;
            figures.recomputed_tokens += seen_blocks.saturating_sub(cached_blocks) * BLOCK_TOKENS;
        }
        seen.extend(touch.segments.iter().map(|segment| segment.id));
        for (level, segment) in touch.segments.iter().enumerate() {
            cache.keep(segment, ranks[index][level], level);
        }
        if rule == EvictionRule::LeastRecent {
            let own = SegmentUse { id: u64::MAX - index as u64, blocks: touch.own_blocks };
            cache.keep(&own, ranks[index][0], touch.segments.len());
        }
        cache.shrink();
    }
    figures
}

/// For each prompt and level the rank of the segment after this use; the highest rank goes first.
fn eviction_ranks(touches: &[PromptTouch], rule: EvictionRule) -> Vec<[u64; 3]> {
    if rule == EvictionRule::LeastRecent {
        return (0..touches.len() as u64).map(|index| [u64::MAX - index; 3]).collect();
    }
    let mut next_uses: HashMap<u64, u64> = HashMap::new();
    let mut ranks = vec![[u64::MAX; 3]; touches.len()];
    for (index, touch) in touches.iter().enumerate().rev() {
        for (level, segment) in touch.segments.iter().enumerate() {
            let next = next_uses.insert(segment.id, index as u64);
            ranks[index][level] = next.unwrap_or(u64::MAX);
        }
    }
    ranks
}

/// What is kept of a segment: its first blocks.
#[derive(Clone, Copy)]
struct KeptSegment {
    blocks: usize,
    rank: u64,
    level: usize,
}

/// One cache for all; a level below never outlasts the level above it, for its rank is never lower.
struct PooledCache {
    capacity: usize,
    used: usize,
    kept: HashMap<u64, KeptSegment>,
    order: BTreeSet<(u64, usize, u64)>,
}

impl PooledCache {
    fn new(capacity: usize) -> PooledCache {
        PooledCache { capacity, used: 0, kept: HashMap::new(), order: BTreeSet::new() }
    }

    /// Blocks of the longest cached beginning.
    fn cached_blocks(&self, segments: &[SegmentUse]) -> usize {
        let mut cached = 0;
        for segment in segments {
            let kept = self.kept.get(&segment.id).map_or(0, |kept| kept.blocks);
            cached += kept;
            if kept < segment.blocks {
                break;
            }
        }
        cached
    }

    fn keep(&mut self, segment: &SegmentUse, rank: u64, level: usize) {
        let now = KeptSegment { blocks: segment.blocks, rank, level };
        if let Some(before) = self.kept.insert(segment.id, now) {
            self.order.remove(&(before.rank, before.level, segment.id));
            self.used -= before.blocks;
        }
        self.order.insert((rank, level, segment.id));
        self.used += segment.blocks;
    }

    /// Drops last blocks of the highest ranks until the rest fits.
    fn shrink(&mut self) {
        while self.capacity < self.used {
            let Some((_, _, id)) = self.order.last().copied() else { return };
            let Some(kept) = self.kept.get_mut(&id) else { return };
            let dropped = kept.blocks.min(self.used - self.capacity);
            kept.blocks -= dropped;
            self.used -= dropped;
            if kept.blocks == 0 {
                self.kept.remove(&id);
                self.order.pop_last();
            }
        }
    }
}
