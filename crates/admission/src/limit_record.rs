//! What a router knows of the rate limit that a server named.

use std::time::Duration;

use tokio::time::Instant;

use crate::NamedLimit;

/// Lowest rate at which a limited server gets requests. Only a response can lift a limit, so a server that
/// names zero still gets a request now and then.
const MIN_RATE_PER_S: f64 = 0.1;
/// After a limit is lifted, the rate doubles at this interval. Without it, all routers would send what they
/// had kept back at once.
const RAMP_INTERVAL: Duration = Duration::from_millis(500);
/// Number of doublings after which a lifted limit is gone.
const RAMP_STEPS: u32 = 8;
/// The ramp starts at this rate at least.
const MIN_RAMP_RATE_PER_S: f64 = 1.0;
/// Upper bound of the error in the age of a reported limit: messages spend time on the way and at relays.
const MAX_AGE_ERROR: Duration = Duration::from_millis(500);

/// The newest limit of one server incarnation.
///
/// Responses carry no order, and they overtake each other. A lower limit applies at once; a higher one, or
/// none, only if the request was sent after the current limit was observed.
#[derive(Clone, Copy, Debug)]
pub struct LimitRecord {
    rate_per_s: Option<f64>,
    /// When a response with the current limit, or without one, was observed by any router.
    observed: Instant,
    /// The last limit before the current one was lifted, and when that was.
    lifted: Option<(f64, Instant)>,
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
        LimitRecord { rate_per_s: None, observed: now, lifted: None }
    }

    /// Requests per second that the server named; `None` without a limit.
    pub fn rate_per_s(&self) -> Option<f64> {
        self.rate_per_s
    }

    /// When a response confirmed the limit.
    pub fn observed(&self) -> Instant {
        self.observed
    }

    /// Time since the limit was observed.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.observed)
    }

    /// Requests per second that all routers together may send; `None` if they are not limited.
    pub fn allowed_rate(&self, now: Instant) -> Option<f64> {
        if let Some(rate) = self.rate_per_s {
            return Some(rate.max(MIN_RATE_PER_S));
        }
        let (rate, lifted) = self.lifted?;
        let elapsed = now.saturating_duration_since(lifted);
        let steps = (elapsed.as_secs_f64() / RAMP_INTERVAL.as_secs_f64()) as u32;
        (steps < RAMP_STEPS).then(|| rate.max(MIN_RAMP_RATE_PER_S) * f64::from(1_u32 << steps))
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
        self.observed = self.observed.max(now);
        self.replace(named_rate, now)
    }

    /// Applies a limit that another router observed `age` ago. Returns the change, if any.
    ///
    /// An equal limit does not renew the record, or routers would renew it for each other for ever.
    pub fn merge(
        &mut self,
        rate_per_s: Option<f64>,
        age: Duration,
        now: Instant,
    ) -> Option<LimitChange> {
        if rate_per_s == self.rate_per_s {
            return None;
        }
        let observed = now.checked_sub(age)?;
        let observed = match is_looser(rate_per_s, self.rate_per_s) {
            true => observed.checked_sub(MAX_AGE_ERROR)?,
            false => observed,
        };
        if observed < self.observed {
            return None;
        }
        self.observed = observed;
        self.replace(rate_per_s, now)
    }

    fn replace(&mut self, rate_per_s: Option<f64>, now: Instant) -> Option<LimitChange> {
        let previous = std::mem::replace(&mut self.rate_per_s, rate_per_s);
        if previous == rate_per_s {
            return None;
        }
        if let (Some(rate), None) = (previous, rate_per_s) {
            self.lifted = Some((rate, now));
        }
        Some(LimitChange { previous, current: rate_per_s })
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
