//! Classes of calls by how they affect each other on an engine.

use crate::CallFacts;
use crate::EngineRule;

/// Streams with fewer events end before a gap matters.
const MIN_CHAT_EVENTS: u32 = 3;
/// Minimum length of a prompt that noticeably delays the streams on the same engine. An engine prefills some
/// 40 tokens in a millisecond, so that these take 75 ms, a sixth of the gap that callers accept.
const MIN_HEAVY_TOKENS: u32 = 3_000;

/// How a call interacts with the streams on its engine.
///
/// An engine prefills prompts in chunks between the tokens of its streams. An event carries several
/// tokens, so a queue of long prompts stretches the gap between two events even though each chunk
/// is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallShape {
    /// A short prompt with a long stream, which long prompts delay.
    Chat,
    /// A long prompt, which delays chats.
    Heavy,
    /// Neither.
    Plain,
}

impl CallShape {
    /// Classifies a call for engines of this kind.
    pub fn of(call: &CallFacts, engine: &EngineRule) -> CallShape {
        if MIN_HEAVY_TOKENS <= call.prompt_tokens() {
            return CallShape::Heavy;
        }
        if MIN_CHAT_EVENTS * engine.event_tokens <= call.output_tokens {
            return CallShape::Chat;
        }
        CallShape::Plain
    }
}
