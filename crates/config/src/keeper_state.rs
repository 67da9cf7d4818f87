//! State of the configuration keeper, without I/O.

use std::collections::HashMap;
use std::sync::Arc;

use fulmargate_names::ConfigVersion;
use fulmargate_names::EventKind;
use fulmargate_names::LogOffset;
use fulmargate_platform::LogPage;
use fulmargate_platform::LogRecord;
use tokio::time::Instant;

use crate::BatchOutcome;
use crate::ConfigDocument;
use crate::ConfigFold;
use crate::FoldEvent;
use crate::KeeperSettings;
use crate::PatchVerdict;
use crate::ReaderRole;
use crate::RecordBatch;
use crate::recent_patches::RecentPatches;
use crate::snapshot_clock::SnapshotClock;

/// The configuration in force at a router.
#[derive(Clone, Debug, Default)]
pub struct PublishedConfig {
    /// Its version; 0 while there is none.
    pub version: ConfigVersion,
    /// The document; `None` under version 0.
    pub document: Option<Arc<ConfigDocument>>,
}

/// State of the configuration keeper.
#[derive(Debug)]
pub(crate) struct KeeperState {
    pub(crate) fold: ConfigFold,
    pub(crate) clock: SnapshotClock,
    pub(crate) role: ReaderRole,
    recent: RecentPatches,
    /// Verdicts awaited, by the ids of the patches; the first one stands.
    awaited: HashMap<String, Option<PatchVerdict>>,
    published: ConfigVersion,
    /// The newest version reported by a peer.
    heard_version: ConfigVersion,
    heard_at: Instant,
    /// Since when a peer is known to be ahead.
    behind_since: Option<Instant>,
    began: Instant,
    /// The log was once read to its end.
    reached_end: bool,
    /// No read has failed since the log was last read to its end.
    is_live: bool,
    /// All was taken over that some peer has in force.
    adopted: bool,
}

impl KeeperState {
    pub(crate) fn new(role: ReaderRole, now: Instant) -> KeeperState {
        let mut state = KeeperState {
            fold: ConfigFold::new(),
            clock: SnapshotClock::new(),
            role,
            recent: RecentPatches::new(LogOffset(0)),
            awaited: HashMap::new(),
            published: ConfigVersion(0),
            heard_version: ConfigVersion(0),
            heard_at: now,
            behind_since: Some(now),
            began: now,
            reached_end: false,
            is_live: false,
            adopted: false,
        };
        state.set_role(role, now);
        state
    }

    pub(crate) fn set_role(&mut self, role: ReaderRole, now: Instant) {
        self.role = role;
        match role {
            ReaderRole::Direct { .. } => self.clock.begin(now),
            ReaderRole::Follower => self.clock.end(),
        }
    }

    /// Whether reads may wait for news: until the end is known they must not.
    pub(crate) fn is_live(&self) -> bool {
        self.is_live
    }

    /// A read failed, or the process did not run for a while: what is read next may be old.
    pub(crate) fn note_break(&mut self) {
        self.is_live = false;
    }

    /// Takes a page that was read. Only an empty one is the stream's end: a log may send less than
    /// it was asked for.
    pub(crate) fn take_page(&mut self, page: LogPage, settings: &KeeperSettings, now: Instant) {
        if self.fold.next_offset() < page.first {
            self.skip_to(page.first);
        }
        let is_end = page.records.is_empty();
        for record in page.records {
            self.take_record(record, settings, now);
        }
        if is_end {
            self.reached_end = true;
            self.is_live = true;
        }
    }

    fn skip_to(&mut self, first: LogOffset) {
        let kind = EventKind::LogTruncated;
        let from = self.fold.next_offset();
        tracing::warn!(event = kind.number(), name = kind.name(), stream = "config", %from, %first);
        self.fold.skip_to(first);
        self.recent = RecentPatches::new(first);
    }

