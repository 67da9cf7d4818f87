//! The newest patch records, to hand on to peers.

use std::collections::VecDeque;

use fulmargate_names::LogOffset;
use fulmargate_platform::LogRecord;

/// Records kept; a peer that is further behind gets the state.
const RECORDS_KEPT: usize = 2_000;
/// Bytes kept, for patches that are as large as a document.
const BYTES_KEPT: usize = 8 << 20;

/// The newest patch records.
#[derive(Debug)]
pub(crate) struct RecentPatches {
    from: LogOffset,
    records: VecDeque<LogRecord>,
    bytes: usize,
}

impl RecentPatches {
    /// Will hold the patches from an offset on.
    pub(crate) fn new(from: LogOffset) -> RecentPatches {
        RecentPatches { from, records: VecDeque::new(), bytes: 0 }
    }

    pub(crate) fn add(&mut self, record: LogRecord) {
        self.bytes += record.data.len();
        self.records.push_back(record);
        while RECORDS_KEPT < self.records.len() || BYTES_KEPT < self.bytes {
            let Some(oldest) = self.records.pop_front() else {
                return;
            };
            self.bytes -= oldest.data.len();
            self.from = LogOffset(oldest.offset.0 + 1);
        }
    }

    /// The patches from an offset on; `None` if some of them are no longer here.
    pub(crate) fn since(&self, from: LogOffset) -> Option<Vec<LogRecord>> {
        if from < self.from {
            return None;
        }
        Some(self.records.iter().filter(|record| from <= record.offset).cloned().collect())
    }
}
