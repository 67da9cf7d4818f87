//! Rate-limited queue of lazy items.

use indexmap::IndexMap;

use crate::PeerItem;
use crate::RECORD_KIND_COUNT;
use crate::RecordKey;
use crate::RecordKind;
use crate::wire::estimated_record_len;

/// Maximum number of pending items; the oldest is dropped first.
const MAX_PENDING_ITEMS: usize = 64;
/// Maximum idle time that a host may make up for by sending faster.
const MAX_CATCH_UP_MS: u64 = 1_000;
/// Minimum interval between two usage records of a host.
const MIN_USAGE_INTERVAL_MS: u64 = 1_000;

/// Number of hosts that share a rate limit.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    pub(crate) hosts: usize,
    pub(crate) zone_hosts: usize,
}

/// Pending lazy items, the newest under each key. The send interval grows with the fleet, which
/// keeps the receive rate of each host constant.
#[derive(Debug, Default)]
pub(crate) struct PacedQueue {
    pending: IndexMap<RecordKey, PeerItem>,
    next_send_ms: [u64; RECORD_KIND_COUNT],
}

impl PacedQueue {
    pub(crate) fn push(&mut self, item: PeerItem) {
        let key = item.key();
        self.pending.insert(key, item);
        if self.pending.len() > MAX_PENDING_ITEMS {
            self.pending.shift_remove_index(0);
        }
    }

    /// Takes the items whose send interval has passed.
    pub(crate) fn take_due(&mut self, size: FleetSize, now_ms: u64) -> Vec<PeerItem> {
        let keys: Vec<RecordKey> = self.pending.keys().copied().collect();
        let mut due = Vec::new();
        for key in keys {
            let next_send_ms = &mut self.next_send_ms[key.kind as usize];
            if *next_send_ms > now_ms {
                continue;
            }
            let Some(item) = self.pending.shift_remove(&key) else {
                continue;
            };
            let earliest_ms = now_ms.saturating_sub(MAX_CATCH_UP_MS);
            *next_send_ms = (*next_send_ms).max(earliest_ms) + send_interval_ms(&item, size);
            due.push(item);
        }
        due
    }
}

/// Interval after `item` at which this host stays within its share of the rate limit of the kind.
fn send_interval_ms(item: &PeerItem, size: FleetSize) -> u64 {
    let (writers, bytes_per_s) = match item.kind() {
        RecordKind::ConfigInForce => (size.hosts, 500),
        RecordKind::TeamUsePayload => (size.hosts, 1_000),
        // Demand reports count for 5 s. With this rate, six hosts send theirs every 2.3 s.
        RecordKind::DemandPayload => (size.hosts, 1_600),
        RecordKind::HotPrefix => (size.zone_hosts, 500),
        RecordKind::TeamUsage => (size.zone_hosts, 2_500),
        // Only one host of the fleet writes these.
        RecordKind::PlanPayload => (1, 500),
        _ => return 0,
    };
    let interval_ms = (estimated_record_len(item) * writers * 1_000 / bytes_per_s) as u64;
    match item.kind() {
        RecordKind::TeamUsage => interval_ms.max(MIN_USAGE_INTERVAL_MS),
        _ => interval_ms,
    }
}
