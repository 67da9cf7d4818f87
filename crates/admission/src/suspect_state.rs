//! The part of the suspect book behind its lock.

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
use crate::case_file::CaseFile;
use crate::case_file::Judgement;
use crate::run_table::RunEntry;
use crate::run_table::RunTable;
use crate::suspect_record::Guilt;
use crate::trial_order::TrialOrder;

/// Turns that a router waits for at most.
const MOST_TURNS: u32 = 8;

/// Suspects, crashes and runs.
#[derive(Debug)]
pub(crate) struct SuspectState {
    conf: SuspectConf,
    file: CaseFile,
    runs: RunTable,
    order: TrialOrder,
    /// When the last suspect's run on a server ended, here or at another router.
    freed: IndexMap<ServerName, Instant>,
}

impl SuspectState {
    /// Nothing known.
    pub(crate) fn new(conf: SuspectConf) -> SuspectState {
        SuspectState {
            conf,
            file: CaseFile::new(conf),
            runs: RunTable::default(),
            order: TrialOrder::default(),
            freed: IndexMap::new(),
        }
    }

    /// The routers' order at each server.
    pub(crate) fn set_order(&mut self, order: TrialOrder) {
        self.order = order;
    }

    /// What is held of a request now.
    pub(crate) fn standing(&mut self, print: Fingerprint, now: Instant) -> SuspectStanding {
        let Some(record) = self.file.record(print) else {
            return SuspectStanding::Innocent;
        };
        if record.guilt == Guilt::Convicted {
            return SuspectStanding::Convicted;
        }
        match record.open.len() {
            0 => return SuspectStanding::Innocent,
            1 => return SuspectStanding::Suspect,
            _ => {}
        }
        match self.file.judge(print, now) {
            Judgement::MayRun => SuspectStanding::Suspect,
            Judgement::Wait => SuspectStanding::Held,
            Judgement::Guilty => {
                self.file.convict(print);
                SuspectStanding::Convicted
            }
        }
    }

    /// How well a server suits a request, apart from load and cache.
    pub(crate) fn fit(&mut self, print: Fingerprint, server: &ServerName, now: Instant) -> RunFit {
        match self.standing(print, now) {
            SuspectStanding::Innocent => RunFit::Anywhere,
            SuspectStanding::Convicted => RunFit::Never,
            SuspectStanding::Held => RunFit::Held { retry_after: self.conf.settle },
            SuspectStanding::Suspect if self.is_busy(print, server, now) => RunFit::Busy,
            SuspectStanding::Suspect if self.order.rank(server) == 0 => RunFit::Own,
            SuspectStanding::Suspect => RunFit::Shared,
        }
    }

    /// Begins a run, if it may begin now.
    pub(crate) fn begin(
        &mut self,
        run: RunEntry,
        now: Instant,
    ) -> Result<(u64, SuspectStanding), RunRefusal> {
        let standing = self.standing(run.print, now);
        match standing {
            SuspectStanding::Innocent => {}
            SuspectStanding::Convicted => {
                // A request that is still being sent stays convicted.
                if let Some(record) = self.file.record_mut(run.print) {
                    record.touch(now);
                }
                return Err(RunRefusal::Convicted);
            }
            SuspectStanding::Held => {
                return Err(RunRefusal::Held { retry_after: self.conf.settle });
            }
            SuspectStanding::Suspect => {
                if self.is_busy(run.print, &run.place.server, now) {
                    return Err(RunRefusal::Busy);
                }
                self.file.mark_changed(run.print);
            }
        }
        Ok((self.runs.begin(run), standing))
    }

    /// The run's whole answer came: the request crashes nothing.
    pub(crate) fn ended_well(&mut self, id: u64, now: Instant) {
        let Some(run) = self.end(id, now) else {
            return;
        };
        let Some(record) = self.file.record(run.print) else {
            return;
        };
        let crashes: Vec<CrashId> = record.open.keys().cloned().collect();
        for crash in &crashes {
            self.file.clear(run.print, crash, now);
        }
    }

    /// The run's connection broke: a crash unless the server turns out to live.
    pub(crate) fn broke(&mut self, id: u64, now: Instant) {
        let Some(run) = self.end(id, now) else {
            return;
        };
        self.file.accuse(run.print, &sighted(&run.place, CrashProof::Broken), now);
        self.runs.remember(run, &self.conf, now);
    }

    /// The run ended for another reason, for example since its caller hung up.
    pub(crate) fn withdraw(&mut self, id: u64, now: Instant) {
        let Some(run) = self.end(id, now) else {
            return;
        };
        self.runs.remember(run, &self.conf, now);
    }

    /// The server's process has ended: all that was under way there is suspect.
    pub(crate) fn crashed(&mut self, server: &ServerName, incarnation: Incarnation, now: Instant) {
        let crash = CrashId { server: server.clone(), incarnation };
        self.file.note_crash(&crash, now);
        self.file.confirm(&crash);
        for run in self.runs.victims(server, incarnation, &self.conf, now) {
            self.file.accuse(run.print, &sighted(&run.place, CrashProof::Confirmed), now);
        }
        self.prove(server, |place| place <= incarnation);
    }

