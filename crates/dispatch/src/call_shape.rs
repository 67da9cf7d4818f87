//! What a call does to the others on its engine.

use crate::CallFacts;
use crate::EngineRule;

/// A stream of fewer events is over before a pause could matter.
const LEAST_EVENTS: u32 = 3;
/// Prompts from this length on hold up the streams beside them: an engine reads some 40 tokens in a
/// millisecond, so that 3,000 take 75 ms, a sixth of the pause that callers are content with.
const HEAVY_TOKENS: u32 = 3_000;

/// How a call and the streams on its engine bear each other.
///
/// An engine reads prompts between the tokens of its streams, a piece before each token. An event
/// carries several tokens, so that a long queue of long prompts stretches the pause between two
/// events beyond what callers are content with, although each piece is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallShape {
    /// A short prompt and a long stream: long prompts beside it make it late.
    Chat,
    /// A long prompt and a short stream.
    Heavy,
    /// Neither matters to the other.
    Plain,
}

impl CallShape {
    /// The shape of a call on engines of this kind.
    pub fn of(call: &CallFacts, engine: &EngineRule) -> CallShape {
        if HEAVY_TOKENS <= call.prompt_tokens() {
            return CallShape::Heavy;
        }
        if LEAST_EVENTS * engine.event_tokens <= call.output_tokens {
            return CallShape::Chat;
        }
        CallShape::Plain
    }
}