    fn take_record(&mut self, record: LogRecord, settings: &KeeperSettings, now: Instant) {
        // One that was taken before (a peer was faster than the log) leaves no events.
        let is_new = self.fold.next_offset() == record.offset;
        let Ok(events) = self.fold.apply(&record) else {
            return;
        };
        let judged = events.iter().any(|event| matches!(event, FoldEvent::Judged { .. }));
        if is_new && (judged || self.fold.has_gap()) {
            self.clock.add_patch(now, settings);
            self.recent.add(record);
        }
        self.take_events(events, now);
    }

    fn take_events(&mut self, events: Vec<FoldEvent>, now: Instant) {
        for event in events {
            match event {
                FoldEvent::Judged { offset, id, verdict } => {
                    self.take_verdict(offset, &id, verdict);
                }
                FoldEvent::Snapshot { .. } if self.is_live => self.clock.see_snapshot(now),
                FoldEvent::Snapshot { .. } => {}
                FoldEvent::Unreadable { offset } => {
                    let kind = EventKind::ConfigUnreadable;
                    tracing::warn!(event = kind.number(), name = kind.name(), %offset);
                }
                FoldEvent::Contradiction { covers } => {
                    let kind = EventKind::ConfigUnreadable;
                    tracing::error!(event = kind.number(), name = kind.name(), %covers, "a snapshot contradicts the patches");
                }
            }
        }
    }

    fn take_verdict(&mut self, offset: LogOffset, id: &str, verdict: PatchVerdict) {
        if self.is_live && !matches!(verdict, PatchVerdict::Accepted { .. }) {
            let kind = EventKind::PatchRefused;
            tracing::info!(event = kind.number(), name = kind.name(), %offset, patch = id, reason = %verdict);
        }
        if let Some(slot) = self.awaited.get_mut(id) {
            slot.get_or_insert(verdict);
        }
    }

    /// What a peer sent.
    pub(crate) fn take_batch(
        &mut self,
        batch: RecordBatch,
        settings: &KeeperSettings,
        now: Instant,
    ) -> BatchOutcome {
        self.heard_at = now;
        let before = (self.fold.next_offset(), self.fold.has_gap());
        if let Some(state) = batch.state {
            let covers = state.covers_offset;
            let is_jump = self.fold.next_offset() < covers || self.fold.has_gap();
            let events = self.fold.adopt(state);
            if is_jump && !self.fold.has_gap() {
                self.recent = RecentPatches::new(self.fold.next_offset());
            }
            self.take_events(events, now);
        }
        if self.fold.next_offset() < batch.from || self.fold.has_gap() {
            return BatchOutcome::Missing;
        }
        for record in batch.records {
            self.fold.pass_to(record.offset);
            self.take_record(record, settings, now);
        }
        self.fold.pass_to(batch.next);
        // A peer with nothing in force may itself be on its way through the log: what it has is
        // taken over, but not for the newest.
        if ConfigVersion(0) < batch.in_force && batch.in_force <= self.fold.version() {
            self.adopted = true;
        }
        self.mind_distance(now);
        match before == (self.fold.next_offset(), false) {
            true => BatchOutcome::Known,
            false => BatchOutcome::Advanced,
        }
    }

    /// What a peer that has come to `from` needs. It says what is in force here: a router on its way
    /// through the log knows more than that, but not all.
    pub(crate) fn batch_from(&self, from: LogOffset) -> RecordBatch {
        let in_force = self.published;
        let next = self.fold.next_offset();
        let recent = self.recent.since(from).filter(|_| !self.fold.has_gap());
        if let Some(records) = recent {
            return RecordBatch { in_force, from: from.min(next), next, state: None, records };
        }
        let state = self.fold.snapshot();
        let covers = state.covers_offset;
        let records = Vec::new();
        RecordBatch { in_force, from: covers, next: covers, state: Some(state), records }
    }

    /// From where a peer's batch would help: after a gap only a state does.
    pub(crate) fn wanted_offset(&self) -> LogOffset {
        match self.fold.has_gap() {
            true => LogOffset(0),
            false => self.fold.next_offset(),
        }
    }

