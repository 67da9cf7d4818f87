//! How often parts of prompts are asked for.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

/// Requests count less with time; after so long, by a factor of e. About as long as an engine keeps a
/// part that nobody asks for, and short enough to follow a burst.
const MEMORY: Duration = Duration::from_secs(4);
/// Parts counted; beyond, those hardly asked for any more go. Enough for 2,000 records and as many
/// sessions; an entry takes some 40 bytes.
const MOST_PARTS: usize = 8_192;
/// What remains of a count is forgotten below this.
const LEAST_COUNT: f64 = 0.2;

/// Requests of all routers by shared part, as far as they have told of them, as fading counts.
#[derive(Clone, Debug, Default)]
pub struct DemandMeter {
    parts: IndexMap<u64, FadingCount>,
}

#[derive(Clone, Copy, Debug)]
struct FadingCount {
    count: f64,
    at: Instant,
}

impl DemandMeter {
    /// A request with this part was sent.
    pub fn note(&mut self, part: u64, now: Instant) {
        let count = self.parts.entry(part).or_insert(FadingCount { count: 0.0, at: now });
        *count = FadingCount { count: count.get(now) + 1.0, at: now };
        if MOST_PARTS < self.parts.len() {
            self.parts.retain(|_, count| LEAST_COUNT < count.get(now));
        }
    }

    /// Requests lately, later ones for more.
    pub fn count(&self, part: u64, now: Instant) -> f64 {
        self.parts.get(&part).map_or(0.0, |known| known.get(now))
    }

    /// Requests a second lately.
    pub fn rate(&self, part: u64, now: Instant) -> f64 {
        self.count(part, now) / MEMORY.as_secs_f64()
    }
}

impl FadingCount {
    fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.count * (-age / MEMORY.as_secs_f64()).exp()
    }
}
