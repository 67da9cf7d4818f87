//! Whether the log takes appends and answers reads.

use std::time::Duration;

use fulmargate_platform::LogError;
use fulmargate_platform::PausePlan;
use tokio::time::Instant;

/// The pause after a first failure; later ones double.
const SHORTEST_PAUSE: Duration = Duration::from_millis(20);
/// No pause is longer.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// How calls of one kind have gone lately.
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
            pauses: PausePlan::new(SHORTEST_PAUSE, LONGEST_PAUSE, seed),
        }
    }

    /// A call was answered.
    pub(crate) fn end(&mut self) {
        self.since = None;
        self.pauses.reset();
    }

    /// A call failed; the next one is made after a pause. A refusal for the rate is an answer, so it begins no outage.
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

    /// Whether calls have failed for so long that waiting is no use, and no try is due.
    pub(crate) fn is_settled(&self, patience: Duration, now: Instant) -> bool {
        self.since.is_some_and(|since| since + patience <= now) && now < self.retry_at
    }

    /// Whether calls have failed for so long.
    pub(crate) fn is_long(&self, patience: Duration, now: Instant) -> bool {
        self.since.is_some_and(|since| since + patience <= now)
    }
}
