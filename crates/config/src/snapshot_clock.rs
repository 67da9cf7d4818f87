//! When to write a snapshot.

use tokio::time::Instant;

use crate::KeeperSettings;

/// Decides when one reader writes a snapshot.
///
/// Records expire, and a reader that starts without the patches before a snapshot needs one. Each
/// reader writes at half of the retention, delayed by its rank, unless it has seen another's snapshot
/// by then. So the log holds one while any reader runs and the log is reachable for half of the
/// retention. Two snapshots at once only cost their bytes.
#[derive(Debug)]
pub(crate) struct SnapshotClock {
    /// When this router began to read the log itself.
    began: Option<Instant>,
    /// When a snapshot was last seen as it was written. One met while catching up has an unknown
    /// age, so it counts for nothing and the reader soon writes its own.
    seen: Option<Instant>,
    patches: u64,
    /// When `patches` came to its limit.
    crossed: Option<Instant>,
    tried: Option<Instant>,
}

impl SnapshotClock {
    pub(crate) fn new() -> SnapshotClock {
        SnapshotClock { began: None, seen: None, patches: 0, crossed: None, tried: None }
    }

    /// This router begins to read the log itself, or goes on to.
    pub(crate) fn begin(&mut self, now: Instant) {
        self.began.get_or_insert(now);
    }

    /// This router leaves the log to others.
    pub(crate) fn end(&mut self) {
        self.began = None;
        self.seen = None;
    }

    pub(crate) fn add_patch(&mut self, now: Instant, settings: &KeeperSettings) {
        self.patches += 1;
        if settings.snapshot_patches <= self.patches {
            self.crossed.get_or_insert(now);
        }
    }

    pub(crate) fn see_snapshot(&mut self, now: Instant) {
        self.seen = Some(now);
        self.patches = 0;
        self.crossed = None;
    }

    pub(crate) fn note_try(&mut self, now: Instant) {
        self.tried = Some(now);
    }

    /// When the reader of this rank is to write; `None` if it does not read the log itself.
    pub(crate) fn due(&self, rank: u32, settings: &KeeperSettings) -> Option<Instant> {
        let began = self.began?;
        let aged = self.seen.map_or(began, |seen| seen + settings.retention / 2);
        let wanted = self.crossed.map_or(aged, |crossed| crossed.min(aged));
        let own_turn = wanted + settings.snapshot_stagger * rank;
        let retry = self.tried.map(|tried| tried + settings.snapshot_stagger);
        Some(retry.map_or(own_turn, |retry| retry.max(own_turn)))
    }
}
