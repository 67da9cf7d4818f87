//! Reader for a server's stream of cache events.

use fulmargate_names::Incarnation;
use fulmargate_names::PromptHash;

/// The kind of a cache event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEventKind {
    /// A block was stored.
    Stored,
    /// A block was evicted.
    Evicted,
    /// All blocks were dropped.
    Cleared,
}

/// A cache event published by a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Sequence number in the server's event stream.
    pub seq: u64,
    /// The kind of event.
    pub kind: CacheEventKind,
    /// Hash of the block.
    pub hash: PromptHash,
}

/// A response to `GET /control/events`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventPage {
    /// The server incarnation that published the events.
    pub incarnation: Incarnation,
    /// Sequence number of the next event to read.
    pub next: u64,
    /// The events; sequence numbers may have gaps.
    pub events: Vec<CacheEvent>,
}

/// Whether a page continues the stream read so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamContinuity {
    /// The page continues the stream without a gap.
    Continuous,
    /// Events are missing. They may include evictions, so existing hints must be discarded.
    Gap,
    /// The server has restarted with an empty cache.
    NewIncarnation,
    /// The page is from an earlier incarnation and must be ignored.
    StaleIncarnation,
}

/// The new events of a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewEvents {
    /// The newest incarnation read so far.
    pub incarnation: Incarnation,
    /// Whether the page continues the stream read so far.
    pub continuity: StreamContinuity,
    /// Events that have not been returned before. Events preceding a gap within the page are
    /// omitted.
    pub events: Vec<CacheEvent>,
}

/// Read position in one server's event stream. Pages are passed in by the caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    incarnation: Incarnation,
    next: u64,
}

impl CacheEvents {
    /// Starts at the first event of the incarnation.
    pub fn new(incarnation: Incarnation) -> CacheEvents {
        CacheEvents { incarnation, next: 0 }
    }

    /// Sequence number of the next event to read.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Advances the position and returns the events that are new.
    pub fn apply(&mut self, page: &EventPage) -> NewEvents {
        let incarnation = self.incarnation.max(page.incarnation);
        if page.incarnation < self.incarnation {
            return NewEvents {
                incarnation,
                continuity: StreamContinuity::StaleIncarnation,
                events: Vec::new(),
            };
        }
        let mut continuity = StreamContinuity::Continuous;
        if self.incarnation < page.incarnation {
            *self = CacheEvents::new(page.incarnation);
            continuity = StreamContinuity::NewIncarnation;
        }
        let mut events = Vec::new();
        for event in &page.events {
            if event.seq < self.next {
                continue;
            }
            if self.next < event.seq {
                events.clear();
                continuity = continuity.or_gap();
            }
            events.push(*event);
            self.next = event.seq + 1;
        }
        if self.next < page.next {
            events.clear();
            continuity = continuity.or_gap();
            self.next = page.next;
        }
        NewEvents { incarnation, continuity, events }
    }
}

impl StreamContinuity {
    fn or_gap(self) -> StreamContinuity {
        match self {
            StreamContinuity::Continuous => StreamContinuity::Gap,
            other => other,
        }
    }
}
