//! Fair queue of the waiting requests of one priority.

use std::collections::VecDeque;
use std::time::Duration;

use fulmargate_names::TeamName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::drain_rate::DrainRate;
use crate::gate_load::GateCapacity;
use crate::queue_entry::QueueEntry;
use crate::team_queue::TeamQueue;

/// Schedules the queues of the teams by deficit round robin.
///
/// In each round a team's deficit grows by one quantum. The quantum is the largest cost seen, so
/// every turn sends at least one request.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    teams: IndexMap<TeamName, TeamQueue>,
    /// The teams in round-robin order. A team whose queue is empty is removed only at its next
    /// turn, so that it cannot gain an extra turn by leaving and reentering. Removal discards its
    /// deficit.
    round_robin: VecDeque<TeamName>,
    /// Whether the current team has received its quantum.
    turn: Turn,
    quantum: u64,
    len: usize,
    cost: u64,
    /// Drain rate of this priority, which falls while more urgent requests are sent first.
    drain_rate: DrainRate,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Turn {
    #[default]
    New,
    Credited,
}

/// Result of dequeuing.
#[derive(Debug)]
pub(crate) enum QueueStep {
    /// The queue is empty.
    Empty,
    /// Requests are waiting, but there is no capacity.
    Blocked(GateCapacity),
    /// The request waited too long for its first token to meet the deadline.
    Expired(QueueEntry),
    /// The next request, for which there is capacity.
    Next(QueueEntry),
}

impl ClassQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn team_len(&self, team: &TeamName) -> usize {
        self.teams.get(team).map_or(0, TeamQueue::len)
    }

    /// Estimated waiting time of a new request of this team; `None` without enough data.
    ///
    /// Based on the team's own drain rate, which accounts for requests of other teams that
    /// arrive later. If it is unknown, based on the requests queued before the new one.
    pub(crate) fn estimated_wait(
        &self,
        team: &TeamName,
        cost: u64,
        now: Instant,
    ) -> Option<Duration> {
        let own = self.teams.get(team).and_then(|queue| queue.estimated_wait(cost, now));
        own.or_else(|| self.drain_rate.estimated_time(self.cost_before(team, cost) + cost, now))
    }

    /// Discards the measured drain rates.
    pub(crate) fn reset_drain_rates(&mut self) {
        self.drain_rate = DrainRate::default();
        self.teams.values_mut().for_each(TeamQueue::reset_drain_rate);
    }

    /// Appends a request to its team's queue.
    pub(crate) fn push(&mut self, entry: QueueEntry, now: Instant) {
        if self.len == 0 {
            self.quantum = 0;
        }
        self.drain_rate.record_start(now);
        self.quantum = self.quantum.max(entry.cost);
        self.len += 1;
        self.cost += entry.cost;
        if !self.teams.contains_key(&entry.team) {
            self.round_robin.push_back(entry.team.clone());
        }
        self.teams.entry(entry.team.clone()).or_default().push(entry, now);
    }

    /// Removes and returns the next request if there is capacity for it.
    pub(crate) fn next(
        &mut self,
        now: Instant,
        room: impl Fn(&TeamName, u32) -> GateCapacity,
    ) -> QueueStep {
        let mut skipped = 0;
        while let Some(name) = self.round_robin.front() {
            let Some(queue) = self.teams.get_mut(name) else {
                self.round_robin.pop_front();
                continue;
            };
            let Some(head) = queue.head() else {
                self.remove_empty_team();
                continue;
            };
            let cost = head.cost;
            if head.expires_at <= now {
                return self.pop_head(QueueStep::Expired);
            }
            match room(name, head.prefill_tokens) {
                GateCapacity::Free => {}
                GateCapacity::TeamFull if skipped < self.round_robin.len() => {
                    skipped += 1;
                    self.end_turn();
                    continue;
                }
                full => return QueueStep::Blocked(full),
            }
            if self.turn == Turn::New {
                queue.deficit += self.quantum;
                self.turn = Turn::Credited;
            }
            if cost <= queue.deficit {
                queue.deficit -= cost;
                queue.record_sent(cost, now);
                self.drain_rate.record_sent(cost, now);
                return self.pop_head(QueueStep::Next);
            }
            self.end_turn();
        }
        QueueStep::Empty
    }

    /// Removes a request from any position.
    pub(crate) fn remove(&mut self, team: &TeamName, id: u64) -> Option<QueueEntry> {
        let entry = self.teams.get_mut(team)?.remove(id)?;
        self.record_removal(&entry);
        Some(entry)
    }

    /// Removes the newest request of the team with the longest queue to make room for a request of
    /// `team`. Returns `None` if no other team would then have a longer queue than `team`.
    pub(crate) fn displace_for(&mut self, team: &TeamName) -> Option<QueueEntry> {
        let own = self.team_len(team) + 1;
        let longest = self.teams.values_mut().max_by_key(|queue| queue.len())?;
        if longest.len() <= own {
            return None;
        }
        let entry = longest.pop_newest()?;
        self.record_removal(&entry);
        Some(entry)
    }

    /// Removes and returns all requests.
    pub(crate) fn remove_all(&mut self) -> Vec<QueueEntry> {
        let mut entries = Vec::with_capacity(self.len);
        for (_, mut queue) in std::mem::take(self).teams {
            while let Some(entry) = queue.pop_head() {
                entries.push(entry);
            }
        }
        entries
    }

    fn pop_head(&mut self, step: fn(QueueEntry) -> QueueStep) -> QueueStep {
        let queue = self.round_robin.front().and_then(|name| self.teams.get_mut(name));
        let Some(entry) = queue.and_then(TeamQueue::pop_head) else {
            return QueueStep::Empty;
        };
        self.record_removal(&entry);
        step(entry)
    }

    fn end_turn(&mut self) {
        self.round_robin.rotate_left(1);
        self.turn = Turn::New;
    }

    fn remove_empty_team(&mut self) {
        if let Some(name) = self.round_robin.pop_front() {
            self.teams.swap_remove(&name);
        }
        self.turn = Turn::New;
    }

    fn record_removal(&mut self, entry: &QueueEntry) {
        self.len -= 1;
        self.cost -= entry.cost;
        if self.len == 0 {
            self.drain_rate.record_end();
        }
    }

    /// Estimated cost sent before a new request of this team, assuming that until then each other
    /// team sends as much as this one.
    fn cost_before(&self, team: &TeamName, cost: u64) -> u64 {
        let own = self.teams.get(team).map_or(0, TeamQueue::cost);
        let others = (self.cost - own).min((own + cost) * self.teams.len() as u64);
        own + others
    }
}
