//! Timing of a stream's events.

use std::time::Duration;

use fulmargate_dispatch::RouteKind;
use tokio::time::Instant;

/// When a stream's events arrived, for the log and for the server's statistics.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StreamTiming {
    pub(super) first_event: Option<Instant>,
    pub(super) last_event: Option<Instant>,
    pub(super) max_gap: Duration,
}

impl StreamTiming {
    /// Records that one or more complete events arrived.
    pub(crate) fn record_events(&mut self, now: Instant) {
        if let Some(last) = self.last_event.replace(now) {
            self.max_gap = self.max_gap.max(now - last);
        }
        self.first_event.get_or_insert(now);
    }

    /// The longest gap between events so far, as a share of the gap that the route allows.
    pub(crate) fn max_gap_share(&self, kind: RouteKind) -> f64 {
        let RouteKind::Stream(rule) = kind else { return 0.0 };
        self.max_gap.as_secs_f64() / rule.max_gap.as_secs_f64().max(f64::EPSILON)
    }
}
