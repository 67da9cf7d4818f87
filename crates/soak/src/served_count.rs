//! Served requests among those that were sent.

use std::fmt;

/// Requests that may fail at cut hosts, and as a share of all.
const ALLOWED_FAILURES: f64 = 10.0;
const ALLOWED_FAILURE_SHARE: f64 = 0.02;
/// Served share of cut hosts beside that of the others.
const MIN_SERVED_RATIO: f64 = 2.0 / 3.0;

/// Requests and those of them that were served.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServedCount {
    /// Requests that were served.
    pub served: usize,
    /// All of them.
    pub sent: usize,
}

impl ServedCount {
    pub(crate) fn add(&mut self, is_served: bool) {
        self.sent += 1;
        self.served += usize::from(is_served);
    }

    /// Share of the requests that were served.
    pub(crate) fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }

    /// Whether cut hosts served less than two thirds as often as the others, and failed more than a few requests.
    pub(crate) fn breaks_recovery(self, others: ServedCount) -> bool {
        let allowed = ALLOWED_FAILURES + (self.sent + others.sent) as f64 * ALLOWED_FAILURE_SHARE;
        let failed = (self.sent - self.served) as f64;
        0 < others.sent && allowed < failed && self.share() < MIN_SERVED_RATIO * others.share()
    }
}

impl fmt::Display for ServedCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {}", self.served, self.sent)
    }
}
