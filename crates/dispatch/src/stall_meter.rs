//! How long streams pause beside long prompts.

use tokio::time::Instant;

use crate::experiment::Mechanism;
use crate::experiment::is_on;
use crate::fading_mean::FadingMean;

/// Pauses of this share of what callers are content with are no trouble.
const CALM_SHARE: f64 = 0.5;
/// What is believed before any stream has ended: that long prompts stretch pauses as far as callers
/// bear. Pieces of 4,096 tokens take an engine 90 ms, and an event carries the tokens of several steps.
const COMMON_SHARE: f64 = 1.0;

/// The longest pauses of lately ended chats.
///
/// Whether chats and long prompts get on at one engine depends on how large the pieces are in which it
/// reads a prompt between the tokens of streams. That is not told, but seen: with pieces of 1,024 tokens
/// the longest pauses were half of what callers bear. There chats go anywhere, and 89 instead of 82 of 100
/// long prompts of a calm day were in time; with pieces of 4,096 they are kept apart.
#[derive(Debug, Default)]
pub(crate) struct StallMeter {
    share: Option<FadingMean>,
}

impl StallMeter {
    /// A chat has ended whose longest pause was this share of what its caller is content with.
    pub(crate) fn note(&mut self, share: f64, now: Instant) {
        self.share.get_or_insert_with(|| FadingMean::new(COMMON_SHARE, now)).add(share, now);
    }

    /// From 0, chats may go anywhere, to 1, long prompts stay away from them.
    pub(crate) fn strength(&self, now: Instant) -> f64 {
        if !is_on(Mechanism::StallLearning) {
            return 1.0;
        }
        let share = self.share.map_or(COMMON_SHARE, |share| share.get(now));
        ((share - CALM_SHARE) / (1.0 - CALM_SHARE)).clamp(0.0, 1.0)
    }
}
