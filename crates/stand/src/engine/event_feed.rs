//! Cache events as an engine publishes them: numbered, late, with gaps.

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Serialize;

/// Events that are kept for readers.
const KEPT_EVENTS: usize = 20_000;

/// What happened to a cached block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum CacheEventKind {
    Stored,
    Evicted,
    Cleared,
}

/// One event on the wire.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) seq: u64,
    kind: CacheEventKind,
    hash: String,
    scope: Arc<str>,
}

/// A page of events on the wire.
#[derive(Debug, Serialize)]
pub(crate) struct EventPage {
    incarnation: u64,
    pub(crate) first: u64,
    pub(crate) next: u64,
    pub(crate) events: Vec<CacheEvent>,
}

struct FeedEntry {
    visible_at: f64,
    seq: u64,
    kind: CacheEventKind,
    hash: u64,
    scope: Arc<str>,
}

/// The events of one life of an engine.
pub(crate) struct EventFeed {
    incarnation: u64,
    delay_ms: f64,
    next_seq: u64,
    entries: VecDeque<FeedEntry>,
}

impl EventFeed {
    pub(crate) fn new(incarnation: u64, delay_ms: f64) -> EventFeed {
        EventFeed { incarnation, delay_ms, next_seq: 0, entries: VecDeque::new() }
    }

    /// Publishes an event; a lost one takes a number all the same, which is how readers notice.
    pub(crate) fn push(&mut self, now: f64, kind: CacheEventKind, hash: u64, scope: &Arc<str>) {
        let entry = FeedEntry {
            visible_at: now + self.delay_ms,
            seq: self.next_seq,
            kind,
            hash,
            scope: Arc::clone(scope),
        };
        self.next_seq += 1;
        self.entries.push_back(entry);
        if KEPT_EVENTS < self.entries.len() {
            self.entries.pop_front();
        }
    }

    /// Loses the event that would come next.
    pub(crate) fn lose(&mut self) {
        self.next_seq += 1;
    }

    /// Events from `from` on that are visible by now.
    pub(crate) fn page(&self, now: f64, from: u64, max: usize) -> EventPage {
        let first = self.entries.front().map_or(self.next_seq, |entry| entry.seq);
        let start = self.entries.partition_point(|entry| entry.seq < from);
        let events: Vec<CacheEvent> = self
            .entries
            .range(start..)
            .take_while(|entry| entry.visible_at <= now)
            .take(max)
            .map(FeedEntry::event)
            .collect();
        let next = events.last().map_or(from, |event| event.seq + 1);
        EventPage { incarnation: self.incarnation, first, next, events }
    }
}

impl FeedEntry {
    fn event(&self) -> CacheEvent {
        CacheEvent {
            seq: self.seq,
            kind: self.kind,
            hash: format!("{:016x}", self.hash),
            scope: Arc::clone(&self.scope),
        }
    }
}
