//! Whether a chunk brings anything to read. Only chunks that are not the next token are asked.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde_json::value::RawValue;

const ROLE: &str = "role";

#[derive(Deserialize)]
struct ChunkContent<'a> {
    #[serde(borrow)]
    choices: Vec<ChoiceContent<'a>>,
}

#[derive(Deserialize)]
struct ChoiceContent<'a> {
    #[serde(borrow)]
    text: Option<&'a RawValue>,
    #[serde(borrow, default)]
    delta: Option<BTreeMap<String, &'a RawValue>>,
}

/// Whether the choices bring nothing but a role or a reason for finishing.
pub(crate) fn is_empty_chunk(data: &str) -> bool {
    serde_json::from_str(data)
        .is_ok_and(|chunk: ChunkContent<'_>| chunk.choices.iter().all(ChoiceContent::is_empty))
}

impl ChoiceContent<'_> {
    /// Whatever a delta holds besides the role is content: text, tool calls, reasoning.
    fn is_empty(&self) -> bool {
        let parts = self.delta.iter().flatten();
        self.text.is_none_or(is_empty_value)
            && parts.filter(|(key, _)| *key != ROLE).all(|(_, value)| is_empty_value(value))
    }
}

fn is_empty_value(value: &RawValue) -> bool {
    matches!(value.get(), "null" | r#""""# | "[]" | "{}")
}
