//! What an answer says of its server.

/// What an answer's headers say of its server's load; zero where they say nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineReport {
    /// The prompt's tokens.
    pub prompt_tokens: u32,
    /// Those of them that were cached.
    pub cached_tokens: u32,
    /// Prompt tokens of other requests that wait for prefill.
    pub queue_tokens: u32,
}
