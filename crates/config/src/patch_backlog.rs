//! Patches that cannot be judged yet.

use std::collections::VecDeque;

use fulmargate_names::LogOffset;
use fulmargate_platform::LogRecord;

use crate::PatchRecord;

/// Patches that are kept; with more, the oldest are given up and a later snapshot is awaited.
/// Snapshots come far more often, so this bounds memory without being met in practice.
const PATCHES_KEPT: usize = 20_000;

/// Patches after a gap in the records, kept until a snapshot covers the gap.
#[derive(Debug)]
pub(crate) struct PatchBacklog {
    since: LogOffset,
    patches: VecDeque<BacklogPatch>,
}

/// A patch and where it stands.
#[derive(Debug)]
pub(crate) struct BacklogPatch {
    pub(crate) offset: LogOffset,
    pub(crate) time_ms: u64,
    pub(crate) patch: PatchRecord,
}

impl PatchBacklog {
    /// All records from `since` on will be seen.
    pub(crate) fn new(since: LogOffset) -> PatchBacklog {
        PatchBacklog { since, patches: VecDeque::new() }
    }

    pub(crate) fn add(&mut self, record: &LogRecord, patch: PatchRecord) {
        let entry = BacklogPatch { offset: record.offset, time_ms: record.time_ms, patch };
        self.patches.push_back(entry);
        while PATCHES_KEPT < self.patches.len() {
            if let Some(oldest) = self.patches.pop_front() {
                self.since = LogOffset(oldest.offset.0 + 1);
            }
        }
    }

    /// Whether every patch from `covers` on is here: a snapshot that covers less leaves patches
    /// between it and the first record seen, which may have been accepted.
    pub(crate) fn is_closed_by(&self, covers: LogOffset) -> bool {
        self.since <= covers
    }

    /// The patches from `covers` on, in the order of the log.
    pub(crate) fn patches_from(self, covers: LogOffset) -> impl Iterator<Item = BacklogPatch> {
        self.patches.into_iter().filter(move |patch| covers <= patch.offset)
    }
}
