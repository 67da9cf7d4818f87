//! State of `CrashDetector`, guarded by its lock.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::CrashId;
use crate::CrashProof;
use crate::CrashSighting;
use crate::Fingerprint;
use crate::RunFit;
use crate::RunRefusal;
use crate::SuspectConf;
use crate::SuspectStanding;
use crate::SuspectVerdict;
use crate::VerdictStanding;
use crate::crash_evidence::Assessment;
use crate::crash_evidence::CrashEvidence;
use crate::run_table::RunEntry;
use crate::run_table::RunTable;
use crate::suspect_record::SuspectStatus;
use crate::trial_order::TrialOrder;

/// Maximum number of ranks for which a router waits.
const MAX_DELAYED_RANKS: u32 = 8;

/// Suspects, crashes and runs of one router.
#[derive(Debug)]
pub(crate) struct SuspectState {
    conf: SuspectConf,
    evidence: CrashEvidence,
    runs: RunTable,
    trial_order: TrialOrder,
    /// When the last run of a suspect on each server ended, on any router.
    last_suspect_ended: IndexMap<ServerName, Instant>,
}

impl SuspectState {
    pub(crate) fn new(conf: SuspectConf) -> SuspectState {
        SuspectState {
            conf,
            evidence: CrashEvidence::new(conf),
            runs: RunTable::default(),
            trial_order: TrialOrder::default(),
            last_suspect_ended: IndexMap::new(),
        }
    }

    pub(crate) fn set_trial_order(&mut self, trial_order: TrialOrder) {
        self.trial_order = trial_order;
    }

    /// Current standing of a request. May convict it.
    pub(crate) fn standing(&mut self, fingerprint: Fingerprint, now: Instant) -> SuspectStanding {
        let Some(record) = self.evidence.record(fingerprint) else {
            return SuspectStanding::Innocent;
        };
        if record.status == SuspectStatus::Convicted {
            return SuspectStanding::Convicted;
        }
        match record.crashes.len() {
            0 => return SuspectStanding::Innocent,
            1 => return SuspectStanding::Suspect,
            _ => {}
        }
        match self.evidence.assess(fingerprint, now) {
            Assessment::MayRun => SuspectStanding::Suspect,
            Assessment::Wait => SuspectStanding::Held,
            Assessment::Convict => {
                self.evidence.convict(fingerprint);
                SuspectStanding::Convicted
            }
        }
    }

    /// Whether a request may run on a server.
    pub(crate) fn run_fit(
        &mut self,
        fingerprint: Fingerprint,
        server: &ServerName,
        now: Instant,
    ) -> RunFit {
        match self.standing(fingerprint, now) {
            SuspectStanding::Innocent => RunFit::Anywhere,
            SuspectStanding::Convicted => RunFit::Never,
            SuspectStanding::Held => RunFit::Held { retry_after: self.conf.settle_time },
            SuspectStanding::Suspect if self.is_busy(fingerprint, server, now) => RunFit::Busy,
            SuspectStanding::Suspect if self.trial_order.rank(server) == 0 => RunFit::Own,
            SuspectStanding::Suspect => RunFit::Shared,
        }
    }

    /// Registers a run, if it may begin now.
    pub(crate) fn begin(
        &mut self,
        run: RunEntry,
        now: Instant,
    ) -> Result<(u64, SuspectStanding), RunRefusal> {
        let standing = self.standing(run.fingerprint, now);
        match standing {
            SuspectStanding::Innocent => {}
            SuspectStanding::Convicted => {
                // The conviction doesn't expire while callers keep sending the request.
                if let Some(record) = self.evidence.record_mut(run.fingerprint) {
                    record.mark_updated(now);
                }
                return Err(RunRefusal::Convicted);
            }
            SuspectStanding::Held => {
                return Err(RunRefusal::Held { retry_after: self.conf.settle_time });
            }
            SuspectStanding::Suspect => {
                if self.is_busy(run.fingerprint, &run.target.server, now) {
                    return Err(RunRefusal::Busy);
                }
                self.evidence.mark_changed(run.fingerprint);
            }
        }
        Ok((self.runs.begin(run), standing))
    }

