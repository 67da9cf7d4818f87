//! Request rates of prompt parts.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

/// Time constant of the exponential decay. It is close to the time that engines cache an unused
/// part, and short enough to follow a burst.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// Parts counted; beyond, those with low counts are dropped.
const MAX_PARTS: usize = 8_192;
/// Counts below this are dropped.
const MIN_COUNT: f64 = 0.2;

/// Exponentially decaying counts of the requests of all routers for each shared part.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    parts: IndexMap<u64, DecayingCount>,
}

#[derive(Clone, Copy, Debug)]
struct DecayingCount {
    count: f64,
    updated_at: Instant,
}

impl DemandMeter {
    /// Records a request with this part.
    pub fn record(&mut self, part: u64, now: Instant) {
        let count = self.parts.entry(part).or_insert(DecayingCount { count: 0.0, updated_at: now });
        *count = DecayingCount { count: count.get(now) + 1.0, updated_at: now };
        if MAX_PARTS < self.parts.len() {
            self.parts.retain(|_, count| MIN_COUNT < count.get(now));
        }
    }

    /// Decayed number of requests with this part.
    pub fn count(&self, part: u64, now: Instant) -> f64 {
        self.parts.get(&part).map_or(0.0, |count| count.get(now))
    }

    /// Recent requests per second with this part.
    pub fn rate(&self, part: u64, now: Instant) -> f64 {
        self.count(part, now) / DECAY_TIME.as_secs_f64()
    }
}

impl DecayingCount {
    fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.count * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
