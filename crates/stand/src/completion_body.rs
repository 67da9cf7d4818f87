//! The caller's body as the stand-in engine reads it.

use serde::Deserialize;
use serde_json::Value;

use crate::token;

/// Tokens generated when the body does not bound them.
const DEFAULT_MAX_TOKENS: usize = 16;

/// One message of a chat.
#[derive(Debug, Clone, Deserialize)]
struct ChatMessage {
    role: String,
    content: Value,
}

impl ChatMessage {
    /// The text of a plain content, or of the text parts of a list.
    fn text(&self) -> String {
        match &self.content {
            Value::String(text) => text.clone(),
            Value::Array(parts) => {
                parts.iter().filter_map(|part| part.get("text")?.as_str()).collect()
            }
            _ => String::new(),
        }
    }
}

/// What the caller asks of the stream.
#[derive(Debug, Clone, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// A completion or chat completion request; fields that the stand-in has no use for are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct CompletionBody {
    /// The model's name.
    pub model: String,
    /// Whether the answer is to be streamed.
    #[serde(default)]
    pub stream: bool,
    messages: Option<Vec<ChatMessage>>,
    prompt: Option<String>,
    max_tokens: Option<usize>,
    max_completion_tokens: Option<usize>,
    #[serde(default)]
    stream_options: StreamOptions,
}

impl CompletionBody {
    /// Reads a request body; a body without messages and without a prompt is refused.
    pub fn parse(bytes: &[u8]) -> Result<CompletionBody, String> {
        let body: CompletionBody =
            serde_json::from_slice(bytes).map_err(|error| error.to_string())?;
        if body.messages.is_none() && body.prompt.is_none() {
            return Err("either `messages` or `prompt` is needed".to_owned());
        }
        Ok(body)
    }

    /// Whether the body is that of a chat.
    pub fn is_chat(&self) -> bool {
        self.messages.is_some()
    }

    /// The prompt's text as `docs/PROTOCOLS.md` defines it.
    pub fn prompt_text(&self) -> String {
        let Some(messages) = &self.messages else {
            return self.prompt.clone().unwrap_or_default();
        };
        messages.iter().map(|message| format!("{}\n{}\n", message.role, message.text())).collect()
    }

    /// How many tokens the answer has.
    pub fn answer_tokens(&self) -> usize {
        self.max_completion_tokens.or(self.max_tokens).unwrap_or(DEFAULT_MAX_TOKENS)
    }

    /// Whether a chunk with the usage ends the stream.
    pub fn include_usage(&self) -> bool {
        self.stream_options.include_usage
    }

    /// The whole answer that an engine with these weights gives.
    pub fn expected_answer(&self, weights: u64) -> String {
        let hash = token::prompt_hash(&self.model, &self.prompt_text());
        token::answer_text(weights, hash, self.answer_tokens())
    }
}