    /// Ends a run with a complete response, which clears the request of all crashes.
    pub(crate) fn run_completed(&mut self, id: u64, now: Instant) {
        let Some(run) = self.remove_run(id, now) else {
            return;
        };
        let Some(record) = self.evidence.record(run.fingerprint) else {
            return;
        };
        let crashes: Vec<CrashId> = record.crashes.keys().cloned().collect();
        for crash in &crashes {
            self.evidence.clear(run.fingerprint, crash, now);
        }
    }

    /// Ends a run whose connection broke, which counts as a crash unless the server turns out to be
    /// running.
    pub(crate) fn run_broke(&mut self, id: u64, now: Instant) {
        let Some(run) = self.remove_run(id, now) else {
            return;
        };
        self.evidence.add_suspicion(
            run.fingerprint,
            &sighting_now(&run.target, CrashProof::Broken),
            now,
        );
        self.runs.remember_ended(run, &self.conf, now);
    }

    /// Ends a run for another reason, for example because the caller disconnected.
    pub(crate) fn run_abandoned(&mut self, id: u64, now: Instant) {
        let Some(run) = self.remove_run(id, now) else {
            return;
        };
        self.runs.remember_ended(run, &self.conf, now);
    }

    /// Records a confirmed crash. All requests in flight on the server become suspects.
    pub(crate) fn crashed(&mut self, server: &ServerName, incarnation: Incarnation, now: Instant) {
        let crash = CrashId { server: server.clone(), incarnation };
        self.evidence.crash_entry(&crash, now);
        self.evidence.confirm_crash(&crash);
        for run in self.runs.affected_by_crash(server, incarnation, &self.conf, now) {
            self.evidence.add_suspicion(
                run.fingerprint,
                &sighting_now(&run.target, CrashProof::Confirmed),
                now,
            );
        }
        self.confirm_crashes(server, |crashed| crashed <= incarnation);
    }

    /// Records that the server answered a probe after connections to it broke. Unconfirmed crashes
    /// of earlier incarnations are confirmed, and one of the same incarnation is discarded.
    pub(crate) fn incarnation_seen(
        &mut self,
        server: &ServerName,
        incarnation: Incarnation,
        now: Instant,
    ) {
        self.confirm_crashes(server, |crashed| crashed < incarnation);
        for crash in self.evidence.unconfirmed_crashes(server, |crashed| crashed == incarnation) {
            self.evidence.discard_crash(&crash, now);
        }
    }

    /// Merges a verdict from another router. It is not forwarded: its sender sends it to all
    /// routers.
    pub(crate) fn merge(&mut self, verdict: &SuspectVerdict, from: &HostName, now: Instant) {
        let changed = self.evidence.take_changed();
        for crash in &verdict.cleared {
            self.evidence.record_cleared_by_peer(verdict.fingerprint, crash, now);
        }
        for sighting in &verdict.crashes {
            self.evidence.add_suspicion(verdict.fingerprint, sighting, now);
        }
        let until = now + self.conf.run_lease;
        if let Some(record) = self.evidence.record_mut(verdict.fingerprint) {
            let run = verdict.running_on.clone().map(|server| (server, until));
            if let Some(server) = record.set_peer_run(from, run) {
                self.last_suspect_ended.insert(server, now);
            }
            if verdict.standing == VerdictStanding::Convicted && record.has_multiple_crashes() {
                self.evidence.convict(verdict.fingerprint);
            }
        }
        self.evidence.set_changed(changed);
        // Let the sender know that the request is in flight here, so that it doesn't run it as
        // well.
        if self.runs.target_of(verdict.fingerprint).is_some()
            && self.evidence.is_suspect(verdict.fingerprint)
        {
            self.evidence.mark_changed(verdict.fingerprint);
        }
    }

