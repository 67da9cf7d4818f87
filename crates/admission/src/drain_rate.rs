//! Throughput estimate of a queue.

use std::time::Duration;

use tokio::time::Instant;

/// Decay of earlier samples with each new one.
const SAMPLE_DECAY: f64 = 0.95;
/// Samples required before an estimate is given.
const MIN_SAMPLES: u32 = 4;
/// An estimate older than this is discarded.
const SAMPLE_TTL: Duration = Duration::from_secs(30);

/// Exponentially weighted estimate of the cost that leaves a queue per second while it is not
/// empty.
#[derive(Debug, Default)]
pub(crate) struct DrainRate {
    cost: f64,
    seconds: f64,
    samples: u32,
    /// When the queue became non-empty or last dequeued, whichever is later.
    busy_since: Option<Instant>,
    last_sample: Option<Instant>,
}

impl DrainRate {
    /// Called when a request is queued.
    pub(crate) fn record_start(&mut self, now: Instant) {
        if self.busy_since.is_some() {
            return;
        }
        let is_stale =
            self.last_sample.is_some_and(|last| now.saturating_duration_since(last) > SAMPLE_TTL);
        if is_stale {
            *self = DrainRate::default();
        }
        self.busy_since = Some(now);
    }

    /// Called when a queued request of this cost is sent.
    pub(crate) fn record_sent(&mut self, cost: u64, now: Instant) {
        self.cost = self.cost * SAMPLE_DECAY + cost as f64;
        self.seconds = self.seconds * SAMPLE_DECAY + self.since_last_sample(now);
        self.samples = self.samples.saturating_add(1);
        self.busy_since = Some(now);
        self.last_sample = Some(now);
    }

    /// Called when the queue becomes empty.
    pub(crate) fn record_end(&mut self) {
        self.busy_since = None;
    }

    /// Estimated time until `cost` has left the queue; `None` while there are too few samples. The
    /// time since the last sample counts, so that the estimate grows while the server is stalled.
    pub(crate) fn estimated_time(&self, cost: u64, now: Instant) -> Option<Duration> {
        let seconds = self.seconds + self.since_last_sample(now);
        if self.samples < MIN_SAMPLES || seconds <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(cost as f64 * seconds / self.cost).ok()
    }

    fn since_last_sample(&self, now: Instant) -> f64 {
        self.busy_since.map_or(0.0, |since| now.saturating_duration_since(since).as_secs_f64())
    }
}
