//! What a router knows of the rate limit that a server named.

use tokio::time::Instant;

use crate::NamedLimit;

/// The newest limit of one server incarnation.
///
/// Responses carry no order, and they overtake each other. A lower limit applies at once; a higher one, or
/// none, only once a request that was sent after the current limit was observed has been answered with it.
#[derive(Clone, Copy, Debug)]
pub struct LimitRecord {
    rate_per_s: Option<f64>,
    observed: Instant,
}

/// A change of the limit that is known of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitChange {
    /// Requests per second before; `None` without a limit.
    pub previous: Option<f64>,
    /// Requests per second now; `None` if the limit was lifted.
    pub current: Option<f64>,
}

impl LimitRecord {
    /// A server of which no limit is known.
    pub fn new(now: Instant) -> LimitRecord {
        LimitRecord { rate_per_s: None, observed: now }
    }

    /// Requests per second that the server accepts; `None` without a limit.
    pub fn rate_per_s(&self) -> Option<f64> {
        self.rate_per_s
    }

    /// Applies a response to a request that was sent at `sent`. Returns the change, if any.
    pub fn observe(
        &mut self,
        named: NamedLimit,
        sent: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let named_rate = match named {
            NamedLimit::PerSecond(rate) => Some(rate),
            NamedLimit::Absent | NamedLimit::Unreadable => None,
        };
        if is_looser(named_rate, self.rate_per_s) && sent < self.observed {
            return None;
        }
        self.observed = now;
        self.replace(named_rate)
    }

    fn replace(&mut self, rate_per_s: Option<f64>) -> Option<LimitChange> {
        let previous = std::mem::replace(&mut self.rate_per_s, rate_per_s);
        (previous != rate_per_s).then_some(LimitChange { previous, current: rate_per_s })
    }
}

/// Whether `new` allows more requests than `current`.
fn is_looser(new: Option<f64>, current: Option<f64>) -> bool {
    match (new, current) {
        (_, None) => false,
        (None, Some(_)) => true,
        (Some(new), Some(current)) => current < new,
    }
}