    /// The server was heard after connections to it broke: a break under the same incarnation was
    /// no crash, one under an earlier incarnation was.
    pub(crate) fn seen(&mut self, server: &ServerName, incarnation: Incarnation, now: Instant) {
        self.prove(server, |place| place < incarnation);
        for crash in self.file.unproven(server, |place| place == incarnation) {
            self.file.dismiss(&crash, now);
        }
    }

    /// Another router's word. It is not told on: its origin tells all.
    pub(crate) fn learn(&mut self, verdict: &SuspectVerdict, from: &HostName, now: Instant) {
        let changed = self.file.take_changed();
        for crash in &verdict.cleared {
            self.file.learn_cleared(verdict.print, crash, now);
        }
        for sighting in &verdict.crashes {
            self.file.accuse(verdict.print, sighting, now);
        }
        let until = now + self.conf.run_lease;
        if let Some(record) = self.file.record_mut(verdict.print) {
            let run = verdict.running_on.clone().map(|server| (server, until));
            if let Some(server) = record.set_runner(from, run) {
                self.freed.insert(server, now);
            }
            if verdict.standing == VerdictStanding::Convicted && record.is_repeated() {
                self.file.convict(verdict.print);
            }
        }
        self.file.set_changed(changed);
        // The sender would run it again, not knowing that it is under way here, too.
        if self.runs.place_of(verdict.print).is_some() && self.file.is_suspect(verdict.print) {
            self.file.mark_changed(verdict.print);
        }
    }

    /// What has changed since the last call.
    pub(crate) fn news(&mut self, now: Instant) -> Vec<SuspectVerdict> {
        self.file.prune(now);
        self.freed.retain(|_, at| now.saturating_duration_since(*at) <= self.conf.run_lease);
        let prints: Vec<Fingerprint> = self.file.prints().collect();
        for print in prints {
            self.standing(print, now);
        }
        let changed = self.file.take_changed();
        changed.into_iter().filter_map(|print| self.verdict(print, now)).collect()
    }

    /// All that is known.
    pub(crate) fn verdicts(&self, now: Instant) -> Vec<SuspectVerdict> {
        self.file.prints().filter_map(|print| self.verdict(print, now)).collect()
    }

    /// Whether a suspect runs on a server, through any router.
    pub(crate) fn has_suspect(&self, server: &ServerName, now: Instant) -> bool {
        self.runs.prints_on(server).any(|print| self.file.is_suspect(print))
            || self.file.runs_elsewhere(server, now)
    }

    /// A suspect runs once at a time, and with no other suspect on its server: if two crashed it
    /// together, neither could be told from the other. Routers hear of each other's runs late, so
    /// they take turns at a server in a fixed order, each a little after the one before it.
    fn is_busy(&self, print: Fingerprint, server: &ServerName, now: Instant) -> bool {
        if self.runs.place_of(print).is_some() || self.has_suspect(server, now) {
            return true;
        }
        let Some(record) = self.file.record(print) else {
            return false;
        };
        let suspected = record.latest().map(|(_, at)| at);
        let free_since = suspected.max(self.freed.get(server).copied());
        let turn = self.conf.turn * self.order.rank(server).min(MOST_TURNS);
        let too_early = free_since.is_some_and(|since| now < since + turn);
        too_early || record.runs_elsewhere(now).next().is_some()
    }

    /// Takes a run out.
    fn end(&mut self, id: u64, now: Instant) -> Option<RunEntry> {
        let run = self.runs.end(id)?;
        if self.file.is_suspect(run.print) {
            self.freed.insert(run.place.server.clone(), now);
            self.file.mark_changed(run.print);
        }
        Some(run)
    }

    /// Breaks under these incarnations were crashes.
    fn prove(&mut self, server: &ServerName, ended: impl Fn(Incarnation) -> bool) {
        for crash in self.file.unproven(server, ended) {
            self.file.confirm(&crash);
        }
    }

    fn verdict(&self, print: Fingerprint, now: Instant) -> Option<SuspectVerdict> {
        let record = self.file.record(print)?;
        let standing = match record.guilt {
            Guilt::Convicted => VerdictStanding::Convicted,
            Guilt::Open if record.open.is_empty() => VerdictStanding::Innocent,
            Guilt::Open => VerdictStanding::Suspect,
        };
        let cleared = record.cleared.iter().cloned().collect();
        let running_on = self.runs.place_of(print).map(|place| place.server.clone());
        let crashes = self.file.sightings(record, now);
        Some(SuspectVerdict { print, standing, running_on, crashes, cleared })
    }
}

/// A crash that is seen at this moment.
fn sighted(place: &CrashId, proof: CrashProof) -> CrashSighting {
    CrashSighting { crash: place.clone(), age: Duration::ZERO, proof }
}
