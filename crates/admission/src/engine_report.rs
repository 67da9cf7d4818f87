//! Load figures from a response.

/// Load figures from a response's headers; zero where a header is missing.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineReport {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Prompt tokens of other requests that wait for prefill at the server.
    pub queue_tokens: u32,
}
