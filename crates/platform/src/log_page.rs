//! What a read of a stream gives.

use fulmargate_names::LogOffset;
use serde::Deserialize;
use serde::Serialize;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position in the stream, without gaps.
    pub offset: LogOffset,
    /// When the log took it, by the log's clock, in milliseconds since 1970.
    pub time_ms: u64,
    /// The writer's id of the record; equal ids are the same record.
    pub id: String,
    /// What was written.
    pub data: String,
}

/// What a read of a stream gives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPage {
    /// The oldest offset that the log still keeps.
    pub first: LogOffset,
    /// Where to read on.
    pub next: LogOffset,
    /// The records from the offset asked for, or from the oldest one if that is later.
    pub records: Vec<LogRecord>,
}
