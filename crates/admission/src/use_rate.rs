//! Tokens a second, averaged over some time.

use std::time::Duration;

use tokio::time::Instant;

/// An average that fades with time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UseRate {
    span_s: f64,
    per_s: f64,
    updated: Instant,
}

impl UseRate {
    /// Nothing was used yet.
    pub(crate) fn new(span: Duration, now: Instant) -> UseRate {
        UseRate { span_s: span.as_secs_f64(), per_s: 0.0, updated: now }
    }

    /// Adds what was used just now.
    pub(crate) fn add(&mut self, tokens: f64, now: Instant) {
        self.per_s = self.at(now) + tokens / self.span_s;
        self.updated = self.updated.max(now);
    }

    /// The average at this moment.
    pub(crate) fn at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.per_s * (-passed / self.span_s).exp()
    }
}
