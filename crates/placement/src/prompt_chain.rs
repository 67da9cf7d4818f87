//! Prefix hashes of a prompt at its level boundaries.

use fulmargate_names::PromptHash;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::PromptScope;

/// Assumed bytes of prompt text per token.
const TOKEN_BYTES: usize = 4;
/// Tokens per cache block.
const BLOCK_TOKENS: usize = 16;
const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS;
/// Maximum number of levels per prompt.
pub const MAX_LEVELS: usize = 8;
/// Maximum number of leading levels, the last of which is the anchor that determines placement.
/// Later levels do not affect it, so that a conversation stays on its server as it grows.
pub const ANCHOR_LEVELS: usize = 3;
/// Minimum distance between boundaries; closer ones are ignored.
const MIN_LEVEL_TOKENS: usize = 64;
/// Position of the first boundary within the last segment, in tokens from the start of the prompt.
/// Further boundaries are at each doubling. This provides levels for prompts that consist of one
/// text.
const FIRST_CUT_TOKENS: usize = 512;

/// A prefix of the prompt up to a level boundary, rounded down to whole blocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixLevel {
    /// Hash of the last whole block before the boundary. It covers the scope and all preceding
    /// blocks.
    pub hash: PromptHash,
    /// Number of tokens in the prefix.
    pub tokens: u32,
}

/// The levels of a prompt, shortest prefix first. The hashes are equal to the engines' block
/// hashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptChain {
    levels: [PrefixLevel; MAX_LEVELS],
    len: usize,
    tokens: u32,
    request_hash: u64,
}

impl PromptChain {
    /// Builds the chain of a prompt given as segments, such as chat messages. The end of each
    /// segment except the last, which is specific to the request, is a level boundary.
    pub fn new(scope: &PromptScope, segments: &[&str]) -> PromptChain {
        let mut builder = ChainBuilder::new(scope);
        for segment in segments {
            builder.push(segment);
        }
        builder.finish()
    }

    /// The levels, shortest prefix first.
    pub fn levels(&self) -> &[PrefixLevel] {
        &self.levels[..self.len]
    }

    /// Number of tokens in the prompt.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Hash of the scope and the whole prompt.
    pub fn request_hash(&self) -> u64 {
        self.request_hash
    }

    /// The level that determines placement; `None` if the prompt is too short.
    pub fn anchor(&self) -> Option<PrefixLevel> {
        self.levels().get(..self.len.min(ANCHOR_LEVELS))?.last().copied()
    }

    /// The anchor and all longer prefixes: those known to be cached on a server after it has
    /// replied.
    pub(crate) fn hint_levels(&self) -> &[PrefixLevel] {
        &self.levels()[self.len.min(ANCHOR_LEVELS).saturating_sub(1)..]
    }

    /// The level before the anchor, whose prompts share a small set of servers. Returns the anchor
    /// if it is the only level.
    pub fn group(&self) -> Option<PrefixLevel> {
        let anchors = self.len.min(ANCHOR_LEVELS);
        self.levels().get(anchors.saturating_sub(2)).copied()
    }
}

/// Builds a [`PromptChain`] one segment at a time.
#[derive(Clone, Debug)]
pub struct ChainBuilder {
    hash: u64,
    blocks: usize,
    bytes: usize,
    tail: [u8; BLOCK_BYTES],
    tail_len: usize,
    levels: LevelList,
    cuts: LevelList,
    next_cut: usize,
}

impl ChainBuilder {
    /// Creates an empty builder.
    pub fn new(scope: &PromptScope) -> ChainBuilder {
        ChainBuilder {
            hash: scope.seed(),
            blocks: 0,
            bytes: 0,
            tail: [0; BLOCK_BYTES],
            tail_len: 0,
            levels: LevelList::default(),
            cuts: LevelList::default(),
            next_cut: FIRST_CUT_TOKENS,
        }
    }

    /// Adds a segment: a chat message as `ROLE\nCONTENT\n`, or a whole prompt.
    pub fn push(&mut self, segment: &str) {
        if 0 < self.bytes {
            let level = self.level();
            self.levels.push(level);
        }
        self.cuts = LevelList::default();
        self.bytes += segment.len();
        self.hash_bytes(segment.as_bytes());
    }

    /// Builds the chain of all added segments.
    pub fn finish(mut self) -> PromptChain {
        let tokens = self.bytes.div_ceil(TOKEN_BYTES);
        for cut in self.cuts.as_slice() {
            if cut.tokens as usize + MIN_LEVEL_TOKENS <= tokens {
                self.levels.push(*cut);
            }
        }
        PromptChain {
            levels: self.levels.items,
            len: self.levels.len,
            tokens: tokens as u32,
            request_hash: xxh3_64_with_seed(&self.tail[..self.tail_len], self.hash),
        }
    }

    fn hash_bytes(&mut self, mut bytes: &[u8]) {
        if 0 < self.tail_len {
            let len = (BLOCK_BYTES - self.tail_len).min(bytes.len());
            self.tail[self.tail_len..self.tail_len + len].copy_from_slice(&bytes[..len]);
            self.tail_len += len;
            bytes = &bytes[len..];
            if self.tail_len < BLOCK_BYTES {
                return;
            }
            let block = self.tail;
            self.hash_block(&block);
            self.tail_len = 0;
        }
        let mut blocks = bytes.chunks_exact(BLOCK_BYTES);
        for block in &mut blocks {
            self.hash_block(block);
        }
        let rest = blocks.remainder();
        self.tail[..rest.len()].copy_from_slice(rest);
        self.tail_len = rest.len();
    }

    fn hash_block(&mut self, block: &[u8]) {
        self.hash = xxh3_64_with_seed(block, self.hash);
        self.blocks += 1;
        if self.blocks * BLOCK_TOKENS == self.next_cut {
            let level = self.level();
            self.cuts.push(level);
            self.next_cut *= 2;
        }
    }

    fn level(&self) -> PrefixLevel {
        PrefixLevel { hash: PromptHash(self.hash), tokens: (self.blocks * BLOCK_TOKENS) as u32 }
    }
}

/// A bounded list of levels that are at least `MIN_LEVEL_TOKENS` apart. On overflow, the shortest
/// level after the first [`ANCHOR_LEVELS`] is removed.
#[derive(Clone, Debug, Default)]
struct LevelList {
    items: [PrefixLevel; MAX_LEVELS],
    len: usize,
}

impl LevelList {
    fn as_slice(&self) -> &[PrefixLevel] {
        &self.items[..self.len]
    }

    fn push(&mut self, level: PrefixLevel) {
        let before = self.as_slice().last().map_or(0, |last| last.tokens);
        if level.tokens < before + MIN_LEVEL_TOKENS as u32 {
            return;
        }
        if self.len == MAX_LEVELS {
            self.items.copy_within(ANCHOR_LEVELS + 1.., ANCHOR_LEVELS);
            self.len -= 1;
        }
        self.items[self.len] = level;
        self.len += 1;
    }
}
