//! Time between records of the server list, estimated from the servers' heartbeats.

#[cfg(test)]
mod tests;

use fulmargate_names::ServerName;
use indexmap::IndexMap;

/// Counts rounds of heartbeats in the order in which the store accepted them.
///
/// A round ends when at least half of the servers have written in it. Of any two points that are
/// `n` rounds apart, some server has written `n` times between them, so that the store accepted
/// writes for at least `n - 1` heartbeat intervals. That holds whenever the records are read, and
/// the clock stands still while the store is unavailable to the servers.
#[derive(Debug)]
pub(crate) struct HeartbeatClock {
    /// Starts at one, so that a writer can be one behind.
    rounds: u64,
    writers: IndexMap<ServerName, HeartbeatWriter>,
    /// Number of writers whose count exceeds the number of rounds.
    ahead: usize,
    /// Number of heartbeats.
    heartbeats: u64,
}

#[derive(Clone, Copy, Debug)]
struct HeartbeatWriter {
    count: u64,
    /// The number of rounds at its last write.
    last_write: u64,
    /// The number of its last heartbeat.
    last_heartbeat: u64,
}

impl Default for HeartbeatClock {
    fn default() -> HeartbeatClock {
        HeartbeatClock { rounds: 1, writers: IndexMap::new(), ahead: 0, heartbeats: 0 }
    }
}

impl HeartbeatClock {
    /// Records a heartbeat: a write that leaves the entry unchanged. Writes that change an entry may
    /// follow each other faster.
    pub(crate) fn record_heartbeat(&mut self, server: &ServerName) {
        self.heartbeats += 1;
        let (rounds, heartbeats) = (self.rounds, self.heartbeats);
        let writer = self.writer(server);
        writer.count += 1;
        writer.last_heartbeat = heartbeats;
        self.ahead += usize::from(writer.count == rounds + 1);
        self.end_rounds();
        self.record_change(server);
    }

    /// Records any other write of a server.
    pub(crate) fn record_change(&mut self, server: &ServerName) {
        let rounds = self.rounds;
        self.writer(server).last_write = rounds;
    }

    /// Forgets a server and begins the current round anew: with fewer servers, writes from before the latest mark
    /// could complete the next round.
    pub(crate) fn remove(&mut self, server: &ServerName) {
        self.writers.swap_remove(server);
        let restarted = self.rounds - 1;
        self.writers.values_mut().for_each(|writer| writer.count = restarted);
        self.ahead = 0;
    }

    /// The number of completed rounds.
    pub(crate) fn rounds(&self) -> u64 {
        self.rounds
    }

    /// Rounds since the last write of a server; zero for an unknown one.
    pub(crate) fn rounds_since_write(&self, server: &ServerName) -> u64 {
        self.writers.get(server).map_or(0, |writer| self.rounds - writer.last_write)
    }

    /// The number of heartbeats of all servers.
    pub(crate) fn heartbeats(&self) -> u64 {
        self.heartbeats
    }

    /// The number of heartbeats of all servers up to the last one of this server.
    pub(crate) fn last_heartbeat(&self, server: &ServerName) -> u64 {
        self.writers.get(server).map_or(0, |writer| writer.last_heartbeat)
    }

    fn writer(&mut self, server: &ServerName) -> &mut HeartbeatWriter {
        let rounds = self.rounds;
        let new = HeartbeatWriter { count: rounds, last_write: rounds, last_heartbeat: 0 };
        self.writers.entry(server.clone()).or_insert(new)
    }

    fn end_rounds(&mut self) {
        while 0 < self.ahead && self.writers.len() <= self.ahead * 2 {
            self.rounds += 1;
            let rounds = self.rounds;
            self.ahead = self.writers.values().filter(|writer| rounds < writer.count).count();
        }
    }
}
