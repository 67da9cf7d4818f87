//! The newest item under each key.

use std::cmp::Ordering;

use fulmargate_names::ServerName;
use indexmap::IndexMap;

use crate::ItemRecord;
use crate::OrderRule;
use crate::PeerItem;
use crate::RECORD_KINDS;
use crate::RecordKey;
use crate::RecordKind;
use crate::VERDICT_SERVERS;
use crate::peer_item::RANK_BITS;
use crate::state::digest_cells::DigestCells;
use crate::state::digest_cells::bucket_of;
use crate::wire::SummaryEntry;

#[derive(Clone, Debug)]
struct ItemEntry {
    record: ItemRecord,
    expires_ms: u64,
}

/// What came of taking a record in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ItemMerge {
    /// It is the newest.
    Accepted,
    /// It is held already.
    Known,
    /// What is held is newer, or it has expired.
    Stale,
    /// Two hosts wrote without knowing of each other: this says what both say.
    Joined(PeerItem),
}

/// Items by key, each kind bounded in number.
#[derive(Debug)]
pub(crate) struct ItemTable {
    entries: IndexMap<RecordKey, ItemEntry>,
    counts: [usize; RECORD_KINDS],
    cells: DigestCells,
}

impl ItemTable {
    pub(crate) fn new() -> ItemTable {
        ItemTable { entries: IndexMap::new(), counts: [0; RECORD_KINDS], cells: DigestCells::new() }
    }

    /// Whether the same was said, by anyone, so lately that saying it again is waste.
    pub(crate) fn is_fresh(&self, item: &PeerItem, ttl_ms: u64, now_ms: u64) -> bool {
        if item.kind().row().order == OrderRule::SingleWriter {
            return false;
        }
        let held = self.entries.get(&item.key());
        held.is_some_and(|held| held.record.item == *item && held.expires_ms > now_ms + ttl_ms / 2)
    }

    /// The order for a record that replaces what is held under the item's key.
    pub(crate) fn next_order(&self, item: &PeerItem) -> u64 {
        let held = self.entries.get(&item.key());
        item.next_order(held.map(|held| (held.record.order, &held.record.item)))
    }

    /// Takes a record in when it is newer than what is held.
    pub(crate) fn merge(&mut self, record: ItemRecord, now_ms: u64) -> ItemMerge {
        if record.remaining_ms == 0 {
            return ItemMerge::Stale;
        }
        let held = self.entries.get(&record.item.key());
        let joined = held.and_then(|held| join_verdicts(&held.record, &record));
        let order = held.map_or(Ordering::Greater, |held| record.compare(&held.record));
        if order == Ordering::Greater && !self.insert(record, now_ms) {
            return ItemMerge::Stale;
        }
        match (joined, order) {
            (Some(item), _) => ItemMerge::Joined(item),
            (None, Ordering::Greater) => ItemMerge::Accepted,
            (None, Ordering::Equal) => ItemMerge::Known,
            (None, Ordering::Less) => ItemMerge::Stale,
        }
    }

    pub(crate) fn expire(&mut self, now_ms: u64) {
        let over = self.entries.iter().filter(|(_, entry)| entry.expires_ms <= now_ms);
        let over: Vec<RecordKey> = over.map(|(&key, _)| key).collect();
        over.into_iter().for_each(|key| self.remove(key));
    }

    /// A record with what is left of its life, to be sent.
    pub(crate) fn aged(&self, key: RecordKey, now_ms: u64) -> Option<ItemRecord> {
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

    pub(crate) fn cells(&self) -> &DigestCells {
        &self.cells
    }

    pub(crate) fn summary(&self, buckets: &[u16]) -> Vec<SummaryEntry> {
        let covered =
            |key: &RecordKey| bucket_of(*key).is_some_and(|bucket| buckets.contains(&bucket));
        let entries = self.entries.iter().filter(|(key, _)| covered(key));
        entries.map(|(&key, entry)| SummaryEntry { key, stamp: entry.record.stamp() }).collect()
    }

    /// A full kind loses the record that expires first, which may be the new one.
    fn insert(&mut self, record: ItemRecord, now_ms: u64) -> bool {
        let key = record.item.key();
        let stamp = record.stamp();
        let expires_ms = now_ms.saturating_add(record.remaining_ms);
        self.remove(key);
        self.entries.insert(key, ItemEntry { record, expires_ms });
        self.counts[key.kind as usize] += 1;
        self.cells.toggle(key, stamp);
        if self.counts[key.kind as usize] > key.kind.row().limit {
            self.evict(key.kind);
        }
        self.entries.contains_key(&key)
    }

    fn evict(&mut self, kind: RecordKind) {
        let entries = self.entries.iter().filter(|(key, _)| key.kind == kind);
        let first = entries.min_by_key(|(_, entry)| entry.expires_ms).map(|(&key, _)| key);
        first.into_iter().for_each(|key| self.remove(key));
    }

    fn remove(&mut self, key: RecordKey) {
        if let Some(entry) = self.entries.swap_remove(&key) {
            self.cells.toggle(key, entry.record.stamp());
            self.counts[key.kind as usize] -= 1;
        }
    }
}

/// A request that crashes two servers at about the same time is suspected at two routers, each
/// naming its own server. Were one record simply to replace the other, a crash would be forgotten
/// and a third server lost. What both say is written anew; the same on each host, so it ends there.
fn join_verdicts(held: &ItemRecord, record: &ItemRecord) -> Option<PeerItem> {
    let PeerItem::CrashVerdict { fingerprint, state, servers } = &held.item else {
        return None;
    };
    let PeerItem::CrashVerdict { state: other_state, servers: other_servers, .. } = &record.item
    else {
        return None;
    };
    let same_write = held.order >> RANK_BITS == record.order >> RANK_BITS;
    if !same_write || contains_all(servers, other_servers) || contains_all(other_servers, servers) {
        return None;
    }
    let mut joined = servers.clone();
    joined.extend(other_servers.iter().cloned());
    joined.sort();
    joined.dedup();
    joined.truncate(VERDICT_SERVERS);
    Some(PeerItem::CrashVerdict {
        fingerprint: *fingerprint,
        state: *state.max(other_state),
        servers: joined,
    })
}

fn contains_all(all: &[ServerName], some: &[ServerName]) -> bool {
    some.iter().all(|server| all.contains(server))
}
