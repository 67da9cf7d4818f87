//! What happens next.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Something that happens. Numbers are those of calls, engines and routers in their lists.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PlayEvent {
    /// A caller sends a request.
    Arrive(usize),
    /// A caller has waited long enough for the first event of its attempt.
    Leave { call: usize, attempt: u32 },
    /// A request reaches an engine.
    Reach { engine: usize, send: usize },
    /// No connection to an engine was had.
    NoConnection { send: usize },
    /// An engine has done a step.
    Step { engine: usize, epoch: u64 },
    /// An event of a stream reaches the router; the last one of the stream, or not.
    Output { send: usize, is_last: bool },
    /// An engine turned a request away.
    TurnedAway { send: usize },
    /// A router looks whether a silent engine is still there.
    Probe { send: usize },
    /// A router tells the others.
    Word(usize),
    /// A router serves its line.
    Serve(usize),
    /// New weights are named.
    Bump,
    /// The holder of the lease looks at the wave.
    Wave,
    /// An engine has loaded.
    Loaded { engine: usize, epoch: u64 },
    /// A quarter of the engines falls silent, or is back.
    Dark(bool),
    /// Engines tell what changed in their caches.
    CacheWords,
}

/// Events by time; those of one moment in the order in which they were added.
#[derive(Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<TimedEvent>,
    added: u64,
}

struct TimedEvent {
    at: f64,
    number: u64,
    event: PlayEvent,
}

impl EventQueue {
    /// At a time in milliseconds.
    pub(crate) fn add(&mut self, at: f64, event: PlayEvent) {
        self.added += 1;
        self.heap.push(TimedEvent { at, number: self.added, event });
    }

    /// The next one with its time.
    pub(crate) fn next(&mut self) -> Option<(f64, PlayEvent)> {
        self.heap.pop().map(|timed| (timed.at, timed.event))
    }
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &TimedEvent) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &TimedEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    /// The heap gives the greatest first, which here is the earliest.
    fn cmp(&self, other: &TimedEvent) -> Ordering {
        other.at.total_cmp(&self.at).then_with(|| other.number.cmp(&self.number))
    }
}
