//! The waiting requests of one priority, fair among teams.

use std::collections::VecDeque;
use std::time::Duration;

use fulmargate_names::TeamName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::drain_rate::DrainRate;
use crate::gate_load::GateRoom;
use crate::queue_entry::QueueEntry;
use crate::team_queue::TeamQueue;

/// Deficit round robin over the teams that wait.
///
/// Each round a team may send requests worth one quantum. The quantum is the largest cost seen, so
/// each visit sends at least one request, and taking the next one costs the same for 8 teams
/// and for 11,000.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    teams: IndexMap<TeamName, TeamQueue>,
    /// The same teams in turn. A team that has become empty stays until its turn comes to an end,
    /// so that leaving and entering again gains it no second turn, and loses what it had saved.
    ring: VecDeque<TeamName>,
    /// Whether the team whose turn it is has had its quantum.
    turn: Turn,
    quantum: u64,
    len: usize,
    cost: u64,
    /// How fast this priority's requests leave; more urgent ones that overtake make it slower.
    pace: DrainRate,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Turn {
    #[default]
    New,
    Credited,
}

/// What comes next.
#[derive(Debug)]
pub(crate) enum QueueStep {
    /// Nobody waits.
    Empty,
    /// Someone waits, and there is no room.
    Blocked(GateRoom),
    /// This one waited in vain.
    Expired(QueueEntry),
    /// This one is next, and there is room.
    Next(QueueEntry),
}

impl ClassQueue {
    /// How many wait.
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// How many of this team wait.
    pub(crate) fn team_len(&self, team: &TeamName) -> usize {
        self.teams.get(team).map_or(0, TeamQueue::len)
    }

    /// How long a new request of this team will probably wait; `None` while nothing is known.
    ///
    /// By the team's own pace, for others keep coming and take their turns; for a team of which
    /// little has left yet, by what waits before it.
    pub(crate) fn wait_for(&self, team: &TeamName, cost: u64, now: Instant) -> Option<Duration> {
        let own = self.teams.get(team).and_then(|queue| queue.wait_for(cost, now));
        own.or_else(|| self.pace.time_for(self.cost_before(team, cost) + cost, now))
    }

    /// What was learnt of the pace holds no more.
    pub(crate) fn forget_pace(&mut self) {
        self.pace = DrainRate::default();
        self.teams.values_mut().for_each(TeamQueue::forget_pace);
    }

    /// Adds a request at the end of its team's queue.
    pub(crate) fn push(&mut self, entry: QueueEntry, now: Instant) {
        if self.len == 0 {
            self.quantum = 0;
        }
        self.pace.begin(now);
        self.quantum = self.quantum.max(entry.cost);
        self.len += 1;
        self.cost += entry.cost;
        if !self.teams.contains_key(&entry.team) {
            self.ring.push_back(entry.team.clone());
        }
        self.teams.entry(entry.team.clone()).or_default().push(entry, now);
    }

    /// Takes the next request if it fits.
    pub(crate) fn next(
        &mut self,
        now: Instant,
        room: impl Fn(&TeamName, u32) -> GateRoom,
    ) -> QueueStep {
        let mut skipped = 0;
        while let Some(name) = self.ring.front() {
            let Some(queue) = self.teams.get_mut(name) else {
                self.ring.pop_front();
                continue;
            };
            let Some(head) = queue.head() else {
                self.drop_turn();
                continue;
            };
            let cost = head.cost;
            if head.give_up <= now {
                return self.pop_head(QueueStep::Expired);
            }
            match room(name, head.prefill_tokens) {
                GateRoom::Free => {}
                GateRoom::TeamFull if skipped < self.ring.len() => {
                    skipped += 1;
                    self.pass_turn();
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
                queue.granted(cost, now);
                self.pace.granted(cost, now);
                return self.pop_head(QueueStep::Next);
            }
            self.pass_turn();
        }
        QueueStep::Empty
    }

    /// Takes a request out of the middle.
    pub(crate) fn remove(&mut self, team: &TeamName, id: u64) -> Option<QueueEntry> {
        let entry = self.teams.get_mut(team)?.remove(id)?;
        self.forget(&entry);
        Some(entry)
    }

    /// Makes place for a request of `team` at the cost of the team that has most waiting; `None`
    /// when that is `team` itself.
    pub(crate) fn displace_for(&mut self, team: &TeamName) -> Option<QueueEntry> {
        let own = self.team_len(team) + 1;
        let longest = self.teams.values_mut().max_by_key(|queue| queue.len())?;
        if longest.len() <= own {
            return None;
        }
        let entry = longest.pop_newest()?;
        self.forget(&entry);
        Some(entry)
    }

    /// Takes all.
    pub(crate) fn drain(&mut self) -> Vec<QueueEntry> {
        let mut entries = Vec::with_capacity(self.len);
        for (_, mut queue) in std::mem::take(self).teams {
            while let Some(entry) = queue.pop_head() {
                entries.push(entry);
            }
        }
        entries
    }

    fn pop_head(&mut self, step: fn(QueueEntry) -> QueueStep) -> QueueStep {
        let queue = self.ring.front().and_then(|name| self.teams.get_mut(name));
        let Some(entry) = queue.and_then(TeamQueue::pop_head) else {
            return QueueStep::Empty;
        };
        self.forget(&entry);
        step(entry)
    }

    fn pass_turn(&mut self) {
        self.ring.rotate_left(1);
        self.turn = Turn::New;
    }

    fn drop_turn(&mut self) {
        if let Some(name) = self.ring.pop_front() {
            self.teams.swap_remove(&name);
        }
        self.turn = Turn::New;
    }

    fn forget(&mut self, entry: &QueueEntry) {
        self.len -= 1;
        self.cost -= entry.cost;
        if self.len == 0 {
            self.pace.end();
        }
    }

    /// The cost that probably goes before a new request of this team: each other team sends about
    /// as much as this one before it is its turn.
    fn cost_before(&self, team: &TeamName, cost: u64) -> u64 {
        let own = self.teams.get(team).map_or(0, TeamQueue::cost);
        let others = (self.cost - own).min((own + cost) * self.teams.len() as u64);
        own + others
    }
}
