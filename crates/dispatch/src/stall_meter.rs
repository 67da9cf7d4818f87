//! How long streams pause beside long prompts.

use std::time::Duration;

use tokio::time::Instant;

use crate::experiment::Mechanism;
use crate::experiment::is_on;

/// A chat whose longest pause was this share of what its caller is content with came near the limit.
const NEAR_SHARE: f64 = 0.65;
/// If so many chats come near it, long prompts stay away from chats as far as they can. The longest tenth
/// of the pauses reached 0.53 of the limit on engines that read in pieces of 1,024 tokens, and 0.82 and
/// 0.87 with pieces of 4,096.
const FULL_SHARE: f64 = 0.1;
/// Chats count less with time; after so long, by a factor of e.
const MEMORY: Duration = Duration::from_secs(4);
/// Fewer chats say nothing, and long prompts stay away.
const LEAST_CHATS: f64 = 5.0;

/// The longest pauses of lately ended chats.
///
/// Whether chats and long prompts get on at one engine depends on how large the pieces are in which it
/// reads a prompt between the tokens of streams. That is not told, but seen. Where chats bear it they go
/// anywhere, and 89 instead of 82 of 100 long prompts of a calm day were in time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StallMeter {
    chats: f64,
    near: f64,
    at: Option<Instant>,
}

impl StallMeter {
    /// A chat has ended whose longest pause was this share of what its caller is content with.
    pub(crate) fn note(&mut self, share: f64, now: Instant) {
        let kept = self.kept(now);
        self.chats = self.chats * kept + 1.0;
        self.near = self.near * kept + f64::from(u8::from(NEAR_SHARE <= share));
        self.at = Some(now);
    }

    /// From 0, chats may go anywhere, to 1, long prompts stay away from them.
    pub(crate) fn strength(&self, now: Instant) -> f64 {
        if self.chats * self.kept(now) < LEAST_CHATS || !is_on(Mechanism::StallLearning) {
            return 1.0;
        }
        (self.near / self.chats / FULL_SHARE).min(1.0)
    }

    /// What is left of the counts.
    fn kept(&self, now: Instant) -> f64 {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-age.as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}
