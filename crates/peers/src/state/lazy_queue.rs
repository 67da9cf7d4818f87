//! Lazy items that wait for their turn.

use indexmap::IndexMap;

use crate::PeerItem;
use crate::RECORD_KINDS;
use crate::RecordKey;
use crate::RecordKind;
use crate::wire::item_len;

/// Items that one host lets wait; the oldest is dropped for a newer one.
const WAITING_LIMIT: usize = 64;
/// A host that was silent may not make up for more than this.
const CATCH_UP_MS: u64 = 1_000;
/// Shortest time between two usage records of a host.
const USAGE_MS: u64 = 1_000;

/// Sizes that pace a host's items.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    pub(crate) hosts: usize,
    pub(crate) zone_hosts: usize,
}

/// Newest item of each key, let go at a pace that falls as the fleet grows: what a host receives
/// stays the same, and a record is older when it arrives.
#[derive(Debug, Default)]
pub(crate) struct LazyQueue {
    waiting: IndexMap<RecordKey, PeerItem>,
    next_ms: [u64; RECORD_KINDS],
}

impl LazyQueue {
    pub(crate) fn push(&mut self, item: PeerItem) {
        let key = item.key();
        self.waiting.insert(key, item);
        if self.waiting.len() > WAITING_LIMIT {
            self.waiting.shift_remove_index(0);
        }
    }

    /// Items whose turn has come.
    pub(crate) fn take_due(&mut self, size: FleetSize, now_ms: u64) -> Vec<PeerItem> {
        let keys: Vec<RecordKey> = self.waiting.keys().copied().collect();
        let mut due = Vec::new();
        for key in keys {
            let next_ms = &mut self.next_ms[key.kind as usize];
            if *next_ms > now_ms {
                continue;
            }
            let Some(item) = self.waiting.shift_remove(&key) else {
                continue;
            };
            let earliest_ms = now_ms.saturating_sub(CATCH_UP_MS);
            *next_ms = (*next_ms).max(earliest_ms) + spacing_ms(&item, size);
            due.push(item);
        }
        due
    }
}

/// A host's share of the bytes that all writers of the kind together may make a second.
fn spacing_ms(item: &PeerItem, size: FleetSize) -> u64 {
    let (writers, bytes_per_s) = match item.kind() {
        RecordKind::ConfigInForce => (size.hosts, 500),
        RecordKind::TeamUseWord => (size.hosts, 1_000),
        // Reports of demand count for five seconds: six hosts tell theirs each 2.3 s.
        RecordKind::DemandWord => (size.hosts, 1_600),
        RecordKind::HotPrefix => (size.zone_hosts, 500),
        RecordKind::TeamUsage => (size.zone_hosts, 2_500),
        // One host of the fleet writes these.
        RecordKind::PlanWord => (1, 500),
        _ => return 0,
    };
    let spacing_ms = (item_len(item) * writers * 1_000 / bytes_per_s) as u64;
    match item.kind() {
        RecordKind::TeamUsage => spacing_ms.max(USAGE_MS),
        _ => spacing_ms,
    }
}
