//! The few fields of a chunk that each token is judged by, read by hand-written visitors.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_json::value::RawValue;

/// A chunk's id as it is written and what its choices say; all other fields are skipped over.
#[derive(Debug, Default)]
pub(crate) struct ChunkHead<'a> {
    /// The id's text with its quotes.
    pub(crate) id: Option<&'a RawValue>,
    pub(crate) choices: ChoiceState,
    pub(crate) error: ErrorState,
}

/// What a chunk's choices say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ChoiceState {
    /// There are none: a chunk with the usage only.
    #[default]
    Absent,
    /// At least one, and none finishes.
    Going,
    /// At least one gives a reason for finishing, and carries text.
    Finished,
    /// They give a reason for finishing and carry no text.
    Closing,
}

/// Whether the chunk is an error object.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum ErrorState {
    #[default]
    Absent,
    Present,
}

impl<'a> ChunkHead<'a> {
    /// Reads one chunk; the whole text must be one JSON object.
    pub(crate) fn parse(data: &'a str) -> Result<ChunkHead<'a>, serde_json::Error> {
        serde_json::from_str(data)
    }
}

#[derive(Deserialize)]
#[serde(field_identifier, rename_all = "snake_case")]
enum ChunkKey {
    Id,
    Choices,
    Error,
    #[serde(other)]
    Other,
}

#[derive(Deserialize)]
#[serde(field_identifier, rename_all = "snake_case")]
enum ChoiceKey {
    FinishReason,
    Text,
    Delta,
    #[serde(other)]
    Other,
}

impl<'de> Deserialize<'de> for ChunkHead<'de> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ChunkHead<'de>, D::Error> {
        deserializer.deserialize_map(ChunkVisitor)
    }
}

struct ChunkVisitor;

impl<'de> Visitor<'de> for ChunkVisitor {
    type Value = ChunkHead<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a chunk of a completion")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ChunkHead<'de>, A::Error> {
        let mut head = ChunkHead::default();
        while let Some(key) = map.next_key()? {
            match key {
                // Of two ids only one would be checked and replaced, and the caller might read the
                // other one.
                ChunkKey::Id if head.id.is_some() => return Err(A::Error::duplicate_field("id")),
                ChunkKey::Id => head.id = Some(map.next_value()?),
                ChunkKey::Choices => head.choices = map.next_value()?,
                ChunkKey::Error => {
                    if map.next_value::<Option<IgnoredAny>>()?.is_some() {
                        head.error = ErrorState::Present;
                    }
                }
                ChunkKey::Other => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(head)
    }
}

impl ChoiceState {
    /// What two choices of one chunk say together.
    fn joined(self, other: ChoiceState) -> ChoiceState {
        match (self, other) {
            (ChoiceState::Absent, state) | (state, ChoiceState::Absent) => state,
            (ChoiceState::Closing, ChoiceState::Closing) => ChoiceState::Closing,
            (ChoiceState::Going, ChoiceState::Going) => ChoiceState::Going,
            _ => ChoiceState::Finished,
        }
    }
}

impl<'de> Deserialize<'de> for ChoiceState {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ChoiceState, D::Error> {
        deserializer.deserialize_seq(ChoicesVisitor)
    }
}

struct ChoicesVisitor;

impl<'de> Visitor<'de> for ChoicesVisitor {
    type Value = ChoiceState;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of choices")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<ChoiceState, A::Error> {
        let mut choices = ChoiceState::Absent;
        while let Some(ChoiceHead { state }) = seq.next_element()? {
            choices = choices.joined(state);
        }
        Ok(choices)
    }
}

struct ChoiceHead {
    state: ChoiceState,
}

impl<'de> Deserialize<'de> for ChoiceHead {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<ChoiceHead, D::Error> {
        deserializer.deserialize_map(ChoiceVisitor)
    }
}

struct ChoiceVisitor;

impl<'de> Visitor<'de> for ChoiceVisitor {
    type Value = ChoiceHead;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a choice")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<ChoiceHead, A::Error> {
        let mut is_finished = false;
        let mut text = TextState::Absent;
        while let Some(key) = map.next_key()? {
            match key {
                ChoiceKey::FinishReason => {
                    is_finished |= map.next_value::<Option<IgnoredAny>>()?.is_some();
                }
                ChoiceKey::Text | ChoiceKey::Delta => text = text.joined(map.next_value()?),
                ChoiceKey::Other => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        let state = match (is_finished, text) {
            (false, _) => ChoiceState::Going,
            (true, TextState::Present) => ChoiceState::Finished,
            (true, TextState::Absent) => ChoiceState::Closing,
        };
        Ok(ChoiceHead { state })
    }
}

/// Whether a choice carries anything for the caller to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TextState {
    Absent,
    Present,
}

impl TextState {
    fn joined(self, other: TextState) -> TextState {
        if self == TextState::Present { self } else { other }
    }
}

impl<'de> Deserialize<'de> for TextState {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<TextState, D::Error> {
        deserializer.deserialize_any(TextVisitor)
    }
}

/// Takes a completion's text or a chat's delta. What is neither a string nor an object, such as a
/// list of tool calls, counts as text.
struct TextVisitor;

impl<'de> Visitor<'de> for TextVisitor {
    type Value = TextState;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text or a delta")
    }

    fn visit_unit<E>(self) -> Result<TextState, E> {
        Ok(TextState::Absent)
    }

    fn visit_str<E>(self, text: &str) -> Result<TextState, E> {
        Ok(if text.is_empty() { TextState::Absent } else { TextState::Present })
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<TextState, A::Error> {
        let mut text = TextState::Absent;
        while let Some(key) = map.next_key()? {
            match key {
                DeltaKey::Role => {
                    map.next_value::<IgnoredAny>()?;
                }
                DeltaKey::Other => text = text.joined(map.next_value()?),
            }
        }
        Ok(text)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<TextState, A::Error> {
        let mut text = TextState::Absent;
        while seq.next_element::<IgnoredAny>()?.is_some() {
            text = TextState::Present;
        }
        Ok(text)
    }

    fn visit_bool<E>(self, _value: bool) -> Result<TextState, E> {
        Ok(TextState::Present)
    }

    fn visit_u64<E>(self, _value: u64) -> Result<TextState, E> {
        Ok(TextState::Present)
    }

    fn visit_i64<E>(self, _value: i64) -> Result<TextState, E> {
        Ok(TextState::Present)
    }

    fn visit_f64<E>(self, _value: f64) -> Result<TextState, E> {
        Ok(TextState::Present)
    }
}

#[derive(Deserialize)]
#[serde(field_identifier, rename_all = "snake_case")]
enum DeltaKey {
    Role,
    #[serde(other)]
    Other,
}
