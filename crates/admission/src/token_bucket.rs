//! A rate limit with a burst.

use std::time::Duration;

use tokio::time::Instant;

/// The longest wait that a bucket names; an empty bucket without refill has no end.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// A token bucket whose rate may change while it runs.
///
/// A single cost above the capacity is let through when the bucket is full and leaves it in debt:
/// otherwise a prompt longer than the burst could never run. The mean rate still holds.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    level: f64,
    capacity: f64,
    per_second: f64,
    filled: Instant,
}

impl TokenBucket {
    /// A full bucket.
    pub(crate) fn full(per_second: f64, capacity: f64, now: Instant) -> TokenBucket {
        TokenBucket { level: capacity, capacity, per_second, filled: now }
    }

    /// Changes the rate from now on: the past is credited at the old one.
    pub(crate) fn set_rate(&mut self, per_second: f64, capacity: f64, now: Instant) {
        self.refill(now);
        self.per_second = per_second;
        self.capacity = capacity;
    }

    /// Whether `cost` may be taken now; nothing is taken yet.
    pub(crate) fn has(&mut self, cost: f64, now: Instant) -> bool {
        self.refill(now);
        self.level >= cost.min(self.capacity)
    }

    /// Takes `cost`, into debt if need be.
    pub(crate) fn take(&mut self, cost: f64) {
        self.level -= cost;
    }

    /// Gives back or adds `amount`.
    pub(crate) fn put(&mut self, amount: f64) {
        self.level = (self.level + amount).min(self.capacity);
    }

    /// Time until `cost` may be taken, if nobody else takes anything.
    pub(crate) fn wait_for(&self, cost: f64) -> Duration {
        let missing = cost.min(self.capacity) - self.level;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let seconds = missing / self.per_second;
        Duration::try_from_secs_f64(seconds).unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.filled);
        self.level = (self.level + self.per_second * elapsed.as_secs_f64()).min(self.capacity);
        self.filled = self.filled.max(now);
    }
}
