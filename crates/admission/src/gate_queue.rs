//! All that waits at one gate.

use std::collections::BTreeMap;
use std::time::Duration;

use fulmargate_names::TeamName;
use tokio::time::Instant;

use crate::class_queue::ClassQueue;
use crate::class_queue::QueueStep;
use crate::gate_load::GateRoom;
use crate::queue_entry::QueueEntry;

/// All that waits at one gate, urgent strictly first.
#[derive(Debug, Default)]
pub(crate) struct GateQueue {
    classes: BTreeMap<u8, ClassQueue>,
}

impl GateQueue {
    /// How many wait.
    pub(crate) fn len(&self) -> usize {
        self.classes.values().map(ClassQueue::len).sum()
    }

    /// Whether anyone waits whom a request of this priority may not overtake.
    pub(crate) fn any_up_to(&self, priority: u8) -> bool {
        self.classes.range(..=priority).any(|(_, class)| class.len() > 0)
    }

    /// The queue of a priority.
    pub(crate) fn class(&mut self, priority: u8) -> &mut ClassQueue {
        self.classes.entry(priority).or_default()
    }

    /// How long a new request will probably wait; `None` while nothing is known.
    pub(crate) fn wait_for(
        &self,
        priority: u8,
        team: &TeamName,
        cost: u64,
        now: Instant,
    ) -> Option<Duration> {
        self.classes.get(&priority)?.wait_for(team, cost, now)
    }

    /// What was learnt of the pace holds no more.
    pub(crate) fn forget_pace(&mut self) {
        self.classes.values_mut().for_each(ClassQueue::forget_pace);
    }

    /// Takes the next request if it fits. While a more urgent one waits for room, no other goes.
    pub(crate) fn next(
        &mut self,
        now: Instant,
        room: impl Fn(u8, &TeamName, u32) -> GateRoom,
    ) -> QueueStep {
        for (priority, class) in &mut self.classes {
            match class.next(now, |team, tokens| room(*priority, team, tokens)) {
                QueueStep::Empty => {}
                step => return step,
            }
        }
        QueueStep::Empty
    }

    /// Takes all.
    pub(crate) fn drain(&mut self) -> Vec<QueueEntry> {
        self.classes.values_mut().flat_map(ClassQueue::drain).collect()
    }
}
