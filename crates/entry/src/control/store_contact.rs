//! Whether the store answers, for one topic.

use std::time::Duration;

use fulmargate_consortium::StoreError;
use fulmargate_names::EventKind;
use tokio::time::Instant;
use tokio::time::sleep;

/// The first repeat after a failed call comes after this time, on a new connection: a connection
/// may have fallen silent while new ones work.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// The share of the longest pause that each failure in a row adds to the pause.
const PAUSE_STEPS: u32 = 5;
/// A topic that is to be read anew twice within this time is read anew after a pause.
const ANEW_PACE: Duration = Duration::from_millis(1_000);

/// Counts failures in a row, tells of the first and of the end, and spaces out repeats.
#[derive(Debug)]
pub(crate) struct StoreContact {
    topic: &'static str,
    failures: u32,
    /// When the topic was last read anew.
    anew: Option<Instant>,
}

impl StoreContact {
    /// A contact that holds.
    pub(crate) fn new(topic: &'static str) -> StoreContact {
        StoreContact { topic, failures: 0, anew: None }
    }

    /// A call was answered.
    pub(crate) fn held(&mut self) {
        if 0 < self.failures {
            let back = EventKind::LogBack;
            let failures = self.failures;
            tracing::info!(event = back.number(), name = back.name(), topic = self.topic, failures);
        }
        self.failures = 0;
    }

    /// Whether the last call failed.
    pub(crate) fn is_lost(&self) -> bool {
        0 < self.failures
    }

    /// What was asked for is no longer there: the topic is to be read anew, at once the first time. A store
    /// that says so again and again would else be called as fast as it answers.
    pub(crate) async fn begin_anew(&mut self, err: &StoreError, longest: Duration) {
        let last = self.anew.replace(Instant::now());
        if last.is_some_and(|last| last.elapsed() < ANEW_PACE) {
            self.lost(err, longest).await;
        }
    }

    /// A call failed: waits before the next, longer each time.
    pub(crate) async fn lost(&mut self, err: &StoreError, longest: Duration) {
        if self.failures == 0 {
            let out = EventKind::LogOut;
            tracing::warn!(event = out.number(), name = out.name(), topic = self.topic, reason = %err);
        }
        self.failures += 1;
        let step = (longest / PAUSE_STEPS).max(FIRST_PAUSE);
        let pause = FIRST_PAUSE + step * (self.failures.min(PAUSE_STEPS) - 1);
        sleep(pause.min(longest)).await;
    }
}
