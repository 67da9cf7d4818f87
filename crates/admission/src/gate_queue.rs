//! Priority queue of one gate.

use std::collections::BTreeMap;
use std::time::Duration;

use fulmargate_names::TeamName;
use tokio::time::Instant;

use crate::class_queue::ClassQueue;
use crate::class_queue::QueueStep;
use crate::gate_load::GateCapacity;
use crate::queue_entry::QueueEntry;

/// Queued requests of one gate, in strict order of priority.
#[derive(Debug, Default)]
pub(crate) struct GateQueue {
    classes: BTreeMap<u8, ClassQueue>,
}

impl GateQueue {
    pub(crate) fn len(&self) -> usize {
        self.classes.values().map(ClassQueue::len).sum()
    }

    /// Whether a request of this or a more urgent priority is queued.
    pub(crate) fn has_waiting_up_to(&self, priority: u8) -> bool {
        self.classes.range(..=priority).any(|(_, class)| class.len() > 0)
    }

    pub(crate) fn class(&mut self, priority: u8) -> &mut ClassQueue {
        self.classes.entry(priority).or_default()
    }

    /// Estimated wait of a new request; `None` while unknown.
    pub(crate) fn estimated_wait(
        &self,
        priority: u8,
        team: &TeamName,
        cost: u64,
        now: Instant,
    ) -> Option<Duration> {
        self.classes.get(&priority)?.estimated_wait(team, cost, now)
    }

    /// Discards the throughput estimates.
    pub(crate) fn reset_drain_rates(&mut self) {
        self.classes.values_mut().for_each(ClassQueue::reset_drain_rates);
    }

    /// Removes the next request if it fits. A request that waits for room blocks all less urgent
    /// ones.
    pub(crate) fn next(
        &mut self,
        now: Instant,
        room: impl Fn(u8, &TeamName, u32) -> GateCapacity,
    ) -> QueueStep {
        for (priority, class) in &mut self.classes {
            match class.next(now, |team, tokens| room(*priority, team, tokens)) {
                QueueStep::Empty => {}
                step => return step,
            }
        }
        QueueStep::Empty
    }

    /// Removes all requests.
    pub(crate) fn remove_all(&mut self) -> Vec<QueueEntry> {
        self.classes.values_mut().flat_map(ClassQueue::remove_all).collect()
    }
}
