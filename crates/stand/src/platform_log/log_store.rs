//! Streams of records with offsets and retention, without I/O.

use std::collections::VecDeque;

use indexmap::IndexMap;
use serde::Serialize;

/// A record on the wire.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct LogRecord {
    pub(crate) offset: u64,
    time_ms: u64,
    id: String,
    data: String,
}

/// A page of records on the wire.
#[derive(Debug, Serialize)]
pub(crate) struct RecordPage {
    pub(crate) first: u64,
    pub(crate) next: u64,
    pub(crate) records: Vec<LogRecord>,
}

#[derive(Default)]
struct LogStream {
    next: u64,
    records: VecDeque<LogRecord>,
}

/// Why an append was refused.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct OverRate;

/// All streams, with the rate that appends share.
pub(crate) struct LogStore {
    retention_ms: u64,
    appends_per_s: f64,
    tokens: f64,
    filled_ms: u64,
    streams: IndexMap<String, LogStream>,
}

impl LogStore {
    pub(crate) fn new(retention_ms: u64, appends_per_s: f64) -> LogStore {
        LogStore {
            retention_ms,
            appends_per_s,
            tokens: appends_per_s,
            filled_ms: 0,
            streams: IndexMap::new(),
        }
    }

    /// Appends a record. Nothing looks at `id`: a record that is sent twice stands twice.
    pub(crate) fn append(
        &mut self,
        now_ms: u64,
        stream: &str,
        id: String,
        data: String,
    ) -> Result<u64, OverRate> {
        let passed_s = now_ms.saturating_sub(self.filled_ms) as f64 / 1_000.0;
        self.tokens = (self.tokens + passed_s * self.appends_per_s).min(self.appends_per_s);
        self.filled_ms = now_ms.max(self.filled_ms);
        if self.tokens < 1.0 {
            return Err(OverRate);
        }
        self.tokens -= 1.0;
        let log = self.streams.entry(stream.to_owned()).or_default();
        let offset = log.next;
        log.next += 1;
        log.records.push_back(LogRecord { offset, time_ms: now_ms, id, data });
        Ok(offset)
    }

    /// Records from `from` on, or from the oldest one kept if that is later.
    pub(crate) fn read(&mut self, now_ms: u64, stream: &str, from: u64, max: usize) -> RecordPage {
        let retention_ms = self.retention_ms;
        let Some(log) = self.streams.get_mut(stream) else {
            return RecordPage { first: 0, next: 0, records: Vec::new() };
        };
        let is_old = |record: &LogRecord| record.time_ms + retention_ms < now_ms;
        while log.records.front().is_some_and(is_old) {
            log.records.pop_front();
        }
        let first = log.records.front().map_or(log.next, |record| record.offset);
        let start = (from.max(first) - first) as usize;
        let records: Vec<LogRecord> = log.records.iter().skip(start).take(max).cloned().collect();
        let next = records.last().map_or(from.clamp(first, log.next), |last| last.offset + 1);
        RecordPage { first, next, records }
    }
}
