//! Cache of the store's newest records, from which a router serves other routers.

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
    /// Written by operators: the configuration and the target weights versions.
    Operator,
    /// The list of backend servers.
    Servers,
    /// Records that routers share with each other.
    Fleet,
    /// Where streams began.
    Streams,
}

/// A request to another router for records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRequest {
    /// The topic to read.
    pub topic: LogTopic,
    /// Offset of the first record requested.
    pub from: LogOffset,
    /// How long to wait for a new record, in milliseconds.
    pub wait_ms: u64,
    /// The store epoch in which the requester has read so far. It is the last field, since routers
    /// of earlier versions ignore trailing bytes.
    pub epoch: StoreEpoch,
}

impl LogRequest {
    /// Position from which the requester reads on.
    pub fn position(&self) -> LogPosition {
        LogPosition { epoch: self.epoch, offset: self.from }
    }
}

/// The records, with their age.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogResponse {
    /// The records from the requested offset on.
    pub records: Vec<Vec<u8>>,
    /// Age of the records when the answer was sent: milliseconds since the newest read that reached
    /// the end of the topic was sent to the store.
    pub age_ms: u64,
    /// Milliseconds for which the request was held before it was answered.
    pub held_ms: u64,
}

impl LogResponse {
    /// Total size of the records.
    pub fn bytes(&self) -> usize {
        self.records.iter().map(Vec::len).sum()
    }

    /// The time at which the records were known to be complete, on the requester's clock. The
    /// unknown network delay counts as age, the time for which the request was held does not.
    pub fn complete_as_of(&self, asked: BootTime) -> BootTime {
        BootTime((asked.0 + self.held_ms).saturating_sub(self.age_ms))
    }
}

/// Maximum size of the cached records of one topic: 20 s of heartbeats of 1,000 servers.
const MAX_CACHED_BYTES: usize = 6 << 20;

/// The newest records of a topic.
#[derive(Debug, Default)]
pub struct LogCache {
    /// Position of the first cached record.
    start: LogPosition,
    records: VecDeque<Vec<u8>>,
    bytes: usize,
    /// Send time of the newest read that reached the end of the topic.
    complete_as_of: Option<BootTime>,
}

impl LogCache {
    /// Adds records that were read from a position. After a gap, or in another epoch, the earlier
    /// records are dropped, since offsets are reused in a new epoch.
    pub fn add(&mut self, from: LogPosition, records: &[Vec<u8>]) {
        if from != self.end() {
            *self = LogCache { start: from, ..LogCache::default() };
        }
        for record in records {
            self.bytes += record.len();
            self.records.push_back(record.clone());
        }
        while MAX_CACHED_BYTES < self.bytes {
            let Some(oldest) = self.records.pop_front() else { break };
            self.bytes -= oldest.len();
            self.start = self.start.after(1);
        }
    }

    /// Records that a read sent at this time reached the end of the topic.
    pub fn mark_complete(&mut self, sent: BootTime) {
        self.complete_as_of = self.complete_as_of.max(Some(sent));
    }

    /// Send time of the newest read that reached the end of the topic.
    pub fn complete_as_of(&self) -> Option<BootTime> {
        self.complete_as_of
    }

    /// Position of the next record.
    pub fn end(&self) -> LogPosition {
        self.start.after(self.records.len())
    }

    /// The records from a position on. `None` if the cache does not hold them, or if their age is
    /// unknown or exceeds `max_age`; the requester then reads from the store. The request was
    /// received at `received`.
    pub fn answer(
        &self,
        from: LogPosition,
        max_age: Duration,
        received: BootTime,
        now: BootTime,
    ) -> Option<LogResponse> {
        let age = now.since(self.complete_as_of?);
        if from.epoch != self.start.epoch || max_age < age {
            return None;
        }
        if from < self.start || self.end() < from {
            return None;
        }
        let skipped = (from.offset.0 - self.start.offset.0) as usize;
        let records = self.records.iter().skip(skipped).cloned().collect();
        let held_ms = now.since(received).as_millis() as u64;
        Some(LogResponse { records, age_ms: age.as_millis() as u64, held_ms })
    }
}
