//! Averages of what was seen lately.

use std::time::Duration;

use tokio::time::Instant;

/// Weight of a new observation in the averages.
const NEWEST_WEIGHT: f64 = 0.2;
/// An average loses half of its distance to the common value in this time without observations, so
/// that a server that was slow is tried again.
const FORGET_HALF: Duration = Duration::from_secs(4);
/// An average that fades towards a common value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FadingMean {
    value: f64,
    common: f64,
    at: Instant,
}

impl FadingMean {
    pub(crate) fn new(common: f64, now: Instant) -> FadingMean {
        FadingMean { value: common, common, at: now }
    }

    pub(crate) fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = 0.5_f64.powf(age / FORGET_HALF.as_secs_f64());
        self.common + (self.value - self.common) * kept
    }

    pub(crate) fn add(&mut self, observed: f64, now: Instant) {
        let value = self.get(now);
        self.value = value + (observed - value) * NEWEST_WEIGHT;
        self.at = now;
    }
}
