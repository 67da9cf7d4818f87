//! Retries of store calls for one topic.

use std::time::Duration;

use fulmargate_consortium::StoreError;
use fulmargate_names::EventKind;
use tokio::time::Instant;
use tokio::time::sleep;

/// Delay before the first retry. Short, since the call may have failed only because its connection
/// did.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of consecutive failures after which the delay reaches its maximum. It grows linearly.
const BACKOFF_STEPS: u32 = 5;
/// If a topic has to be listed again within this time, that counts as a failure and is delayed.
const MIN_RELIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Counts consecutive failures, logs the first one and the recovery, and delays retries.
#[derive(Debug)]
pub(crate) struct StoreRetry {
    topic: &'static str,
    failures: u32,
    last_relisted: Option<Instant>,
}

impl StoreRetry {
    pub(crate) fn new(topic: &'static str) -> StoreRetry {
        StoreRetry { topic, failures: 0, last_relisted: None }
    }

    /// Records a successful call.
    pub(crate) fn succeeded(&mut self) {
        if 0 < self.failures {
            let kind = EventKind::LogBack;
            let failures = self.failures;
            tracing::info!(event = kind.number(), name = kind.name(), topic = self.topic, failures);
        }
        self.failures = 0;
    }

    /// Records that the topic has to be listed again. Delays the listing only if the last one was
    /// less than [`MIN_RELIST_INTERVAL`] ago.
    pub(crate) async fn back_off_relisting(&mut self, err: &StoreError, max_delay: Duration) {
        let last = self.last_relisted.replace(Instant::now());
        if last.is_some_and(|last| last.elapsed() < MIN_RELIST_INTERVAL) {
            self.back_off(err, max_delay).await;
        }
    }

    /// Records a failed call and waits before the next, longer each time.
    pub(crate) async fn back_off(&mut self, err: &StoreError, max_delay: Duration) {
        if self.failures == 0 {
            let kind = EventKind::LogOut;
            tracing::warn!(event = kind.number(), name = kind.name(), topic = self.topic, reason = %err);
        }
        self.failures += 1;
        let step = (max_delay / BACKOFF_STEPS).max(INITIAL_RETRY_DELAY);
        let delay = INITIAL_RETRY_DELAY + step * (self.failures.min(BACKOFF_STEPS) - 1);
        sleep(delay.min(max_delay)).await;
    }
}
