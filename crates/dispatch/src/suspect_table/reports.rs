//! Reports of suspects between hosts.

use std::time::Duration;

use fulmargate_names::HostName;
use tokio::time::Instant;

use crate::ClaimNotice;
use crate::ClaimStage;
use crate::ServerKey;
use crate::SuspectChange;
use crate::SuspectKind;
use crate::SuspectNotice;
use crate::SuspectReport;
use crate::SuspectTable;
use crate::suspect_table::CLAIM_TTL;
use crate::suspect_table::MAX_REPORTED;
use crate::suspect_table::MIN_REFRESH_INTERVAL;
use crate::suspect_table::REFRESH_INTERVAL_PER_HOST;

impl SuspectTable {
    /// The next report to the other hosts, in a fleet of this size.
    pub fn take_report(&mut self, hosts: usize, now: Instant) -> SuspectReport {
        let refresh_interval = (REFRESH_INTERVAL_PER_HOST * hosts as u32).max(MIN_REFRESH_INTERVAL);
        let conf = self.conf;
        self.records.retain(|_, record| record.retain(&conf, now));
        self.verdicts = None;
        SuspectReport {
            suspects: self.take_notices(SuspectKind::Request, refresh_interval, now),
            probes: self.probe_notices(now),
            parts: self.take_notices(SuspectKind::Part, refresh_interval, now),
        }
    }

    /// Notices on the records of this kind that are due, those with the most crashes first.
    fn take_notices(
        &mut self,
        kind: SuspectKind,
        refresh_interval: Duration,
        now: Instant,
    ) -> Vec<SuspectNotice> {
        let mut due: Vec<(usize, Instant, u128)> = Vec::new();
        for (fingerprint, record) in &self.records {
            if record.kind == kind && record.publish_at <= now {
                let minor = match kind {
                    SuspectKind::Part => usize::MAX - record.possible(),
                    SuspectKind::Request => 0,
                };
                due.push((minor, record.publish_at, *fingerprint));
            }
        }
        due.sort_unstable();
        due.truncate(MAX_REPORTED);
        let mut notices = Vec::new();
        for (.., fingerprint) in due {
            let running_at = self.running_at(kind, fingerprint, now);
            let Some(record) = self.records.get_mut(&fingerprint) else { continue };
            let mut notice = record.notice(fingerprint, now);
            let running_at = running_at.filter(|_| record.possible() != 0);
            if let Some(server) = running_at {
                notice.claim =
                    Some(ClaimNotice { stage: ClaimStage::Running, server: Some(server) });
            }
            let is_running = running_at.is_some();
            notices.push(notice);
            record.mark_published(if is_running { CLAIM_TTL / 4 } else { refresh_interval }, now);
        }
        notices
    }

    /// A server at which the request is in flight, or a run with the part may still crash it.
    pub(super) fn running_at(
        &self,
        kind: SuspectKind,
        fingerprint: u128,
        now: Instant,
    ) -> Option<ServerKey> {
        match kind {
            SuspectKind::Request => self.runs.servers_of(fingerprint).next(),
            SuspectKind::Part => self.runs.starting_at(fingerprint, now),
        }
    }

    /// Merges the report of another host. Returns what it has changed.
    pub fn merge(
        &mut self,
        from: &HostName,
        report: &SuspectReport,
        now: Instant,
    ) -> Vec<SuspectChange> {
        self.merge_probes(from, report, now);
        let mut changes = Vec::new();
        for notice in &report.suspects {
            let fingerprint = notice.fingerprint;
            for server in &notice.cleared {
                self.merge_clearance(SuspectKind::Request, fingerprint, *server, now);
            }
            for crash in &notice.crashes {
                let age = Duration::from_millis(u64::from(crash.age_ms));
                if age < self.conf.retention {
                    let change = self.merge_crash(fingerprint, crash.server, age, crash.proof, now);
                    changes.extend(change);
                }
            }
            self.merge_claim(SuspectKind::Request, from, notice, now);
        }
        self.merge_parts(from, report, now, &mut changes);
        changes
    }

    pub(super) fn merge_claim(
        &mut self,
        kind: SuspectKind,
        from: &HostName,
        notice: &SuspectNotice,
        now: Instant,
    ) {
        let is_running = self.running_at(kind, notice.fingerprint, now).is_some();
        if let Some(record) = self.records.get_mut(&notice.fingerprint) {
            record.set_claim(from, notice.claim, now + CLAIM_TTL);
            // The others must not run what is in flight here.
            if is_running && notice.claim.is_some() {
                record.mark_changed(now);
            }
        }
    }
}
