//! How fast a queue moves.

use std::time::Duration;

use tokio::time::Instant;

/// Past grants weigh less with each new one.
const KEEP: f64 = 0.95;
/// Grants before the rate is believed.
const LEAST_GRANTS: u32 = 4;
/// A rate that was measured longer ago says nothing about the server of now.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The cost that leaves a queue per second while someone waits in it.
#[derive(Debug, Default)]
pub(crate) struct DrainRate {
    cost: f64,
    seconds: f64,
    grants: u32,
    /// Since when the queue has been moving towards its next grant.
    busy_since: Option<Instant>,
    last: Option<Instant>,
}

impl DrainRate {
    /// Someone waits from now on.
    pub(crate) fn begin(&mut self, now: Instant) {
        if self.busy_since.is_some() {
            return;
        }
        let old = self.last.is_some_and(|last| now.saturating_duration_since(last) > FORGET_AFTER);
        if old {
            *self = DrainRate::default();
        }
        self.busy_since = Some(now);
    }

    /// A waiting request was sent.
    pub(crate) fn granted(&mut self, cost: u64, now: Instant) {
        self.cost = self.cost * KEEP + cost as f64;
        self.seconds = self.seconds * KEEP + self.gap(now);
        self.grants = self.grants.saturating_add(1);
        self.busy_since = Some(now);
        self.last = Some(now);
    }

    /// Nobody waits any more.
    pub(crate) fn end(&mut self) {
        self.busy_since = None;
    }

    /// How long `cost` takes to leave; `None` while nothing is known. The time since the last grant
    /// counts, so that a server that has stopped is noticed before its next answer.
    pub(crate) fn time_for(&self, cost: u64, now: Instant) -> Option<Duration> {
        let seconds = self.seconds + self.gap(now);
        if self.grants < LEAST_GRANTS || seconds <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(cost as f64 * seconds / self.cost).ok()
    }

    fn gap(&self, now: Instant) -> f64 {
        self.busy_since.map_or(0.0, |since| now.saturating_duration_since(since).as_secs_f64())
    }
}
