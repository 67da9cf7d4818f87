//! Token bucket rate limiter.

use std::time::Duration;

use tokio::time::Instant;

/// Upper bound of the returned wait, which would be infinite at a rate of zero.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A token bucket whose rate may change at runtime.
///
/// A request that costs more than the capacity is admitted when the bucket is full and leaves it in
/// debt. Otherwise a prompt larger than the burst could never run. The mean rate still holds.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    level: f64,
    capacity: f64,
    rate_per_s: f64,
    refilled: Instant,
}

impl TokenBucket {
    pub(crate) fn full(rate_per_s: f64, capacity: f64, now: Instant) -> TokenBucket {
        TokenBucket { level: capacity, capacity, rate_per_s, refilled: now }
    }

    /// Changes rate and capacity. The bucket is first refilled up to `now` at the old rate.
    pub(crate) fn set_rate(&mut self, rate_per_s: f64, capacity: f64, now: Instant) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.capacity = capacity;
    }

    /// Whether `cost` may be taken. Does not take it.
    pub(crate) fn can_take(&mut self, cost: f64, now: Instant) -> bool {
        self.refill(now);
        self.level >= cost.min(self.capacity)
    }

    /// Takes `cost`; the level may become negative.
    pub(crate) fn take(&mut self, cost: f64) {
        self.level -= cost;
    }

    pub(crate) fn add(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.capacity);
    }

    /// Time until `cost` may be taken if nothing else is taken.
    pub(crate) fn wait_for(&self, cost: f64) -> Duration {
        let missing = cost.min(self.capacity) - self.level;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = missing / self.rate_per_s;
        Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled);
        self.level = (self.level + self.rate_per_s * elapsed.as_secs_f64()).min(self.capacity);
        self.refilled = self.refilled.max(now);
    }
}
