//! Records queued for gossip.

use std::cmp::Reverse;

use indexmap::IndexMap;

use crate::RecordKey;
use crate::SpreadUrgency;

/// Time after which a queued record is left to anti-entropy.
const MAX_QUEUED_MS: u64 = 30_000;

#[derive(Clone, Debug)]
struct GossipEntry {
    sends_left: u32,
    known_by: Vec<u64>,
    expires_ms: u64,
}

/// Keys of the records to send. The records are looked up at send time.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    entries: IndexMap<RecordKey, GossipEntry>,
}

impl GossipQueue {
    /// Queues a new record to be sent to `sends` hosts other than the one it came from.
    pub(crate) fn push(
        &mut self,
        key: RecordKey,
        sends: u32,
        received_from: Option<u64>,
        now_ms: u64,
    ) {
        let known_by = received_from.into_iter().collect();
        self.entries.insert(
            key,
            GossipEntry { sends_left: sends, known_by, expires_ms: now_ms + MAX_QUEUED_MS },
        );
    }

    /// Notes that a peer already has the record.
    pub(crate) fn mark_known_by(&mut self, key: RecordKey, from: u64) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.known_by.push(from);
        }
    }

    /// Keys to send to a host: urgent ones first, then those sent least often.
    pub(crate) fn candidates(&self, target: u64) -> Vec<RecordKey> {
        let wanted = self.entries.iter().filter(|(_, entry)| !entry.known_by.contains(&target));
        let mut ranked: Vec<(SpreadUrgency, Reverse<u32>, RecordKey)> = wanted
            .map(|(&key, entry)| (key.kind.row().urgency, Reverse(entry.sends_left), key))
            .collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, _, key)| key).collect()
    }

    pub(crate) fn mark_sent(&mut self, key: RecordKey, target: u64) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.known_by.push(target);
        entry.sends_left = entry.sends_left.saturating_sub(1);
        if entry.sends_left == 0 {
            self.entries.swap_remove(&key);
        }
    }

    pub(crate) fn remove(&mut self, key: RecordKey) {
        self.entries.swap_remove(&key);
    }

    pub(crate) fn expire(&mut self, now_ms: u64) {
        self.entries.retain(|_, entry| now_ms < entry.expires_ms);
    }

    pub(crate) fn clear(&mut self) {
        self.entries.clear();
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }
}
