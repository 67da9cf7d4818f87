//! Records of a topic of the store that a router keeps for others.

use std::collections::VecDeque;
use std::time::Duration;

use fulmargate_names::LogOffset;
use fulmargate_names::StoreEpoch;
use serde::Deserialize;
use serde::Serialize;

use crate::BootTime;
use crate::LogPosition;

/// Topics of the store that routers follow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LogTopic {
    /// What operators write: the configuration and the weights wanted.
    Operator,
    /// The list of backend servers.
    Servers,
    /// What routers tell each other.
    Fleet,
}

/// A router asks another for records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogQuestion {
    /// The topic.
    pub topic: LogTopic,
    /// The first record wanted.
    pub from: LogOffset,
    /// How long to wait for a record, in milliseconds.
    pub wait_ms: u64,
    /// The store's epoch in which the asker has read so far. It comes last, where routers of an earlier
    /// version leave it.
    pub epoch: StoreEpoch,
}

impl LogQuestion {
    /// Where the asker reads on.
    pub fn position(&self) -> LogPosition {
        LogPosition { epoch: self.epoch, offset: self.from }
    }
}

/// The records, and how old they are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogAnswer {
    /// The records from the one asked for on.
    pub records: Vec<Vec<u8>>,
    /// Milliseconds since the read was sent that proved that there were no more, at the answer.
    pub age_ms: u64,
    /// Milliseconds that the question waited for the answer.
    pub held_ms: u64,
}

impl LogAnswer {
    /// Bytes of the records.
    pub fn bytes(&self) -> usize {
        self.records.iter().map(Vec::len).sum()
    }

    /// Since when the asker may take the records for all that there were. The way of question and
    /// answer counts as age, since it is not known; the wait in between does not: counted as age too,
    /// it made sound proofs too old, and hosts refused keys that held.
    pub fn proven(&self, asked: BootTime) -> BootTime {
        BootTime((asked.0 + self.held_ms).saturating_sub(self.age_ms))
    }
}

/// Bytes of records kept of one topic: 20 s of heartbeats of 1,000 servers at 300 bytes.
const MOST_BYTES: usize = 6 << 20;

/// The newest records of a topic, as read from the store.
#[derive(Debug, Default)]
pub struct LogCache {
    /// Where the first record here lies.
    start: LogPosition,
    records: VecDeque<Vec<u8>>,
    bytes: usize,
    /// When the read was sent that proved that there are no more.
    proven: Option<BootTime>,
}

impl LogCache {
    /// Records that the store has given from a position on. A gap drops what was kept before, and so does
    /// another epoch: to askers of the earlier one its records would look like those that follow.
    pub fn add(&mut self, from: LogPosition, records: &[Vec<u8>]) {
        if from != self.end() {
            *self = LogCache { start: from, ..LogCache::default() };
        }
        for record in records {
            self.bytes += record.len();
            self.records.push_back(record.clone());
        }
        while MOST_BYTES < self.bytes {
            let Some(oldest) = self.records.pop_front() else { break };
            self.bytes -= oldest.len();
            self.start = self.start.after(1);
        }
    }

    /// A read sent at this moment has shown that there are no more.
    pub fn prove(&mut self, sent: BootTime) {
        self.proven = self.proven.max(Some(sent));
    }

    /// When the read was sent that proved that there are no more.
    pub fn proven(&self) -> Option<BootTime> {
        self.proven
    }

    /// Where the next record will be.
    pub fn end(&self) -> LogPosition {
        self.start.after(self.records.len())
    }

    /// The records from a position on; none if they are not here or of another epoch, or if how old they are
    /// is not known or over `longest`: whoever asks then reads for himself.
    /// The question came at `arrived`.
    pub fn answer(
        &self,
        from: LogPosition,
        longest: Duration,
        arrived: BootTime,
        now: BootTime,
    ) -> Option<LogAnswer> {
        let age = now.since(self.proven?);
        if from.epoch != self.start.epoch || longest < age {
            return None;
        }
        if from < self.start || self.end() < from {
            return None;
        }
        let skipped = (from.offset.0 - self.start.offset.0) as usize;
        let records = self.records.iter().skip(skipped).cloned().collect();
        let held_ms = now.since(arrived).as_millis() as u64;
        Some(LogAnswer { records, age_ms: age.as_millis() as u64, held_ms })
    }
}
