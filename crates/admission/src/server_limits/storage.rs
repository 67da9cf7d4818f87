//! Limits in the platform's store, which routers read before their first send.
//!
//! Routers that start at the same time know no limit from each other, and without the store each would send requests
//! until its first response. A stored limit that is out of date is corrected by the first response.

use std::time::Duration;

use fulmargate_names::HostName;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::LearnedLimit;
use crate::ServerLimits;
use crate::StoredLimit;
use crate::StoredLimitSlot;
use crate::limited_server::LimitedServer;

/// Number of keys. A starting router reads them all.
const SLOT_COUNT: u8 = 64;
/// Limits under one key.
const MAX_ENTRIES: usize = 64;
/// Minimum interval between two writes of a key, as a server may change its limit with each response.
const MIN_WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Delay before a router writes in place of the one whose turn it is. Longer than the interval.
const MIN_REPAIR_DELAY: Duration = Duration::from_secs(8);
const REPAIR_DELAY_RANGE_MS: u64 = 8_000;
/// Age at which a stored limit counts as observed: any response is newer.
const ASSUMED_AGE: Duration = Duration::from_secs(60);

/// What the store has under one key.
#[derive(Debug, Default)]
pub(super) struct SlotState {
    entries: Vec<StoredLimit>,
    /// When the record was read or written; `None` if the store has none.
    synced: Option<Instant>,
    /// When this router writes the key, unless another one does so before.
    write_at: Option<Instant>,
    last_write: Option<Instant>,
}

impl ServerLimits {
    /// Applies a record of the store. It is kept for servers that are not listed yet.
    pub fn read_stored(&mut self, record: &StoredLimitSlot, now: Instant) {
        if SLOT_COUNT <= record.slot {
            return;
        }
        let valid = record.entries.iter().filter(|entry| entry.is_valid());
        let entries = valid.take(MAX_ENTRIES).copied().collect();
        let state = self.slots.entry(record.slot).or_default();
        *state = SlotState { entries, synced: Some(now), write_at: None, ..*state };
    }

    /// Forgets the records that a full list of the store's records lacks, so that they are written again.
    pub fn retain_stored(&mut self, is_stored: impl Fn(u8) -> bool) {
        self.slots.retain(|slot, _| is_stored(*slot));
    }

    /// Applies the stored limits of listed servers of which nothing is known. Returns these limits.
    pub fn apply_stored(
        &mut self,
        is_listed: impl Fn(u64) -> bool,
        now: Instant,
    ) -> Vec<LearnedLimit> {
        let stored = self.slots.values().flat_map(|state| &state.entries);
        let is_new = |entry: &&StoredLimit| {
            is_listed(entry.server) && !self.servers.contains_key(&entry.server)
        };
        let new: Vec<StoredLimit> = stored.filter(is_new).copied().collect();
        new.into_iter().filter_map(|entry| self.apply_entry(entry, now)).collect()
    }

    fn apply_entry(&mut self, entry: StoredLimit, now: Instant) -> Option<LearnedLimit> {
        let observed = now.checked_sub(ASSUMED_AGE).unwrap_or(now);
        let mut limited = LimitedServer::new(observed);
        let age = now.saturating_duration_since(observed);
        let change = limited.record.merge(Some(entry.rate_per_s), age, now)?;
        self.servers.insert(entry.server, limited);
        self.update_bucket(entry.server, now);
        Some(LearnedLimit { server: entry.server, change, age })
    }

    /// Records to be written now. They count as written until [`ServerLimits::write_failed`].
    pub fn take_due_writes(&mut self, now: Instant) -> Vec<StoredLimitSlot> {
        self.refresh_touch(now);
        (0..SLOT_COUNT).filter_map(|slot| self.take_due_slot(slot, now)).collect()
    }

    fn take_due_slot(&mut self, slot: u8, now: Instant) -> Option<StoredLimitSlot> {
        if !self.is_outdated(slot) {
            if let Some(state) = self.slots.get_mut(&slot) {
                state.write_at = None;
            }
            return None;
        }
        let delay = self.write_delay(slot);
        let entries = self.known_entries(slot);
        let state = self.slots.entry(slot).or_default();
        let write_at = *state.write_at.get_or_insert(now + delay);
        let is_allowed = state.last_write.is_none_or(|last| last + MIN_WRITE_INTERVAL <= now);
        if now < write_at || !is_allowed {
            return None;
        }
        *state = SlotState {
            entries: entries.clone(),
            synced: Some(now),
            write_at: None,
            last_write: Some(now),
        };
        Some(StoredLimitSlot { slot, entries })
    }

    /// Writes these records again after the minimum interval.
    pub fn write_failed(&mut self, records: &[StoredLimitSlot]) {
        for record in records {
            if let Some(state) = self.slots.get_mut(&record.slot) {
                state.entries.clear();
                state.synced = None;
            }
        }
    }

    /// Whether the store lacks what was observed since its record was read or written.
    fn is_outdated(&self, slot: u8) -> bool {
        let state = self.slots.get(&slot);
        let synced = state.and_then(|state| state.synced);
        let mut of_slot = self.servers.iter().filter(|(server, _)| slot_of(**server) == slot);
        of_slot.any(|(server, limited)| {
            let stored = state.and_then(|state| stored_rate(state, *server));
            let is_newer = synced.is_none_or(|synced| synced < limited.record.observed());
            is_newer && stored != limited.record.rate_per_s()
        })
    }

    fn known_entries(&self, slot: u8) -> Vec<StoredLimit> {
        let of_slot = self.servers.iter().filter(|(server, _)| slot_of(**server) == slot);
        let entry = |(server, limited): (&u64, &LimitedServer)| {
            let rate_per_s = limited.record.rate_per_s()?;
            Some(StoredLimit { server: *server, rate_per_s })
        };
        of_slot.filter_map(entry).take(MAX_ENTRIES).collect()
    }

    /// The first router in touch by hash writes at once, another one only if the record does not appear.
    fn write_delay(&self, slot: u8) -> Duration {
        let order = |host: &HostName| xxh3_64_with_seed(host.as_str().as_bytes(), u64::from(slot));
        let own_order = order(&self.own);
        if self.hosts_in_touch().iter().all(|host| order(host) < own_order) {
            return Duration::ZERO;
        }
        MIN_REPAIR_DELAY + Duration::from_millis(own_order % REPAIR_DELAY_RANGE_MS)
    }
}

fn stored_rate(state: &SlotState, server: u64) -> Option<f64> {
    state.entries.iter().find(|entry| entry.server == server).map(|entry| entry.rate_per_s)
}

fn slot_of(server: u64) -> u8 {
    (server % u64::from(SLOT_COUNT)) as u8
}
