//! The fold over the log's `config` stream.

use std::sync::Arc;

use derive_more::Error;
use fulmargate_names::ConfigVersion;
use fulmargate_names::LogOffset;
use fulmargate_platform::LogRecord;
use serde_json::Value;

use crate::ConfigDocument;
use crate::ConfigError;
use crate::ConfigHistory;
use crate::ConfigRecord;
use crate::FoldEvent;
use crate::PatchRecord;
use crate::PatchVerdict;
use crate::RefusalEntry;
use crate::SnapshotRecord;
use crate::VersionEntry;
use crate::document_state::DocumentState;
use crate::patch_backlog::PatchBacklog;

/// Folds the stream's records, in the order of their offsets, into the document in force.
///
/// The log has no compare-and-set. A patch is accepted exactly when its base is the version at its
/// offset and its result is a valid document: nothing else counts, so all readers agree.
#[derive(Debug)]
pub struct ConfigFold {
    state: DocumentState,
    /// The first offset that the state does not cover; `next` unless there is a gap.
    covers: LogOffset,
    next: LogOffset,
    /// Patches since a gap: they cannot be judged until a snapshot covers the gap.
    backlog: Option<PatchBacklog>,
    history: ConfigHistory,
    counts: FoldCounts,
}

/// What a fold has met.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FoldCounts {
    /// Patches accepted.
    pub accepted: u64,
    /// Patches refused.
    pub refused: u64,
    /// Snapshots met.
    pub snapshots: u64,
    /// Records that could not be read.
    pub unreadable: u64,
    /// Snapshots that contradict what was known; they change nothing.
    pub contradictions: u64,
}

/// A record that is not the next one: those between are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, Error)]
#[display("record {found} came where {wanted} was wanted")]
pub struct GapError {
    /// The offset that was wanted.
    pub wanted: LogOffset,
    /// The offset that came.
    pub found: LogOffset,
}

impl ConfigFold {
    /// The state before the first record: version 0, with no document.
    pub fn new() -> ConfigFold {
        ConfigFold {
            state: DocumentState::empty(),
            covers: LogOffset(0),
            next: LogOffset(0),
            backlog: None,
            history: ConfigHistory::default(),
            counts: FoldCounts::default(),
        }
    }

    /// The offset of the record wanted next.
    pub fn next_offset(&self) -> LogOffset {
        self.next
    }

    /// The newest version known. After a gap it may be behind the log's.
    pub fn version(&self) -> ConfigVersion {
        self.state.version
    }

    /// The document under that version; version 0 has none.
    pub fn document(&self) -> Option<&Arc<ConfigDocument>> {
        self.state.document()
    }

    /// The document as the operators wrote it.
    pub fn value(&self) -> &Value {
        self.state.value()
    }

    /// Whether records are missing, so that patches cannot be judged.
    pub fn has_gap(&self) -> bool {
        self.backlog.is_some()
    }

    /// What became of the newest patches.
    pub fn history(&self) -> &ConfigHistory {
        &self.history
    }

    /// What was met.
    pub fn counts(&self) -> FoldCounts {
        self.counts
    }

    /// Takes the next record; one that was taken before changes nothing.
    pub fn apply(&mut self, record: &LogRecord) -> Result<Vec<FoldEvent>, GapError> {
        if record.offset < self.next {
            return Ok(Vec::new());
        }
        if self.next < record.offset {
            return Err(GapError { wanted: self.next, found: record.offset });
        }
        let events = self.take_record(record);
        self.pass_to(LogOffset(record.offset.0 + 1));
        Ok(events)
    }

    /// The log no longer has the records before `first`. What was known stays in force; patches
    /// from there on wait for a snapshot.
    pub fn skip_to(&mut self, first: LogOffset) {
        if self.next < first {
            self.next = first;
            self.backlog = Some(PatchBacklog::new(first));
        }
    }

    /// No patch stands before `offset` beyond those taken: a peer that has read so far says so.
    pub fn pass_to(&mut self, offset: LogOffset) {
        self.next = self.next.max(offset);
        if self.backlog.is_none() {
            self.covers = self.next;
        }
    }

    /// Takes over a peer's state where it is ahead or closes a gap; else nothing changes.
    pub fn adopt(&mut self, snapshot: SnapshotRecord) -> Vec<FoldEvent> {
        if snapshot.covers_offset <= self.next {
            return self.take_snapshot(snapshot);
        }
        match self.read_snapshot(&snapshot) {
            Ok(state) => {
                self.next = snapshot.covers_offset;
                self.backlog = None;
                self.replace_state(state, snapshot)
            }
            Err(event) => vec![event],
        }
    }

    /// Whether a patch against the newest version would be accepted there.
    pub fn check(&mut self, patch: &Value) -> Result<(), ConfigError> {
        self.state.check(patch)
    }