    /// Verdicts changed since the last call.
    pub(crate) fn take_changed_verdicts(&mut self, now: Instant) -> Vec<SuspectVerdict> {
        self.evidence.prune(now);
        self.last_suspect_ended
            .retain(|_, at| now.saturating_duration_since(*at) <= self.conf.run_lease);
        let fingerprints: Vec<Fingerprint> = self.evidence.fingerprints().collect();
        for fingerprint in fingerprints {
            self.standing(fingerprint, now);
        }
        let changed = self.evidence.take_changed();
        changed.into_iter().filter_map(|fingerprint| self.verdict(fingerprint, now)).collect()
    }

    /// All verdicts.
    pub(crate) fn verdicts(&self, now: Instant) -> Vec<SuspectVerdict> {
        self.evidence
            .fingerprints()
            .filter_map(|fingerprint| self.verdict(fingerprint, now))
            .collect()
    }

    /// Whether any router runs a suspect on a server.
    pub(crate) fn runs_suspect(&self, server: &ServerName, now: Instant) -> bool {
        self.runs.fingerprints_on(server).any(|fingerprint| self.evidence.is_suspect(fingerprint))
            || self.evidence.has_peer_run(server, now)
    }

    /// Whether a suspect must not start on a server now. A suspect has at most one run at a time,
    /// and no two suspects share a server, since a crash could not be attributed to either. Reports
    /// of other routers' runs arrive with a delay, so routers of a higher rank at the server wait
    /// longer before they use it.
    fn is_busy(&self, fingerprint: Fingerprint, server: &ServerName, now: Instant) -> bool {
        if self.runs.target_of(fingerprint).is_some() || self.runs_suspect(server, now) {
            return true;
        }
        let Some(record) = self.evidence.record(fingerprint) else {
            return false;
        };
        let last_crash = record.latest_crash().map(|(_, at)| at);
        let free_since = last_crash.max(self.last_suspect_ended.get(server).copied());
        let rank_delay =
            self.conf.rank_delay * self.trial_order.rank(server).min(MAX_DELAYED_RANKS);
        let too_early = free_since.is_some_and(|since| now < since + rank_delay);
        too_early || record.peer_run_servers(now).next().is_some()
    }

    /// Removes a run.
    fn remove_run(&mut self, id: u64, now: Instant) -> Option<RunEntry> {
        let run = self.runs.end(id)?;
        if self.evidence.is_suspect(run.fingerprint) {
            self.last_suspect_ended.insert(run.target.server.clone(), now);
            self.evidence.mark_changed(run.fingerprint);
        }
        Some(run)
    }

    /// Confirms the unconfirmed crashes of incarnations that have ended.
    fn confirm_crashes(&mut self, server: &ServerName, has_ended: impl Fn(Incarnation) -> bool) {
        for crash in self.evidence.unconfirmed_crashes(server, has_ended) {
            self.evidence.confirm_crash(&crash);
        }
    }

    fn verdict(&self, fingerprint: Fingerprint, now: Instant) -> Option<SuspectVerdict> {
        let record = self.evidence.record(fingerprint)?;
        let standing = match record.status {
            SuspectStatus::Convicted => VerdictStanding::Convicted,
            SuspectStatus::Suspected if record.crashes.is_empty() => VerdictStanding::Innocent,
            SuspectStatus::Suspected => VerdictStanding::Suspect,
        };
        let cleared = record.cleared.iter().cloned().collect();
        let running_on = self.runs.target_of(fingerprint).map(|target| target.server.clone());
        let crashes = self.evidence.sightings(record, now);
        Some(SuspectVerdict { fingerprint, standing, running_on, crashes, cleared })
    }
}

fn sighting_now(target: &CrashId, proof: CrashProof) -> CrashSighting {
    CrashSighting { crash: target.clone(), age: Duration::ZERO, proof }
}
