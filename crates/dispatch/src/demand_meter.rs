//! How often parts of prompts are asked for.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

/// Requests count less with time; after so long, by a factor of e. Long enough to see a part that a
/// router meets once in two seconds, short enough to follow a burst.
const MEMORY: Duration = Duration::from_secs(4);
/// Parts counted; the least recently asked for go first.
const MOST_PARTS: usize = 1_024;

/// This router's own requests by shared part, as a fading count.
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
    /// A request with this part goes out.
    pub fn note(&mut self, part: u64, now: Instant) {
        let count = self.parts.shift_remove(&part).map_or(0.0, |known| known.get(now));
        self.parts.insert(part, FadingCount { count: count + 1.0, at: now });
        if MOST_PARTS < self.parts.len() {
            self.parts.shift_remove_index(0);
        }
    }

    /// Requests a second lately. A single one tells nothing of a rate.
    pub fn rate(&self, part: u64, now: Instant) -> f64 {
        let count = self.parts.get(&part).map_or(0.0, |known| known.get(now));
        (count - 1.0).max(0.0) / MEMORY.as_secs_f64()
    }
}

impl FadingCount {
    fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.count * (-age / MEMORY.as_secs_f64()).exp()
    }
}
