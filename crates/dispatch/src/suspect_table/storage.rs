//! What the store keeps of suspected requests.
//!
//! The store keeps the newest record of each key. A record holds all that its writer knows of the requests of one key,
//! so that a host whose evidence was replaced by another's record finds that out, and writes both.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::CrashProof;
use crate::FleetRecord;
use crate::StoredSuspect;
use crate::SuspectChange;
use crate::SuspectKind;
use crate::SuspectTable;

/// Number of keys. A starting host reads them all.
const KEY_COUNT: u128 = 256;
/// Requests in a record; those with the most crashes come first, then the newest.
const MAX_STORED_REQUESTS: usize = 16;
/// Delay before another host's evidence is written if the store still lacks it, so that not all hosts write at once.
const MIN_REPAIR_DELAY: Duration = Duration::from_secs(2);
const REPAIR_DELAY_RANGE_MS: u64 = 4_000;
/// Delay before a failed write is tried again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

impl SuspectTable {
    /// Records that have to be written now. They count as written until [`SuspectTable::write_failed`].
    pub fn take_due_writes(&mut self, unix_now: Duration, now: Instant) -> Vec<FleetRecord> {
        let is_due = |at: Option<Instant>| at.is_some_and(|at| at <= now);
        let mut slots: Vec<u8> = Vec::new();
        for (fingerprint, record) in &self.records {
            if record.kind == SuspectKind::Request && is_due(record.write_at) {
                slots.push(slot_of(*fingerprint));
            }
        }
        slots.sort_unstable();
        slots.dedup();
        let mut records: Vec<FleetRecord> =
            slots.into_iter().map(|slot| self.take_slot(slot, unix_now, now)).collect();
        records.extend(self.take_part_writes(unix_now, now));
        records
    }

    fn take_slot(&mut self, slot: u8, unix_now: Duration, now: Instant) -> FleetRecord {
        let mut entries = Vec::new();
        for (fingerprint, record) in &mut self.records {
            if record.kind == SuspectKind::Request && slot_of(*fingerprint) == slot {
                record.write_at = None;
                entries.extend(record.stored(*fingerprint, unix_now, now));
            }
        }
        entries.sort_by_key(|entry| {
            std::cmp::Reverse((entry.crashes.len(), entry.last_crash_s, entry.fingerprint))
        });
        entries.truncate(MAX_STORED_REQUESTS);
        FleetRecord::Suspects { slot, entries }
    }

    /// Writes the requests of these records again later.
    pub fn write_failed(&mut self, records: &[FleetRecord], now: Instant) {
        for record in records {
            let (slot, kind) = match record {
                FleetRecord::Suspects { slot, .. } => (slot, SuspectKind::Request),
                FleetRecord::SuspectParts { slot, .. } => (slot, SuspectKind::Part),
                _ => continue,
            };
            for (fingerprint, record) in &mut self.records {
                if record.kind == kind && slot_of(*fingerprint) == *slot {
                    record.write_at = Some(now + WRITE_RETRY_DELAY);
                }
            }
        }
    }

    /// Merges a record of the store. Evidence that it lacks is written again. Returns what it has changed.
    pub fn apply_stored(
        &mut self,
        slot: u8,
        entries: &[StoredSuspect],
        unix_now: Duration,
        now: Instant,
    ) -> Vec<SuspectChange> {
        let mut changes = Vec::new();
        for entry in entries {
            changes.extend(self.merge_stored(entry, unix_now, now));
        }
        self.reconcile_slot(slot, entries, now);
        changes
    }

    /// Merges what the store has of one request. Returns what it has changed.
    pub fn merge_stored(
        &mut self,
        entry: &StoredSuspect,
        unix_now: Duration,
        now: Instant,
    ) -> Vec<SuspectChange> {
        let mut changes = Vec::new();
        let age = unix_now.saturating_sub(Duration::from_secs(entry.last_crash_s));
        if self.conf.retention <= age {
            return changes;
        }
        for server in &entry.cleared {
            self.merge_clearance(SuspectKind::Request, entry.fingerprint, *server, now);
        }
        for server in &entry.crashes {
            let (print, proof) = (entry.fingerprint, CrashProof::Confirmed);
            changes.extend(self.merge_crash(print, *server, age, proof, now));
        }
        changes
    }

    /// Writes again what a full list of the store's records, of which these are the keys, lacks.
    pub fn reconcile_stored(&mut self, listed_keys: &[&str], now: Instant) {
        for slot in 0..=u8::MAX {
            let key = FleetRecord::Suspects { slot, entries: Vec::new() }.key();
            if !listed_keys.contains(&key.as_str()) {
                self.reconcile_slot(slot, &[], now);
            }
            let key = FleetRecord::SuspectParts { slot, entries: Vec::new() }.key();
            if !listed_keys.contains(&key.as_str()) {
                self.reconcile_part_slot(slot, &[], now);
            }
        }
    }

    fn reconcile_slot(&mut self, slot: u8, entries: &[StoredSuspect], now: Instant) {
        let own_order = |fingerprint| repair_delay(self.own.as_str(), fingerprint);
        for (fingerprint, record) in &mut self.records {
            if record.kind != SuspectKind::Request || slot_of(*fingerprint) != slot {
                continue;
            }
            let stored = entries.iter().find(|entry| entry.fingerprint == *fingerprint);
            let is_covered = stored.is_some_and(|stored| record.is_covered_by(stored));
            if is_covered || !record.is_worth_storing() || MAX_STORED_REQUESTS <= entries.len() {
                record.write_at = None;
            } else {
                record.write_at.get_or_insert(now + own_order(*fingerprint));
            }
        }
    }

    /// Delay before evidence of another host is published or written by this one.
    pub(super) fn repair_delay(&self, fingerprint: u128) -> Duration {
        repair_delay(self.own.as_str(), fingerprint)
    }
}

pub(super) fn repair_delay(host: &str, fingerprint: u128) -> Duration {
    let hash = xxh3_64_with_seed(host.as_bytes(), fingerprint as u64);
    MIN_REPAIR_DELAY + Duration::from_millis(hash % REPAIR_DELAY_RANGE_MS)
}

pub(super) fn slot_of(fingerprint: u128) -> u8 {
    (fingerprint % KEY_COUNT) as u8
}
