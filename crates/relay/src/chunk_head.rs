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
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ChoiceState {
    /// There are none: a chunk with the usage only.
    #[default]
    Absent,
    /// At least one, and none finishes.
    Going,
    /// At least one gives a reason for finishing.
    Finished,
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
            choices = choices.max(state);
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
        let mut state = ChoiceState::Going;
        while let Some(key) = map.next_key()? {
            match key {
                ChoiceKey::FinishReason => {
                    if map.next_value::<Option<IgnoredAny>>()?.is_some() {
                        state = ChoiceState::Finished;
                    }
                }
                ChoiceKey::Other => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(ChoiceHead { state })
    }
}