    /// A peer reported its active version.
    pub(crate) fn hear(&mut self, version: ConfigVersion, now: Instant) {
        self.heard_at = now;
        self.heard_version = self.heard_version.max(version);
        self.mind_distance(now);
    }

    fn mind_distance(&mut self, now: Instant) {
        let version = self.fold.version();
        let is_behind = version < self.heard_version || version == ConfigVersion(0);
        match is_behind {
            true => _ = self.behind_since.get_or_insert(now),
            false => self.behind_since = None,
        }
    }

    /// When a follower that peers fail has to read the log itself.
    pub(crate) fn fallback_at(&self, settings: &KeeperSettings) -> Instant {
        let quiet = self.heard_at + settings.quiet_limit;
        self.behind_since.map_or(quiet, |since| quiet.min(since + settings.offer_limit))
    }

    /// The fallback was tried.
    pub(crate) fn note_fallback(&mut self, now: Instant) {
        self.heard_at = now;
        self.behind_since = None;
        self.mind_distance(now);
    }

    /// What may come into force now, if it is newer than what is.
    pub(crate) fn publish(
        &mut self,
        settings: &KeeperSettings,
        now: Instant,
    ) -> Option<PublishedConfig> {
        let version = self.fold.version();
        if version <= self.published || !self.may_publish(settings, now) {
            return None;
        }
        self.published = version;
        self.mind_distance(now);
        let kind = EventKind::ConfigAccepted;
        tracing::info!(event = kind.number(), name = kind.name(), %version);
        Some(PublishedConfig { version, document: self.fold.document().cloned() })
    }

    /// A router that restarts remembers nothing, so whatever it publishes first may be older than
    /// what it had in force: callers would see a key come back that was withdrawn. It waits until
    /// it knows the log's end, or, where the log cannot be read, all that its peers know. Later
    /// versions only grow, since the fold never goes back.
    fn may_publish(&self, settings: &KeeperSettings, now: Instant) -> bool {
        if self.published != ConfigVersion(0) {
            return true;
        }
        if self.fold.version() < self.heard_version {
            return false;
        }
        self.reached_end || self.adopted && self.settled_at(settings) <= now
    }

    /// Until when a router that has just started waits for the log's end, or for all its peers.
    pub(crate) fn settled_at(&self, settings: &KeeperSettings) -> Instant {
        match self.role {
            ReaderRole::Direct { .. } => self.began + settings.first_read_limit,
            ReaderRole::Follower => self.began + settings.first_hear_limit,
        }
    }

    /// Whether a version is in force here, be it 0 because the log holds none.
    pub(crate) fn is_known(&self) -> bool {
        let is_empty = self.reached_end && !self.fold.has_gap() && self.heard_version.0 == 0;
        self.published != ConfigVersion(0) || is_empty && self.fold.version() == ConfigVersion(0)
    }

    /// Whether this router is to write a snapshot, and when.
    pub(crate) fn snapshot_due(&self, settings: &KeeperSettings) -> Option<Instant> {
        let ReaderRole::Direct { rank } = self.role else {
            return None;
        };
        if self.fold.has_gap() || !self.reached_end || self.fold.version() == ConfigVersion(0) {
            return None;
        }
        self.clock.due(rank, settings)
    }

    pub(crate) fn await_verdict(&mut self, id: &str) {
        self.awaited.entry(id.to_owned()).or_default();
    }

    /// The verdict on a patch: as it was awaited, or as the history remembers it.
    pub(crate) fn verdict(&self, id: &str) -> Option<PatchVerdict> {
        if let Some(Some(verdict)) = self.awaited.get(id) {
            return Some(verdict.clone());
        }
        let accepted = self.fold.history().accepted(id)?;
        Some(PatchVerdict::Accepted { version: accepted.version })
    }

    pub(crate) fn forget_verdict(&mut self, id: &str) {
        self.awaited.remove(id);
    }
}
