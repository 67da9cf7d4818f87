//! What the router reads of a model request; the body itself is passed on byte for byte.

use std::borrow::Cow;
use std::fmt;

use fulmargate_names::ModelName;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;

/// What the router reads of a model request.
#[derive(Debug)]
pub(crate) struct PromptBody {
    /// The model asked for.
    pub(crate) model: ModelName,
    /// Whether the answer is to be streamed.
    pub(crate) streams: bool,
    /// Whether a chunk with the usage is to end the stream.
    pub(crate) wants_usage: bool,
    /// The prompt, cut at its level boundaries: a chat's messages, or one piece for a completion.
    pub(crate) segments: Vec<String>,
}

/// Why a body is no model request.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("{reason}")]
pub(crate) struct BodyError {
    reason: String,
}

#[derive(Deserialize)]
struct BodyFields<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(borrow, default)]
    messages: Option<Vec<ChatMessage<'a>>>,
    #[serde(borrow, default)]
    prompt: Option<Cow<'a, str>>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: Option<bool>,
}

#[derive(Deserialize)]
struct ChatMessage<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(borrow, default)]
    content: MessageText<'a>,
}

/// A message's text: a string, the text parts of a list, or nothing.
#[derive(Default)]
struct MessageText<'a>(Cow<'a, str>);

#[derive(Deserialize)]
struct TextPart<'a> {
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
}

impl PromptBody {
    /// Reads the body; the error says what is missing or wrong, and where.
    pub(crate) fn parse(bytes: &[u8]) -> Result<PromptBody, BodyError> {
        let fields: BodyFields<'_> =
            serde_json::from_slice(bytes).map_err(|err| BodyError { reason: err.to_string() })?;
        let segments = match (fields.messages, fields.prompt) {
            (Some(messages), _) if !messages.is_empty() => messages
                .iter()
                .map(|message| format!("{}\n{}\n", message.role, message.content.0))
                .collect(),
            (None, Some(prompt)) => vec![prompt.into_owned()],
            _ => return Err(BodyError { reason: "`messages` or `prompt` is needed".to_owned() }),
        };
        Ok(PromptBody {
            model: ModelName::new(&fields.model),
            streams: fields.stream.unwrap_or(false),
            wants_usage: fields.stream_options.and_then(|options| options.include_usage)
                == Some(true),
            segments,
        })
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for MessageText<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<MessageText<'a>, D::Error> {
        deserializer.deserialize_any(TextVisitor)
    }
}

struct TextVisitor;

impl<'de> Visitor<'de> for TextVisitor {
    type Value = MessageText<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string, a list of content parts, or null")
    }

    fn visit_borrowed_str<E>(self, text: &'de str) -> Result<MessageText<'de>, E> {
        Ok(MessageText(Cow::Borrowed(text)))
    }

    fn visit_str<E>(self, text: &str) -> Result<MessageText<'de>, E> {
        Ok(MessageText(Cow::Owned(text.to_owned())))
    }

    fn visit_unit<E>(self) -> Result<MessageText<'de>, E> {
        Ok(MessageText::default())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<MessageText<'de>, A::Error> {
        let mut text = String::new();
        while let Some(part) = parts.next_element::<TextPart<'de>>()? {
            text.push_str(part.text.as_deref().unwrap_or_default());
        }
        Ok(MessageText(Cow::Owned(text)))
    }

    fn visit_map<A: MapAccess<'de>>(self, _map: A) -> Result<MessageText<'de>, A::Error> {
        Err(serde::de::Error::invalid_type(serde::de::Unexpected::Map, &self))
    }
}
