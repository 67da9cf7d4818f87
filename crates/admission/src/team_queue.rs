//! Queue of one team's waiting requests of one priority.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::drain_rate::DrainRate;
use crate::queue_entry::QueueEntry;

/// FIFO queue of one team's waiting requests of one priority.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    entries: VecDeque<QueueEntry>,
    cost: u64,
    /// Cost of the requests that the team may still send in this round.
    pub(crate) deficit: u64,
    drain_rate: DrainRate,
}

impl TeamQueue {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Total cost of the waiting requests.
    pub(crate) fn cost(&self) -> u64 {
        self.cost
    }

    pub(crate) fn head(&self) -> Option<&QueueEntry> {
        self.entries.front()
    }

    /// Estimated waiting time of a new request; `None` without enough data.
    pub(crate) fn estimated_wait(&self, cost: u64, now: Instant) -> Option<Duration> {
        self.drain_rate.estimated_time(self.cost + cost, now)
    }

    /// Records that a request was sent.
    pub(crate) fn record_sent(&mut self, cost: u64, now: Instant) {
        self.drain_rate.record_sent(cost, now);
    }

    /// Discards the measured drain rate.
    pub(crate) fn reset_drain_rate(&mut self) {
        self.drain_rate = DrainRate::default();
    }

    pub(crate) fn push(&mut self, entry: QueueEntry, now: Instant) {
        self.drain_rate.record_start(now);
        self.cost += entry.cost;
        self.entries.push_back(entry);
    }

    pub(crate) fn pop_head(&mut self) -> Option<QueueEntry> {
        let entry = self.entries.pop_front()?;
        self.record_removal(&entry);
        Some(entry)
    }

    pub(crate) fn pop_newest(&mut self) -> Option<QueueEntry> {
        let entry = self.entries.pop_back()?;
        self.record_removal(&entry);
        Some(entry)
    }

    /// Removes the request with this ID from any position. IDs increase along the queue.
    pub(crate) fn remove(&mut self, id: u64) -> Option<QueueEntry> {
        let index = self.entries.binary_search_by_key(&id, |entry| entry.id).ok()?;
        let entry = self.entries.remove(index)?;
        self.record_removal(&entry);
        Some(entry)
    }

    fn record_removal(&mut self, entry: &QueueEntry) {
        self.cost -= entry.cost;
        if self.entries.is_empty() {
            self.drain_rate.record_end();
        }
    }
}
