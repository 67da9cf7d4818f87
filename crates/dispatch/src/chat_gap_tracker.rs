//! Measures how much long prompts delay the streams beside them.

use std::time::Duration;

use tokio::time::Instant;

use crate::experiment::Mechanism;
use crate::experiment::is_enabled;

/// A chat is near the limit if its longest gap between events is at least this share of the accepted gap.
const NEAR_LIMIT_SHARE: f64 = 0.65;
/// Share of chats near the limit at which long prompts are kept away from chats entirely.
const SATURATION_SHARE: f64 = 0.1;
/// Time constant of the exponential decay of the counts.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// With fewer recent chats, long prompts are kept away from chats.
const MIN_CHATS: f64 = 5.0;

/// Decaying counts of recent chats and of those near the limit.
///
/// How much a long prompt delays chats depends on the engine's prefill chunk size, which is not
/// reported but can be inferred from the gaps between events.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ChatGapTracker {
    chats: f64,
    near_limit: f64,
    updated_at: Option<Instant>,
}

impl ChatGapTracker {
    /// Records a chat whose longest gap was this share of the gap that its caller accepts.
    pub(crate) fn record(&mut self, share: f64, now: Instant) {
        let decay = self.decay(now);
        self.chats = self.chats * decay + 1.0;
        self.near_limit = self.near_limit * decay + f64::from(u8::from(NEAR_LIMIT_SHARE <= share));
        self.updated_at = Some(now);
    }

    /// How strictly long prompts are kept away from chats, from 0 to 1.
    pub(crate) fn strength(&self, now: Instant) -> f64 {
        if self.chats * self.decay(now) < MIN_CHATS || !is_enabled(Mechanism::StallLearning) {
            return 1.0;
        }
        (self.near_limit / self.chats / SATURATION_SHARE).min(1.0)
    }

    /// Factor by which the counts have decayed since the last update.
    fn decay(&self, now: Instant) -> f64 {
        let age = self
            .updated_at
            .map_or(Duration::ZERO, |updated_at| now.saturating_duration_since(updated_at));
        (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}
