//! How long requests of each route take, by which a host that stops tells which ones it can still complete.

#[cfg(test)]
mod tests;

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

/// The longest duration of this window and the one before counts.
const WINDOW: Duration = Duration::from_secs(10);
/// Routes beyond this number make room for new ones.
const MAX_ROUTES: usize = 1_024;
/// Allowance for a request that takes longer than those before.
const ALLOWANCE: f64 = 1.25;

/// The longest durations of complete responses.
#[derive(Debug, Default)]
pub(crate) struct RouteDurations {
    routes: IndexMap<String, LongestDuration>,
}

#[derive(Clone, Copy, Debug)]
struct LongestDuration {
    since: Instant,
    current: Duration,
    previous: Duration,
}

impl RouteDurations {
    /// Records a complete response.
    pub(crate) fn record(&mut self, route: &str, took: Duration, now: Instant) {
        if let Some(longest) = self.routes.get_mut(route) {
            longest.advance(now);
            longest.current = longest.current.max(took);
            return;
        }
        if MAX_ROUTES <= self.routes.len() {
            self.routes.shift_remove_index(0);
        }
        let longest = LongestDuration { since: now, current: took, previous: Duration::ZERO };
        self.routes.insert(route.to_owned(), longest);
    }

    /// Time that a request of the route may take; `None` if no response was completed lately.
    pub(crate) fn expected(&mut self, route: &str, now: Instant) -> Option<Duration> {
        let longest = self.routes.get_mut(route)?;
        longest.advance(now);
        let took = longest.current.max(longest.previous);
        (!took.is_zero()).then(|| took.mul_f64(ALLOWANCE))
    }
}

impl LongestDuration {
    fn advance(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.since);
        if elapsed < WINDOW {
            return;
        }
        self.previous = if elapsed < WINDOW * 2 { self.current } else { Duration::ZERO };
        self.current = Duration::ZERO;
        self.since = now;
    }
}
