//! What the store keeps of suspected parts of prompts.

use std::time::Duration;

use tokio::time::Instant;

use crate::CrashProof;
use crate::FleetRecord;
use crate::ServerKey;
use crate::StoredPart;
use crate::SuspectChange;
use crate::SuspectKind;
use crate::SuspectTable;
use crate::suspect_record::PartCrash;
use crate::suspect_table::storage::repair_delay;
use crate::suspect_table::storage::slot_of;

/// Parts in a record; those with the most crashes come first.
const MAX_STORED_PARTS: usize = 16;

impl SuspectTable {
    /// Records of parts that have to be written now.
    pub(super) fn take_part_writes(
        &mut self,
        unix_now: Duration,
        now: Instant,
    ) -> Vec<FleetRecord> {
        let mut slots: Vec<u8> = Vec::new();
        for (part, record) in &self.records {
            let is_due = record.write_at.is_some_and(|at| at <= now) && record.is_worth_storing();
            if record.kind == SuspectKind::Part && is_due {
                slots.push(slot_of(*part));
            }
        }
        slots.sort_unstable();
        slots.dedup();
        slots.into_iter().map(|slot| self.take_part_slot(slot, unix_now, now)).collect()
    }

    fn take_part_slot(&mut self, slot: u8, unix_now: Duration, now: Instant) -> FleetRecord {
        let mut entries = Vec::new();
        for (part, record) in &mut self.records {
            let is_of_slot = record.kind == SuspectKind::Part && slot_of(*part) == slot;
            if is_of_slot && record.is_worth_storing() {
                record.write_at = None;
                let crashes = record.stored_part_crashes(unix_now, now);
                entries.push(StoredPart {
                    part: *part,
                    crashes,
                    cleared: record.cleared_servers(),
                });
            }
        }
        entries.sort_by_key(|entry| (std::cmp::Reverse(entry.crashes.len()), entry.part));
        entries.truncate(MAX_STORED_PARTS);
        FleetRecord::SuspectParts { slot, entries }
    }

    /// Merges a record of the store. Evidence that it lacks is written again. Returns what it has changed.
    pub fn apply_stored_parts(
        &mut self,
        slot: u8,
        entries: &[StoredPart],
        unix_now: Duration,
        now: Instant,
    ) -> Vec<SuspectChange> {
        let mut changes = Vec::new();
        for entry in entries {
            self.merge_stored_part(entry, unix_now, now, &mut changes);
        }
        self.reconcile_part_slot(slot, entries, now);
        changes
    }

    fn merge_stored_part(
        &mut self,
        entry: &StoredPart,
        unix_now: Duration,
        now: Instant,
        changes: &mut Vec<SuspectChange>,
    ) {
        let age_of = |at_ms: u64| unix_now.saturating_sub(Duration::from_millis(at_ms));
        let latest = entry.crashes.iter().map(|crash| age_of(crash.at_ms)).min();
        if latest.is_none_or(|age| self.conf.retention <= age) {
            return;
        }
        for server in &entry.cleared {
            self.merge_clearance(SuspectKind::Part, entry.part, *server, now);
        }
        for crash in &entry.crashes {
            let at = now.checked_sub(age_of(crash.at_ms)).unwrap_or(now);
            let run_time = Duration::from_millis(u64::from(crash.run_ms));
            let part_crash = PartCrash {
                server: crash.server,
                at,
                began: at.checked_sub(run_time).unwrap_or(at),
                proof: CrashProof::Confirmed,
            };
            changes.extend(self.merge_part_crash(entry.part, part_crash, crash.weights, now));
        }
    }

    pub(super) fn reconcile_part_slot(&mut self, slot: u8, entries: &[StoredPart], now: Instant) {
        for (part, record) in &mut self.records {
            if record.kind != SuspectKind::Part || slot_of(*part) != slot {
                continue;
            }
            let stored = entries.iter().find(|entry| entry.part == *part);
            let is_covered = stored.is_some_and(|stored| {
                let crashes: Vec<ServerKey> =
                    stored.crashes.iter().map(|crash| crash.server).collect();
                record.is_covered(&crashes, &stored.cleared)
            });
            if is_covered || !record.is_worth_storing() || MAX_STORED_PARTS <= entries.len() {
                record.write_at = None;
            } else {
                let delay = repair_delay(self.own.as_str(), *part);
                record.write_at.get_or_insert(now + delay);
            }
        }
    }
}
