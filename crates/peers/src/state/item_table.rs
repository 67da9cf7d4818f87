//! The newest item under each key.

use std::cmp::Ordering;

use fulmargate_names::ServerName;
use indexmap::IndexMap;

use crate::ItemRecord;
use crate::MAX_VERDICT_SERVERS;
use crate::OrderRule;
use crate::PeerItem;
use crate::RECORD_KIND_COUNT;
use crate::RecordKey;
use crate::RecordKind;
use crate::peer_item::RANK_BITS;
use crate::state::digest_buckets::DigestBuckets;
use crate::state::digest_buckets::bucket_of;
use crate::wire::SummaryEntry;

#[derive(Clone, Debug)]
struct ItemEntry {
    record: ItemRecord,
    expires_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ItemMergeResult {
    /// The record was newer and has been stored.
    Accepted,
    /// The same record is already stored.
    Known,
    /// The record is expired, or older than the stored one.
    Stale,
    /// Two hosts wrote concurrently: the item combines both writes and must be published.
    Combined(PeerItem),
}

/// Items by key, with a maximum number per kind.
#[derive(Debug)]
pub(crate) struct ItemTable {
    entries: IndexMap<RecordKey, ItemEntry>,
    counts_by_kind: [usize; RECORD_KIND_COUNT],
    digest: DigestBuckets,
}

impl ItemTable {
    pub(crate) fn new() -> ItemTable {
        ItemTable {
            entries: IndexMap::new(),
            counts_by_kind: [0; RECORD_KIND_COUNT],
            digest: DigestBuckets::new(),
        }
    }

    /// Whether any host published the same item recently enough that publishing it again is
    /// redundant.
    pub(crate) fn is_recently_published(&self, item: &PeerItem, ttl_ms: u64, now_ms: u64) -> bool {
        if item.kind().row().order == OrderRule::SingleWriter {
            return false;
        }
        let stored = self.entries.get(&item.key());
        stored.is_some_and(|stored| {
            stored.record.item == *item && stored.expires_ms > now_ms + ttl_ms / 2
        })
    }

    /// The order value for a record that replaces the stored one.
    pub(crate) fn next_order(&self, item: &PeerItem) -> u64 {
        let stored = self.entries.get(&item.key());
        item.next_order(stored.map(|stored| (stored.record.order, &stored.record.item)))
    }

    /// Stores a record if it is newer than the stored one.
    pub(crate) fn merge(&mut self, record: ItemRecord, now_ms: u64) -> ItemMergeResult {
        if record.remaining_ms == 0 {
            return ItemMergeResult::Stale;
        }
        let stored = self.entries.get(&record.item.key());
        let combined = stored.and_then(|stored| merge_concurrent_verdicts(&stored.record, &record));
        let order = stored.map_or(Ordering::Greater, |stored| record.compare(&stored.record));
        if order == Ordering::Greater && !self.insert(record, now_ms) {
            return ItemMergeResult::Stale;
        }
        match (combined, order) {
            (Some(item), _) => ItemMergeResult::Combined(item),
            (None, Ordering::Greater) => ItemMergeResult::Accepted,
            (None, Ordering::Equal) => ItemMergeResult::Known,
            (None, Ordering::Less) => ItemMergeResult::Stale,
        }
    }

    pub(crate) fn expire(&mut self, now_ms: u64) {
        let expired = self.entries.iter().filter(|(_, entry)| entry.expires_ms <= now_ms);
        let expired: Vec<RecordKey> = expired.map(|(&key, _)| key).collect();
        expired.into_iter().for_each(|key| self.remove(key));
    }

    /// The record with its remaining TTL.
    pub(crate) fn current_record(&self, key: RecordKey, now_ms: u64) -> Option<ItemRecord> {
        let entry = self.entries.get(&key)?;
        let mut record = entry.record.clone();
        record.remaining_ms = entry.expires_ms.saturating_sub(now_ms);
        (record.remaining_ms > 0).then_some(record)
    }

    pub(crate) fn keys(&self) -> Vec<RecordKey> {
        self.entries.keys().copied().collect()
    }

    pub(crate) fn items(&self, kind: RecordKind) -> impl Iterator<Item = &PeerItem> {
        let entries = self.entries.iter().filter(move |(key, _)| key.kind == kind);
        entries.map(|(_, entry)| &entry.record.item)
    }

    pub(crate) fn digest(&self) -> &DigestBuckets {
        &self.digest
    }

    pub(crate) fn summary(&self, buckets: &[u16]) -> Vec<SummaryEntry> {
        let is_covered =
            |key: &RecordKey| bucket_of(*key).is_some_and(|bucket| buckets.contains(&bucket));
        let entries = self.entries.iter().filter(|(key, _)| is_covered(key));
        entries.map(|(&key, entry)| SummaryEntry { key, stamp: entry.record.stamp() }).collect()
    }

    /// Stores a record. If the kind is at its limit, evicts the record that expires first,
    /// possibly the new one.
    fn insert(&mut self, record: ItemRecord, now_ms: u64) -> bool {
        let key = record.item.key();
        let stamp = record.stamp();
        let expires_ms = now_ms.saturating_add(record.remaining_ms);
        self.remove(key);
        self.entries.insert(key, ItemEntry { record, expires_ms });
        self.counts_by_kind[key.kind as usize] += 1;
        self.digest.toggle(key, stamp);
        if self.counts_by_kind[key.kind as usize] > key.kind.row().max_records {
            self.evict(key.kind);
        }
        self.entries.contains_key(&key)
    }

    fn evict(&mut self, kind: RecordKind) {
        let entries = self.entries.iter().filter(|(key, _)| key.kind == kind);
        let earliest = entries.min_by_key(|(_, entry)| entry.expires_ms).map(|(&key, _)| key);
        earliest.into_iter().for_each(|key| self.remove(key));
    }

    fn remove(&mut self, key: RecordKey) {
        if let Some(entry) = self.entries.swap_remove(&key) {
            self.digest.toggle(key, entry.record.stamp());
            self.counts_by_kind[key.kind as usize] -= 1;
        }
    }
}

/// Combines two verdicts written concurrently by routers that each saw a different server crash.
/// If one write replaced the other, a crash would go uncounted. All hosts derive the same result,
/// so this converges.
fn merge_concurrent_verdicts(stored: &ItemRecord, record: &ItemRecord) -> Option<PeerItem> {
    let PeerItem::CrashVerdict { fingerprint, state, servers } = &stored.item else {
        return None;
    };
    let PeerItem::CrashVerdict { state: other_state, servers: other_servers, .. } = &record.item
    else {
        return None;
    };
    let same_write_count = stored.order >> RANK_BITS == record.order >> RANK_BITS;
    if !same_write_count
        || is_superset(servers, other_servers)
        || is_superset(other_servers, servers)
    {
        return None;
    }
    let mut combined = servers.clone();
    combined.extend(other_servers.iter().cloned());
    combined.sort();
    combined.dedup();
    combined.truncate(MAX_VERDICT_SERVERS);
    Some(PeerItem::CrashVerdict {
        fingerprint: *fingerprint,
        state: *state.max(other_state),
        servers: combined,
    })
}

fn is_superset(all: &[ServerName], some: &[ServerName]) -> bool {
    some.iter().all(|server| all.contains(server))
}
