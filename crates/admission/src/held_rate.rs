//! Rate that is remembered for a while after it falls.

use std::time::Duration;

use tokio::time::Instant;

/// Time in which a peak falls to half.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(10);
/// Minimum time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// The highest of some samples of a rate, which falls slowly.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldRate {
    peak_per_s: f64,
    peak_at: Instant,
    sampled: Option<Instant>,
}

impl HeldRate {
    /// A rate of zero.
    pub(crate) fn new(now: Instant) -> HeldRate {
        HeldRate { peak_per_s: 0.0, peak_at: now, sampled: None }
    }

    /// Whether the next sample is due.
    pub(crate) fn is_due(&self, now: Instant) -> bool {
        self.sampled.is_none_or(|at| SAMPLE_INTERVAL <= now.saturating_duration_since(at))
    }

    /// Adds a sample.
    pub(crate) fn record(&mut self, per_s: f64, now: Instant) {
        self.sampled = Some(now);
        if self.at(now) <= per_s {
            self.peak_per_s = per_s;
            self.peak_at = now;
        }
    }

    /// What is left of the highest sample.
    pub(crate) fn at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.peak_at).as_secs_f64();
        self.peak_per_s * (-elapsed / PEAK_HALF_LIFE.as_secs_f64()).exp2()
    }
}
