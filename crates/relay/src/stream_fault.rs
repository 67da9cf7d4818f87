//! What can be wrong with a stream.

use derive_more::Display;
use derive_more::Error;

use crate::BreakCause;

/// Why a stream of one attempt cannot go on. The attempt's connection is closed, never reused.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum StreamFault {
    /// A chunk that belongs to another attempt.
    #[display("a chunk of the attempt {found:?} came")]
    Crossed {
        /// The id in the chunk, shortened.
        found: String,
    },
    /// Tokens are missing.
    #[display("token {found} came where token {wanted} was due")]
    Gap {
        /// The index that was due.
        wanted: u32,
        /// The index that came.
        found: u32,
    },
    /// A token came again.
    #[display("token {found} came again, token {wanted} was due")]
    Repeat {
        /// The index that was due.
        wanted: u32,
        /// The index that came.
        found: u32,
    },
    /// A token without an index.
    #[display("a token came without an index")]
    Unnumbered,
    /// An event after the end.
    #[display("an event came after the end")]
    AfterDone,
    /// The end came before the chunk that gives the reason for finishing.
    #[display("the end came before the answer was finished")]
    Unfinished,
    /// An event that cannot be read.
    #[display("an event cannot be read")]
    Unreadable,
    /// An event over the bound.
    #[display("an event is over the bound")]
    TooLong,
    /// The engine reported an error in the stream.
    #[display("the engine reported an error")]
    ServerError,
    /// The body ended, or broke, before the end of the stream.
    #[display("the stream was cut")]
    Cut,
}

impl StreamFault {
    /// Whether the engine broke the protocol, or the connection merely broke.
    pub fn cause(&self) -> BreakCause {
        match self {
            StreamFault::Cut => BreakCause::Cut,
            _ => BreakCause::Fault,
        }
    }
}
