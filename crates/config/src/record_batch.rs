//! What one router hands on to another.

use fulmargate_names::ConfigVersion;
use fulmargate_names::LogOffset;
use fulmargate_platform::LogRecord;
use serde::Deserialize;
use serde::Serialize;

use crate::SnapshotRecord;

/// All patches of a range of the stream. Snapshot records are left out: a router that follows
/// another has no use for them, and they are the greater part of the stream's bytes.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordBatch {
    /// The version in force at the router that sends it.
    pub in_force: ConfigVersion,
    /// The first offset of the range.
    pub from: LogOffset,
    /// The offset after the range.
    pub next: LogOffset,
    /// The state before the range, where the range begins later than what was asked for.
    pub state: Option<SnapshotRecord>,
    /// The range's patches in the order of their offsets.
    pub records: Vec<LogRecord>,
}

/// What came of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// It led on.
    Advanced,
    /// All of it was known.
    Known,
    /// Records before it are missing; the batch from the wanted offset is needed.
    Missing,
}

impl RecordBatch {
    /// For the wire.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("batches have string keys only")
    }

    /// From the wire; `None` if it cannot be read.
    pub fn from_bytes(bytes: &[u8]) -> Option<RecordBatch> {
        serde_json::from_slice(bytes).ok()
    }
}
