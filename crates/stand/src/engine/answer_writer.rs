//! Answers in the shape of OpenAI's API.

use std::sync::Arc;

use serde_json::Value;
use serde_json::json;

use crate::token;

/// Writes the answer to one request.
#[derive(Debug, Clone)]
pub(crate) struct AnswerWriter {
    pub(crate) id: Arc<str>,
    pub(crate) model: Arc<str>,
    pub(crate) created: u64,
    pub(crate) is_chat: bool,
    pub(crate) weights: u64,
    pub(crate) prompt_hash: u64,
}

/// Token counts of an answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerUsage {
    pub(crate) prompt: usize,
    pub(crate) cached: usize,
    pub(crate) completion: usize,
}

impl AnswerUsage {
    fn json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.completion,
            "total_tokens": self.prompt + self.completion,
            "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }
}

impl AnswerWriter {
    /// The event of one token. Written by hand: it is the one hot path of the stand-in.
    pub(crate) fn token_event(&self, index: usize) -> String {
        let text = token::token_text(self.weights, self.prompt_hash, index);
        let choice = match (self.is_chat, index) {
            (true, 0) => format!(r#""delta":{{"role":"assistant","content":"{text}"}}"#),
            (true, _) => format!(r#""delta":{{"content":"{text}"}}"#),
            (false, _) => format!(r#""text":"{text}""#),
        };
        let choice = format!(r#"{{"index":0,{choice},"finish_reason":null}}"#);
        format!("id: {index}\n{}", self.event(&choice, "null"))
    }

    /// The event that says why the answer ends.
    pub(crate) fn finish_event(&self) -> String {
        let rest = if self.is_chat { r#""delta":{}"# } else { r#""text":"""# };
        self.event(&format!(r#"{{"index":0,{rest},"finish_reason":"length"}}"#), "null")
    }

    /// The event with the token counts.
    pub(crate) fn usage_event(&self, usage: AnswerUsage) -> String {
        self.event("", &usage.json().to_string())
    }

    /// The end of a whole stream.
    pub(crate) fn done_event() -> &'static str {
        "data: [DONE]\n\n"
    }

    fn event(&self, choice: &str, usage: &str) -> String {
        let AnswerWriter { id, model, created, .. } = self;
        let object = if self.is_chat { "chat.completion.chunk" } else { "text_completion" };
        let model = Value::from(&**model);
        let id = Value::from(&**id);
        format!(
            "data: {{\"id\":{id},\"object\":\"{object}\",\"created\":{created},\
             \"model\":{model},\"choices\":[{choice}],\"usage\":{usage}}}\n\n"
        )
    }

    /// A whole answer that is not streamed.
    pub(crate) fn body(&self, from: usize, to: usize, usage: AnswerUsage) -> Value {
        let text: String = (from..to)
            .map(|index| token::token_text(self.weights, self.prompt_hash, index))
            .collect();
        let choice = if self.is_chat {
            let message = json!({ "role": "assistant", "content": text });
            json!({ "index": 0, "message": message, "finish_reason": "length" })
        } else {
            json!({ "index": 0, "text": text, "finish_reason": "length" })
        };
        json!({
            "id": self.id,
            "object": if self.is_chat { "chat.completion" } else { "text_completion" },
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": usage.json(),
        })
    }
}
