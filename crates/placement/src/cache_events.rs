//! Following the cache events that a server publishes.

use fulmargate_names::Incarnation;
use fulmargate_names::PromptHash;

/// What happened to a block.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEventKind {
    /// It was stored.
    Stored,
    /// It was evicted.
    Evicted,
    /// All blocks were dropped.
    Cleared,
}

/// One event of a server's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Its place in the server's stream.
    pub seq: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// The block.
    pub hash: PromptHash,
}

/// An answer of `GET /control/events`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventPage {
    /// The life of the server that the events belong to.
    pub incarnation: Incarnation,
    /// Where to read on.
    pub next: u64,
    /// The events, which may have gaps.
    pub events: Vec<CacheEvent>,
}

/// Whether a page continues what was read before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventBreak {
    /// It does.
    None,
    /// Events are missing: an eviction may be among them, so what was believed is void.
    Gap,
    /// The server has started anew and is empty.
    NewLife,
    /// The page comes late, from a life that is over, and says nothing of the present one.
    LateLife,
}

/// What a page tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventNews {
    /// The life it tells of.
    pub incarnation: Incarnation,
    /// Whether the page continues what was read before.
    pub broken: EventBreak,
    /// Events that were not told before; those before a break in the page's middle left out.
    pub events: Vec<CacheEvent>,
}

/// Where the reader of one server's events stands: a fold over the pages, without I/O.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheEvents {
    incarnation: Incarnation,
    next: u64,
}

impl CacheEvents {
    /// Reads from the server's first event.
    pub fn new(incarnation: Incarnation) -> CacheEvents {
        CacheEvents { incarnation, next: 0 }
    }

    /// Where to read on.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Takes the next page in.
    pub fn apply(&mut self, page: &EventPage) -> EventNews {
        let incarnation = self.incarnation.max(page.incarnation);
        if page.incarnation < self.incarnation {
            return EventNews { incarnation, broken: EventBreak::LateLife, events: Vec::new() };
        }
        let mut broken = EventBreak::None;
        if self.incarnation < page.incarnation {
            *self = CacheEvents::new(page.incarnation);
            broken = EventBreak::NewLife;
        }
        let mut events = Vec::new();
        for event in &page.events {
            if event.seq < self.next {
                continue;
            }
            if self.next < event.seq {
                events.clear();
                broken = broken.or_gap();
            }
            events.push(*event);
            self.next = event.seq + 1;
        }
        if self.next < page.next {
            events.clear();
            broken = broken.or_gap();
            self.next = page.next;
        }
        EventNews { incarnation, broken, events }
    }
}

impl EventBreak {
    fn or_gap(self) -> EventBreak {
        match self {
            EventBreak::None => EventBreak::Gap,
            other => other,
        }
    }
}
