//! Parts of prompts that an engine or the store has in memory.

use indexmap::IndexMap;

/// The least recently used parts yield.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartCache {
    /// Tokens by the key of a part, the least recently used first.
    parts: IndexMap<u64, u32>,
    held: u64,
    /// What has changed since it was last told.
    changes: Vec<(u64, u32)>,
}

/// A part under its scope, and its tokens.
pub(crate) type CachedPart = (u64, u32);

impl PartCache {
    /// Tokens at the beginning of a prompt that are there. A part counts only if all before it do.
    pub(crate) fn match_tokens(&mut self, parts: &[CachedPart]) -> u32 {
        let mut tokens = 0;
        for (key, length) in parts {
            let Some(index) = self.parts.get_index_of(key) else { break };
            self.parts.move_index(index, self.parts.len() - 1);
            tokens += length;
        }
        tokens
    }

    /// A prompt has been read; what is beyond `room` tokens yields.
    pub(crate) fn insert(&mut self, parts: &[CachedPart], room: u64) {
        for (key, length) in parts {
            match self.parts.shift_remove(key) {
                Some(_) => {}
                None => {
                    self.held += u64::from(*length);
                    self.changes.push((*key, *length));
                }
            }
            self.parts.insert(*key, *length);
        }
        while room < self.held {
            let Some((key, length)) = self.parts.shift_remove_index(0) else { break };
            self.held -= u64::from(length);
            self.changes.push((key, 0));
        }
    }

    /// All parts are lost.
    pub(crate) fn clear(&mut self) {
        let lost = std::mem::take(&mut self.parts);
        self.changes.extend(lost.into_keys().map(|key| (key, 0)));
        self.held = 0;
    }

    /// What has changed since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<(u64, u32)> {
        std::mem::take(&mut self.changes)
    }
}
