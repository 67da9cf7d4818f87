//! One attempt of a caller, as an edge has decoded it.

use std::sync::Arc;

use fulmargate_names::ModelName;
use fulmargate_names::RequestId;
use fulmargate_names::TeamName;
use tokio::time::Instant;

use crate::RouteRule;

/// What the decisions on a call rest on. Its bytes are carried beside it.
#[derive(Clone, Debug)]
pub struct CallFacts {
    /// The caller's id for this attempt.
    pub id: RequestId,
    /// The route it takes.
    pub route: Arc<RouteRule>,
    /// Whose key it carries; none on anonymous routes.
    pub team: Option<TeamName>,
    /// The model asked for; none for plain services.
    pub model: Option<ModelName>,
    /// The prompt's parts in order; the last one is the request's own.
    pub prompt: Vec<PromptPart>,
    /// Most tokens that may be generated.
    pub output_tokens: u32,
    /// Tokens of the prompt and most tokens that may be generated, where the caller states them.
    pub stated_tokens: Option<u64>,
    /// Rank of the request, 0 first: the team's, else the route's.
    pub priority: u8,
    /// When its head was read.
    pub arrived: Instant,
    /// When it gets its final answer at the latest: the caller's deadline or the route's timeout.
    pub deadline: Instant,
    /// Equal for requests with the same caller, path and body, whatever their ids.
    pub print: u128,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's id.
    pub hash: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

impl CallFacts {
    /// The parts that other requests share. A prompt of one part is shared with its repetitions.
    pub fn shared_parts(&self) -> &[PromptPart] {
        match self.prompt.len() {
            0 | 1 => &self.prompt,
            len => &self.prompt[..len - 1],
        }
    }

    /// Tokens of the whole prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt.iter().map(|part| part.tokens).sum()
    }

    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// What the prompt's home is drawn by: its last shared part.
    pub fn home_key(&self) -> Option<u64> {
        self.shared_parts().last().map(|part| part.hash)
    }
}
