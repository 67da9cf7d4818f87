//! An answer to a sample.

use serde_json::Value;

/// One event of a stream.
#[derive(Debug, Clone)]
pub(super) struct SampleEvent {
    pub(super) id: Option<String>,
    pub(super) data: String,
}

/// An answer to a sample.
#[derive(Debug, Clone, Default)]
pub(super) struct SampleAnswer {
    pub(super) status: u16,
    pub(super) request_id: String,
    pub(super) sent_id: String,
    pub(super) disposition: String,
    pub(super) server: String,
    pub(super) error: String,
    pub(super) body: String,
}

impl SampleAnswer {
    /// Every answer names its own request and says whether it ran.
    pub(super) fn check_identity(&self) -> Result<(), String> {
        expect("request id", &self.request_id, &self.sent_id)?;
        match self.disposition.is_empty() {
            true => Err("no disposition".to_owned()),
            false => Ok(()),
        }
    }

    pub(super) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// The events of a stream in their order.
    pub(super) fn events(&self) -> Vec<SampleEvent> {
        let field = |text: &str, name: &str| {
            text.lines().find_map(|line| line.strip_prefix(name)).map(str::to_owned)
        };
        let event = |text: &str| {
            let data = field(text, "data: ")?;
            Some(SampleEvent { id: field(text, "id: "), data })
        };
        self.body.split_terminator("\n\n").filter_map(event).collect()
    }

    /// The stream's text; an error if it has no end.
    pub(super) fn stream_text(&self) -> Result<String, String> {
        let events = self.events();
        if events.last().is_none_or(|event| event.data != "[DONE]") {
            return Err("the stream has no end".to_owned());
        }
        Ok(events.iter().map(|event| chunk_text(&event.data)).collect())
    }

    /// Cached tokens, as the usage says.
    pub(super) fn cached_tokens(&self) -> u64 {
        let events = self.events();
        let usage = events.iter().find_map(|event| {
            let chunk: Value = serde_json::from_str(&event.data).ok()?;
            chunk["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64()
        });
        usage.unwrap_or(0)
    }
}

/// The text of one chunk of a chat.
pub(super) fn chunk_text(data: &str) -> String {
    let chunk: Value = serde_json::from_str(data).unwrap_or_default();
    chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default().to_owned()
}

/// Says what differs.
pub(super) fn expect<T: PartialEq + std::fmt::Debug + ?Sized>(
    what: &str,
    found: &T,
    expected: &T,
) -> Result<(), String> {
    match found == expected {
        true => Ok(()),
        false => Err(format!("{what}: {found:?} instead of {expected:?}")),
    }
}