    /// The state, for a snapshot record or a peer.
    pub fn snapshot(&self) -> SnapshotRecord {
        SnapshotRecord {
            covers_offset: self.covers,
            version: self.state.version,
            document: serde_json::value::to_raw_value(self.state.value())
                .expect("a JSON value can be written"),
            history: self.history.newest_versions(),
        }
    }

    fn take_record(&mut self, record: &LogRecord) -> Vec<FoldEvent> {
        let offset = record.offset;
        match ConfigRecord::parse(&record.data) {
            Some(ConfigRecord::Patch(patch)) => match &mut self.backlog {
                Some(backlog) => {
                    backlog.add(record, patch);
                    Vec::new()
                }
                None => vec![self.judge(offset, record.time_ms, patch)],
            },
            // A snapshot stands after all it covers; one that does not was written by no fold.
            Some(ConfigRecord::Snapshot(snapshot)) if snapshot.covers_offset <= offset => {
                self.counts.snapshots += 1;
                let covers = snapshot.covers_offset;
                let mut events = vec![FoldEvent::Snapshot { offset, covers }];
                events.append(&mut self.take_snapshot(snapshot));
                events
            }
            Some(ConfigRecord::Snapshot(_)) | None => {
                self.counts.unreadable += 1;
                vec![FoldEvent::Unreadable { offset }]
            }
        }
    }

    /// A reader that knows the state needs no snapshot, so a late one cannot take it back to an
    /// older version. One with a gap takes the snapshot if it saw all patches that the snapshot
    /// does not cover, and judges those again: patches between what the snapshot covers and where
    /// it stands would be lost otherwise.
    fn take_snapshot(&mut self, snapshot: SnapshotRecord) -> Vec<FoldEvent> {
        let Some(backlog) = &self.backlog else {
            return self.compare(&snapshot).into_iter().collect();
        };
        if !backlog.is_closed_by(snapshot.covers_offset) {
            return Vec::new();
        }
        match self.read_snapshot(&snapshot) {
            Ok(state) => self.replace_state(state, snapshot),
            Err(event) => vec![event],
        }
    }

    /// Versions only grow along the log, so a lower one behind what is known is a fault.
    fn read_snapshot(&mut self, snapshot: &SnapshotRecord) -> Result<DocumentState, FoldEvent> {
        let covers = snapshot.covers_offset;
        if snapshot.version < self.state.version {
            self.counts.contradictions += 1;
            return Err(FoldEvent::Contradiction { covers });
        }
        DocumentState::read(snapshot.version, snapshot.document.get()).map_err(|_| {
            self.counts.unreadable += 1;
            FoldEvent::Unreadable { offset: covers }
        })
    }

    fn replace_state(&mut self, state: DocumentState, snapshot: SnapshotRecord) -> Vec<FoldEvent> {
        self.state = state;
        self.history.replace_versions(snapshot.history);
        let backlog = self.backlog.take();
        self.covers = self.next;
        let patches = backlog.into_iter().flat_map(|it| it.patches_from(snapshot.covers_offset));
        patches.map(|entry| self.judge(entry.offset, entry.time_ms, entry.patch)).collect()
    }

    /// The history's entry for the snapshot's version, if there is one, must agree with it.
    fn compare(&mut self, snapshot: &SnapshotRecord) -> Option<FoldEvent> {
        let covers = snapshot.covers_offset;
        let mut newest_first = self.history.versions.iter().rev();
        let known = newest_first.find(|entry| entry.offset < covers)?;
        if known.version == snapshot.version {
            return None;
        }
        self.counts.contradictions += 1;
        Some(FoldEvent::Contradiction { covers })
    }

    fn judge(&mut self, offset: LogOffset, time_ms: u64, patch: PatchRecord) -> FoldEvent {
        let verdict = self.verdict(&patch);
        let PatchRecord { id, base, author, .. } = patch;
        match &verdict {
            PatchVerdict::Accepted { version } => {
                self.counts.accepted += 1;
                let version = *version;
                let id = id.clone();
                self.history.add_version(VersionEntry { version, id, author, offset, time_ms });
            }
            PatchVerdict::Stale { .. } | PatchVerdict::Invalid { .. } => {
                self.counts.refused += 1;
                self.history.add_refusal(RefusalEntry {
                    id: id.clone(),
                    author,
                    base,
                    current: self.state.version,
                    reason: verdict.to_string(),
                    offset,
                    time_ms,
                });
            }
        }
        FoldEvent::Judged { offset, id, verdict }
    }

    /// A second copy of a patch, after a lost answer to the append, is refused here by itself: the
    /// first copy's acceptance has moved the version past its base.
    fn verdict(&mut self, patch: &PatchRecord) -> PatchVerdict {
        let current = self.state.version;
        if patch.base != current {
            return PatchVerdict::Stale { current };
        }
        match self.state.accept(&patch.patch) {
            Ok(()) => PatchVerdict::Accepted { version: self.state.version },
            Err(error) => PatchVerdict::Invalid { error },
        }
    }
}

impl Default for ConfigFold {
    fn default() -> ConfigFold {
        ConfigFold::new()
    }
}
