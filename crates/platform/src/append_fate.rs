//! What became of an append after all its tries.

use fulmargate_names::LogOffset;

use crate::LogError;

/// What became of an append after all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendFate {
    /// The record is in the log at this offset; it may stand there again at a later one.
    Landed(LogOffset),
    /// The record is not in the log and never will be.
    NotLanded(LogError),
    /// The record may be in the log, or may yet get there. A reader of the stream will know.
    Unknown(LogError),
}
