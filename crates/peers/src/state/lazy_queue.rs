//! Lazy items that wait for their turn.

use indexmap::IndexMap;

use crate::PeerItem;
use crate::RECORD_KINDS;
use crate::RecordKey;
use crate::RecordKind;

/// Items that one host lets wait; the oldest is dropped for a newer one.
const WAITING_LIMIT: usize = 64;
/// A host that was silent may not make up for more than this.
const CATCH_UP_MS: u64 = 1_000;
/// Records in force that the whole fleet may put a second.
const FLEET_RECORDS_PER_S: u64 = 20;
/// Hot prefixes that a zone may put a second.
const ZONE_RECORDS_PER_S: u64 = 20;
/// Usage records that a zone's reporter may get a second.
const USAGE_RECORDS_PER_S: u64 = 10;

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
            *next_ms =
                (*next_ms).max(now_ms.saturating_sub(CATCH_UP_MS)) + spacing_ms(key.kind, size);
            due.extend(self.waiting.shift_remove(&key));
        }
        due
    }
}

fn spacing_ms(kind: RecordKind, size: FleetSize) -> u64 {
    let (hosts, zone_hosts) = (size.hosts as u64, size.zone_hosts as u64);
    match kind {
        RecordKind::ConfigInForce => hosts * 1_000 / FLEET_RECORDS_PER_S,
        RecordKind::HotPrefix => zone_hosts * 1_000 / ZONE_RECORDS_PER_S,
        RecordKind::TeamUseWord | RecordKind::DemandWord => {
            (hosts * 1_000 / FLEET_RECORDS_PER_S).max(900)
        }
        RecordKind::TeamUsage => (zone_hosts * 1_000 / USAGE_RECORDS_PER_S).max(1_000),
        _ => 0,
    }
}
