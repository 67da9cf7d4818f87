//! Exponentially decaying average of a token rate.

use std::time::Duration;

use tokio::time::Instant;

/// Exponentially decaying average of tokens per second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingRate {
    period_s: f64,
    tokens_per_s: f64,
    updated: Instant,
}

impl DecayingRate {
    pub(crate) fn new(period: Duration, now: Instant) -> DecayingRate {
        DecayingRate { period_s: period.as_secs_f64(), tokens_per_s: 0.0, updated: now }
    }

    /// Adds tokens used at `now`.
    pub(crate) fn add(&mut self, tokens: f64, now: Instant) {
        self.tokens_per_s = self.at(now) + tokens / self.period_s;
        self.updated = self.updated.max(now);
    }

    /// Average at `now`, in tokens per second.
    pub(crate) fn at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.tokens_per_s * (-elapsed / self.period_s).exp()
    }
}
