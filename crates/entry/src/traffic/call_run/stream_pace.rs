//! When a stream's events came.

use std::time::Duration;

use fulmargate_dispatch::RouteKind;
use tokio::time::Instant;

/// When a stream's events came, to tell why it was late.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamPace {
    pub(super) first_event: Option<Instant>,
    pub(super) last_event: Option<Instant>,
    pub(super) longest_pause: Duration,
}

impl StreamPace {
    /// Whole events came.
    pub(crate) fn note(&mut self, now: Instant) {
        if let Some(last) = self.last_event.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
        self.first_event.get_or_insert(now);
    }

    /// The longest pause so far, as a share of what the route's callers are content with.
    pub(crate) fn pause_share(&self, kind: RouteKind) -> f64 {
        let RouteKind::Stream(rule) = kind else { return 0.0 };
        self.longest_pause.as_secs_f64() / rule.longest_gap.as_secs_f64().max(f64::EPSILON)
    }
}
