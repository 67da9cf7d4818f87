//! Exponentially weighted moving average.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Without samples, half of the distance to the baseline is lost in this time, so that a server
/// that was slow is used again.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Moving average that decays towards a baseline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingMean {
    value: f64,
    baseline: f64,
    updated_at: Instant,
}

impl DecayingMean {
    /// Whether there were samples.
    pub(crate) fn is_sampled(&self) -> bool {
        self.value.to_bits() != self.baseline.to_bits()
    }

    pub(crate) fn new(baseline: f64, now: Instant) -> DecayingMean {
        DecayingMean { value: baseline, baseline, updated_at: now }
    }

    /// A value below the baseline does not decay: a fast server that was idle is as good as before.
    pub(crate) fn get(&self, now: Instant) -> f64 {
        if self.value <= self.baseline {
            return self.value;
        }
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let decay = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        self.baseline + (self.value - self.baseline) * decay
    }

    pub(crate) fn add(&mut self, sample: f64, now: Instant) {
        let value = self.get(now);
        self.value = value + (sample - value) * SAMPLE_WEIGHT;
        self.updated_at = now;
    }
}
