//! Evidence on parts of prompts that crash servers.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::WeightsVersion;
use tokio::time::Instant;

use crate::CrashProof;
use crate::PartStanding;
use crate::ServerKey;
use crate::SuspectChange;
use crate::SuspectKind;
use crate::SuspectReport;
use crate::SuspectTable;
use crate::part_verdicts::PartVerdicts;
use crate::run_log::PartRun;
use crate::suspect_record::PartCrash;
use crate::suspect_record::SuspectRecord;

/// Requests of this host that wait for a trial of one part, or run in one. More are rejected at once.
const MAX_OPEN_TRIALS: usize = 16;

impl SuspectTable {
    /// Whether any crash or clearance is on record.
    pub fn has_evidence(&self) -> bool {
        !self.records.is_empty()
    }

    /// What the crashes on record say of a request with these parts.
    pub fn part_standing(&mut self, parts: &[u128]) -> PartStanding {
        if self.records.is_empty() || parts.is_empty() {
            return PartStanding::Clear;
        }
        self.verdicts().standing(parts)
    }

    /// Opens a trial of a part for a request of this host; `None` if too many wait for it already.
    pub fn open_trial(&mut self, part: u128) -> Option<u64> {
        let count = self.open_trials.entry(part).or_insert(0);
        if MAX_OPEN_TRIALS <= *count {
            return None;
        }
        *count += 1;
        Some(self.issue_ticket())
    }

    /// Ends a trial.
    pub fn close_trial(&mut self, part: u128, ticket: u64, now: Instant) {
        self.release(part, ticket, now);
        if let Some(count) = self.open_trials.get_mut(&part) {
            *count -= 1;
            if *count == 0 {
                self.open_trials.swap_remove(&part);
            }
        }
    }

    /// Records that the server of a run has begun to answer, which withdraws the crashes before the run from its
    /// parts. Returns their number.
    pub fn record_answering(&mut self, run: u64, now: Instant) -> usize {
        let Some((subject, began)) = self.runs.mark_answering(run) else { return 0 };
        let mut count = 0;
        for part in subject.parts.iter() {
            let Some(record) = self.records.get_mut(part) else { continue };
            let refuted = record.refute(began, subject.weights);
            if 0 < refuted {
                record.mark_changed(now);
                record.write_at = Some(now);
                count += refuted;
            }
        }
        if 0 < count {
            self.verdicts = None;
        }
        count
    }

    /// Servers that hosts have claimed to try a part. Others that run there beside it would be suspected with it.
    pub fn trial_servers(&self, now: Instant) -> Vec<ServerKey> {
        let parts = self.records.values().filter(|record| record.kind == SuspectKind::Part);
        let claims = parts.flat_map(|record| record.claimed_servers(now));
        claims.map(|(server, _)| server).collect()
    }

    /// Confirmed crashes that count against a part.
    pub fn part_crash_count(&self, part: u128) -> usize {
        self.records.get(&part).map_or(0, SuspectRecord::confirmed)
    }

    /// Parts that may be guilty, or were aboard with one, each with its confirmed crashes and the age of the latest.
    pub fn suspected_parts(&mut self, now: Instant) -> Vec<(u128, usize, Duration)> {
        let suspects = self.verdicts().suspects();
        let record = |part: u128| {
            let record = self.records.get(&part)?;
            Some((part, record.confirmed(), record.age(now)))
        };
        suspects.into_iter().filter_map(record).collect()
    }

    /// Whether the part is convicted by itself.
    pub(super) fn is_part_convicted(&mut self, part: u128) -> bool {
        self.verdicts().is_convicted(part)
    }

    fn verdicts(&mut self) -> &PartVerdicts {
        let records = &self.records;
        self.verdicts.get_or_insert_with(|| {
            let parts = records.iter().filter(|(_, record)| record.kind == SuspectKind::Part);
            PartVerdicts::of(parts.map(|(part, record)| (*part, record)))
        })
    }

    /// Counts a suspected crash of the server against the parts that ran there.
    pub(super) fn suspect_parts_at(&mut self, server: ServerKey, broken_at: Instant, now: Instant) {
        for run in self.runs.parts_at(server, broken_at) {
            let crash = part_crash(server, broken_at, run, CrashProof::Suspected);
            let record = self.record_mut(SuspectKind::Part, run.part, now);
            if record.add_part_crash(crash, run.weights) {
                record.mark_changed(now);
            }
            self.verdicts = None;
        }
    }

    /// The same for a confirmed crash.
    pub(super) fn confirm_parts_at(
        &mut self,
        server: ServerKey,
        broken_at: Instant,
        now: Instant,
        changes: &mut Vec<SuspectChange>,
    ) {
        let age = now.saturating_duration_since(broken_at);
        for run in self.runs.parts_at(server, broken_at) {
            let crash = part_crash(server, broken_at, run, CrashProof::Confirmed);
            let record = self.record_mut(SuspectKind::Part, run.part, now);
            if record.add_part_crash(crash, run.weights) {
                record.mark_changed(now);
                record.write_at = Some(now);
                self.verdicts = None;
                changes.push(self.part_change(run.part, crash, age));
            }
        }
    }

    /// Merges what another host knows of parts.
    pub(super) fn merge_parts(
        &mut self,
        from: &HostName,
        report: &SuspectReport,
        now: Instant,
        changes: &mut Vec<SuspectChange>,
    ) {
        for notice in &report.parts {
            for server in &notice.cleared {
                self.merge_clearance(SuspectKind::Part, notice.fingerprint, *server, now);
            }
            for crash in &notice.crashes {
                let age = Duration::from_millis(u64::from(crash.age_ms));
                if self.conf.retention <= age {
                    continue;
                }
                let at = now.checked_sub(age).unwrap_or(now);
                let run_time = Duration::from_millis(u64::from(crash.run_ms));
                let part_crash = PartCrash {
                    server: crash.server,
                    at,
                    began: at.checked_sub(run_time).unwrap_or(at),
                    proof: crash.proof,
                };
                let (part, weights) = (notice.fingerprint, crash.weights);
                changes.extend(self.merge_part_crash(part, part_crash, weights, now));
            }
            self.merge_claim(SuspectKind::Part, from, notice, now);
            self.verdicts = None;
        }
    }

    pub(super) fn merge_part_crash(
        &mut self,
        part: u128,
        crash: PartCrash,
        weights: Option<WeightsVersion>,
        now: Instant,
    ) -> Option<SuspectChange> {
        let repair_at = now + self.repair_delay(part);
        let is_new = !self.has(part);
        let is_starting = self.runs.starting_at(part, now).is_some();
        let record = self.record_mut(SuspectKind::Part, part, now);
        if !record.add_part_crash(crash, weights) {
            return None;
        }
        if is_new {
            record.publish_at = repair_at;
        }
        if is_starting {
            record.mark_changed(now);
        }
        if crash.proof == CrashProof::Confirmed {
            record.write_at.get_or_insert(repair_at);
        }
        self.verdicts = None;
        let age = now.saturating_duration_since(crash.at);
        Some(self.part_change(part, crash, age))
    }

    fn part_change(&mut self, part: u128, crash: PartCrash, age: Duration) -> SuspectChange {
        SuspectChange {
            kind: SuspectKind::Part,
            fingerprint: part,
            server: crash.server,
            age,
            proof: crash.proof,
            crashes: self.part_crash_count(part),
            is_convicted: self.verdicts().is_convicted(part),
        }
    }
}

fn part_crash(server: ServerKey, at: Instant, run: PartRun, proof: CrashProof) -> PartCrash {
    PartCrash { server, at, began: run.began.min(at), proof }
}
