//! Whether the log takes appends and answers reads.

use std::time::Duration;

use fulmargate_platform::LogError;
use fulmargate_platform::PausePlan;
use tokio::time::Instant;

/// Delay after a first failure; it doubles after each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Recent failures of one kind of call.
#[derive(Debug)]
pub(crate) struct LogOutage {
    since: Option<Instant>,
    retry_at: Instant,
    pauses: PausePlan,
}

impl LogOutage {
    pub(crate) fn new(seed: u64, now: Instant) -> LogOutage {
        LogOutage {
            since: None,
            retry_at: now,
            pauses: PausePlan::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY, seed),
        }
    }

    /// Records an answered call.
    pub(crate) fn end(&mut self) {
        self.since = None;
        self.pauses.reset();
    }

    /// Records a failed call, after which the next one is delayed. Throttling begins no outage.
    pub(crate) fn failed(&mut self, error: LogError, now: Instant) {
        if error != LogError::Throttled {
            self.since.get_or_insert(now);
        }
        self.retry_at = now + self.pauses.next_pause();
    }

    /// When the next call may be made.
    pub(crate) fn retry_at(&self) -> Instant {
        self.retry_at
    }

    /// Whether calls have failed for this long and no retry is due.
    pub(crate) fn is_settled(&self, patience: Duration, now: Instant) -> bool {
        self.since.is_some_and(|since| since + patience <= now) && now < self.retry_at
    }

    /// Whether calls have failed for this long.
    pub(crate) fn is_long(&self, patience: Duration, now: Instant) -> bool {
        self.since.is_some_and(|since| since + patience <= now)
    }
}
