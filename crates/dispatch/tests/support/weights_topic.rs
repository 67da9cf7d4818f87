//! The operators' records of one model's weights versions, on virtual time in milliseconds.

use std::ops::Range;
use std::time::Duration;

use fulmargate_names::WeightsVersion;
use rand::Rng;
use rand::rngs::StdRng;

/// When the first version of a drawn series is named.
pub(crate) const FIRST_NAMED_MS: u64 = 3_000;
/// Time from a record's write to its acknowledgement.
const ACK_MS: Range<u64> = 2..30;
/// Share of the records that name the previous version again, and of those that skip numbers.
const REPEATED_SHARE: f64 = 0.15;
const SKIPPING_SHARE: f64 = 0.2;

#[derive(Clone, Copy, Debug)]
pub(crate) struct TopicRecord {
    pub(crate) version: WeightsVersion,
    written: u64,
    acked: u64,
}

/// All records of a run, in the order of their positions.
#[derive(Clone, Debug)]
pub(crate) struct WeightsTopic {
    records: Vec<TopicRecord>,
    /// Times at which all records but the newest are dropped.
    drops: Vec<u64>,
}

impl WeightsTopic {
    /// A topic with version 1, named before the run.
    pub(crate) fn new() -> WeightsTopic {
        let first = TopicRecord { version: WeightsVersion(1), written: 0, acked: 0 };
        WeightsTopic { records: vec![first], drops: Vec::new() }
    }

    pub(crate) fn name(&mut self, version: u64, written: u64, rng: &mut StdRng) {
        let acked = written + rng.random_range(ACK_MS);
        self.records.push(TopicRecord { version: WeightsVersion(version), written, acked });
    }

    /// Names versions one after the other until the end of the run. Numbers are skipped, and named again.
    pub(crate) fn draw(spacing_ms: Range<u64>, run_ms: u64, rng: &mut StdRng) -> WeightsTopic {
        let mut topic = WeightsTopic::new();
        let (mut version, mut written) = (1, FIRST_NAMED_MS);
        while written < run_ms {
            if !rng.random_bool(REPEATED_SHARE) {
                version += if rng.random_bool(SKIPPING_SHARE) { rng.random_range(2..5) } else { 1 };
            }
            topic.name(version, written, rng);
            written += rng.random_range(spacing_ms.clone());
        }
        topic
    }

    /// Drops the history at this time.
    pub(crate) fn drop_history(&mut self, at: u64) {
        self.drops.push(at);
    }

    /// Number of records that a read at this time finds.
    pub(crate) fn end(&self, at: u64) -> usize {
        self.records.partition_point(|record| record.written <= at)
    }

    /// Records from a position on; `None` if some of them have been dropped.
    pub(crate) fn read(&self, from: usize, at: u64) -> Option<&[TopicRecord]> {
        let last_drop = self.drops.iter().filter(|drop| **drop <= at).max();
        let first_kept = last_drop.map_or(0, |drop| self.end(*drop) - 1);
        (first_kept <= from).then(|| &self.records[from..self.end(at)])
    }

    /// The newest record, as a listing has it.
    pub(crate) fn newest(&self, at: u64) -> TopicRecord {
        self.records[self.end(at) - 1]
    }

    /// When the store answers a long poll that arrived at this time.
    pub(crate) fn answers_at(&self, from: usize, arrived: u64, wait: Duration) -> u64 {
        let latest = arrived + wait.as_millis() as u64;
        let next = self.records.get(from).map_or(latest, |record| record.written);
        next.clamp(arrived, latest)
    }

    /// Versions of records written up to this time, the newest last, at most so many.
    pub(crate) fn recent_versions(&self, at: u64, limit: usize) -> Vec<WeightsVersion> {
        let mut versions: Vec<WeightsVersion> =
            self.records[..self.end(at)].iter().map(|record| record.version).collect();
        versions.dedup();
        versions.split_off(versions.len().saturating_sub(limit))
    }

    /// Time since the first version newer than this one was acknowledged; `None` if there is none.
    pub(crate) fn outdated_for(&self, version: WeightsVersion, now: u64) -> Option<Duration> {
        let acked = self.records.iter().filter(|record| version < record.version);
        let first = acked.map(|record| record.acked).min()?;
        now.checked_sub(first).map(Duration::from_millis)
    }
}
