//! Which records are still to be handed on, and to whom.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::RecordKey;
use crate::SpreadUrgency;

/// A record that could not be handed on in this time is left to comparisons.
const RUMOR_MS: u64 = 30_000;

#[derive(Clone, Debug)]
struct Rumor {
    sends_left: u32,
    told: Vec<u64>,
    until_ms: u64,
}

/// Keys of records to hand on; the records themselves are read when they are sent.
#[derive(Debug, Default)]
pub(crate) struct RumorQueue {
    rumors: IndexMap<RecordKey, Rumor>,
}

impl RumorQueue {
    /// A record is new here: it is to be sent so often, but not to whom it came from.
    pub(crate) fn push(
        &mut self,
        key: RecordKey,
        sends: u32,
        heard_from: Option<u64>,
        now_ms: u64,
    ) {
        let told = heard_from.into_iter().collect();
        self.rumors.insert(key, Rumor { sends_left: sends, told, until_ms: now_ms + RUMOR_MS });
    }

    /// Another host has handed the same record on: it need not be told.
    pub(crate) fn heard_again(&mut self, key: RecordKey, from: u64) {
        if let Some(rumor) = self.rumors.get_mut(&key) {
            rumor.told.push(from);
        }
    }

    /// Keys for a host, urgent ones and those that were sent least first.
    pub(crate) fn candidates(&self, target: u64) -> Vec<RecordKey> {
        let wanted = self.rumors.iter().filter(|(_, rumor)| !rumor.told.contains(&target));
        let mut ranked: Vec<(SpreadUrgency, Reverse<u32>, RecordKey)> = wanted
            .map(|(&key, rumor)| (key.kind.row().urgency, Reverse(rumor.sends_left), key))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, key)| key).collect()
    }

    /// The record was sent to a host.
    pub(crate) fn sent(&mut self, key: RecordKey, target: u64) {
        let Some(rumor) = self.rumors.get_mut(&key) else {
            return;
        };
        rumor.told.push(target);
        rumor.sends_left = rumor.sends_left.saturating_sub(1);
        if rumor.sends_left == 0 {
            self.rumors.swap_remove(&key);
        }
    }

    /// The record is no longer held.
    pub(crate) fn remove(&mut self, key: RecordKey) {
        self.rumors.swap_remove(&key);
    }

    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.rumors.retain(|_, rumor| now_ms < rumor.until_ms);
    }

    pub(crate) fn clear(&mut self) {
        self.rumors.clear();
    }

    pub(crate) fn len(&self) -> usize {
        self.rumors.len()
    }
}
