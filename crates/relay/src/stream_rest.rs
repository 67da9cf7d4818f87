//! What a stream still owes its caller.

use crate::StreamPlace;

/// Whether the caller asked for a chunk with the usage, and whether it has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageChunk {
    /// Not asked for.
    NotAsked,
    /// Asked for and not yet passed.
    Due,
    /// Asked for and passed.
    Passed,
}

/// What a stream still owes its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamRest {
    /// Tokens, then the end.
    Tokens,
    /// The usage, then the end.
    Usage,
    /// Only the end, which a router can write by itself.
    End,
}

impl StreamRest {
    /// What remains to be sent at `place`.
    pub fn at(place: StreamPlace, usage: UsageChunk) -> StreamRest {
        if !place.is_finished() {
            return StreamRest::Tokens;
        }
        match usage {
            UsageChunk::Due => StreamRest::Usage,
            UsageChunk::NotAsked | UsageChunk::Passed => StreamRest::End,
        }
    }
}
