//! The chain of hashes of a prompt at its level boundaries.

use fulmargate_names::PromptHash;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::PromptScope;

/// Bytes of prompt text in a token.
const TOKEN_BYTES: usize = 4;
/// Tokens in a cached block.
const BLOCK_TOKENS: usize = 16;
const BLOCK_BYTES: usize = TOKEN_BYTES * BLOCK_TOKENS;
/// Levels kept of a prompt.
pub const MAX_LEVELS: usize = 8;
/// Only so many levels from the start decide where a prompt belongs, so that a conversation stays
/// where it is while it grows.
pub const ANCHOR_LEVELS: usize = 3;
/// A boundary nearer to the one before is none: its tokens are not worth a place of their own.
const MIN_LEVEL_TOKENS: usize = 64;
/// Where the last segment is cut into levels: at this many tokens from the prompt's start, at
/// twice as many, and so on. A prompt that comes as one text gets its levels in this way.
const FIRST_CUT_TOKENS: usize = 512;

/// The beginning of a prompt up to a boundary, in whole blocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixLevel {
    /// Hash of the last whole block before the boundary, which covers all before it and the scope.
    pub hash: PromptHash,
    /// Tokens up to there.
    pub tokens: u32,
}

/// The levels of a prompt, outermost first. The hashes are those of the engines' blocks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptChain {
    levels: [PrefixLevel; MAX_LEVELS],
    len: usize,
    tokens: u32,
    request_hash: u64,
}

impl PromptChain {
    /// The chain of a prompt that comes in segments, such as the messages of a chat. The end of
    /// each segment but the last is a level boundary; the last is what is new in this request.
    pub fn new(scope: &PromptScope, segments: &[&str]) -> PromptChain {
        let mut builder = ChainBuilder::new(scope);
        for segment in segments {
            builder.push(segment);
        }
        builder.finish()
    }

    /// The levels, outermost first.
    pub fn levels(&self) -> &[PrefixLevel] {
        &self.levels[..self.len]
    }

    /// Tokens of the whole prompt.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Hash of the whole prompt within its scope.
    pub fn request_hash(&self) -> u64 {
        self.request_hash
    }

    /// The level that decides where the prompt goes; none if the prompt is too short to matter.
    pub fn anchor(&self) -> Option<PrefixLevel> {
        self.levels().get(..self.len.min(ANCHOR_LEVELS))?.last().copied()
    }

    /// The anchor and the levels below it: what a server that answered has cached of the prompt.
    pub(crate) fn hint_levels(&self) -> &[PrefixLevel] {
        &self.levels()[self.len.min(ANCHOR_LEVELS).saturating_sub(1)..]
    }

    /// The level around the anchor, whose prompts are kept on few servers; the anchor itself if
    /// there is none.
    pub fn group(&self) -> Option<PrefixLevel> {
        let anchors = self.len.min(ANCHOR_LEVELS);
        self.levels().get(anchors.saturating_sub(2)).copied()
    }
}

/// Takes a prompt's segments one after the other.
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
    /// No text yet.
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

    /// The chain of what was added.
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
            let wanted = (BLOCK_BYTES - self.tail_len).min(bytes.len());
            self.tail[self.tail_len..self.tail_len + wanted].copy_from_slice(&bytes[..wanted]);
            self.tail_len += wanted;
            bytes = &bytes[wanted..];
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

/// Levels far enough apart; of too many, the outermost and the innermost stay.
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
