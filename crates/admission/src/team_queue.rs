//! One team's waiting requests of one priority.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::drain_rate::DrainRate;
use crate::queue_entry::QueueEntry;

/// One team's waiting requests of one priority, in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    entries: VecDeque<QueueEntry>,
    cost: u64,
    /// What the team may still send in this round.
    pub(crate) deficit: u64,
    /// How fast this team's requests leave.
    pace: DrainRate,
}

impl TeamQueue {
    /// How many wait.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The cost of all that wait.
    pub(crate) fn cost(&self) -> u64 {
        self.cost
    }

    /// The next one.
    pub(crate) fn head(&self) -> Option<&QueueEntry> {
        self.entries.front()
    }

    /// How long a further request will probably wait; `None` while little has left.
    pub(crate) fn wait_for(&self, cost: u64, now: Instant) -> Option<Duration> {
        self.pace.time_for(self.cost + cost, now)
    }

    /// One was sent.
    pub(crate) fn granted(&mut self, cost: u64, now: Instant) {
        self.pace.granted(cost, now);
    }

    /// What was learnt of the pace holds no more.
    pub(crate) fn forget_pace(&mut self) {
        self.pace = DrainRate::default();
    }

    /// Adds one at the end.
    pub(crate) fn push(&mut self, entry: QueueEntry, now: Instant) {
        self.pace.begin(now);
        self.cost += entry.cost;
        self.entries.push_back(entry);
    }

    /// Takes the next one.
    pub(crate) fn pop_head(&mut self) -> Option<QueueEntry> {
        let entry = self.entries.pop_front()?;
        self.forget(&entry);
        Some(entry)
    }

    /// Takes the one that came last.
    pub(crate) fn pop_newest(&mut self) -> Option<QueueEntry> {
        let entry = self.entries.pop_back()?;
        self.forget(&entry);
        Some(entry)
    }

    /// Takes one out of the middle; ids rise along the queue.
    pub(crate) fn remove(&mut self, id: u64) -> Option<QueueEntry> {
        let index = self.entries.binary_search_by_key(&id, |entry| entry.id).ok()?;
        let entry = self.entries.remove(index)?;
        self.forget(&entry);
        Some(entry)
    }

    fn forget(&mut self, entry: &QueueEntry) {
        self.cost -= entry.cost;
        if self.entries.is_empty() {
            self.pace.end();
        }
    }
}
