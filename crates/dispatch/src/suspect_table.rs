//! Requests that crash the servers that run them, as known to one host.

mod checks;
mod overview;
mod parts;
mod reports;
mod storage;
mod stored_parts;
mod turns;

use std::time::Duration;

use fulmargate_names::HostName;
use indexmap::IndexMap;
use tokio::time::Instant;

pub(crate) use self::checks::MAX_PROBING_HOSTS;
use self::checks::ProbeRecord;
use self::checks::ServerCheck;
use crate::CrashProof;
use crate::RunEnd;
use crate::RunSubject;
use crate::ServerKey;
use crate::SuspectKind;
use crate::completed_set::CompletedSet;
use crate::part_verdicts::PartVerdicts;
use crate::run_log::RunLog;
use crate::suspect_record::SuspectRecord;

/// Upper bound on tracked requests and parts. Those with the fewest crashes are dropped first, then the oldest.
const MAX_TRACKED: usize = 4_096;
/// Requests in a report, and parts. The others follow in the next ones.
const MAX_REPORTED: usize = 64;
/// Interval at which a request that has to wait tries again.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a host's claim counts after its last report. Longer than two publications of it are apart.
const CLAIM_TTL: Duration = Duration::from_secs(2);
/// Interval at which one host of the fleet publishes a record that has not changed, times the number of hosts.
const REFRESH_INTERVAL_PER_HOST: Duration = Duration::from_millis(500);
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(2);

/// Limits of the suspect table.
#[derive(Clone, Copy, Debug)]
pub struct SuspectConf {
    /// Number of crashed servers from which a request is rejected. Two may crash by coincidence while
    /// they run a request that is not the cause; three hardly do.
    pub max_crashes: usize,
    /// How long a request is tracked after its latest crash.
    pub retention: Duration,
    /// How long a crash counts that is not confirmed.
    pub suspicion_ttl: Duration,
}

impl Default for SuspectConf {
    fn default() -> SuspectConf {
        SuspectConf {
            max_crashes: 3,
            retention: Duration::from_secs(600),
            suspicion_ttl: Duration::from_secs(3),
        }
    }
}

/// Whether a request may be sent to a server now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunStep {
    /// It is not suspected and may be sent to any server.
    Run,
    /// It is suspected and may be sent to this server.
    RunAt(ServerKey),
    /// It has to wait at least this long: it is suspected, and another run of it has not ended.
    Wait(Duration),
    /// It crashes servers.
    Convicted,
}

/// A change of the evidence on a request or a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectChange {
    /// What the crash counts against.
    pub kind: SuspectKind,
    /// Fingerprint of the request, or key of the part.
    pub fingerprint: u128,
    /// The server that crashed.
    pub server: ServerKey,
    /// Time since the crash.
    pub age: Duration,
    /// Whether the crash is confirmed.
    pub proof: CrashProof,
    /// Confirmed crashes that count against it.
    pub crashes: usize,
    /// Whether it is convicted.
    pub is_convicted: bool,
}

/// Evidence on requests and parts of prompts that crash servers, merged from this host's findings, gossip and the store.
///
/// A request with a crash on record is suspected: it runs once at a time over all hosts, and apart from other suspects.
/// A host that wants to run it publishes a claim of a server, and waits until the others must have received it.
#[derive(Debug)]
pub struct SuspectTable {
    own: HostName,
    conf: SuspectConf,
    records: IndexMap<u128, SuspectRecord>,
    runs: RunLog,
    /// A request that a server completed a moment ago does not crash servers, whatever ends while it runs.
    completed: CompletedSet,
    checks: IndexMap<ServerKey, ServerCheck>,
    probes: IndexMap<ServerKey, ProbeRecord>,
    /// What follows from the records of parts; `None` if these have changed since.
    verdicts: Option<PartVerdicts>,
    /// Requests of this host that wait for a trial of a part, or run in one.
    open_trials: IndexMap<u128, usize>,
    /// Time after which the other hosts have received a published claim.
    settle_time: Duration,
    next_ticket: u64,
}

impl SuspectTable {
    /// Creates a table without evidence for this host.
    pub fn new(own: HostName, conf: SuspectConf) -> SuspectTable {
        SuspectTable {
            own,
            conf,
            records: IndexMap::new(),
            runs: RunLog::default(),
            completed: CompletedSet::default(),
            checks: IndexMap::new(),
            probes: IndexMap::new(),
            verdicts: None,
            open_trials: IndexMap::new(),
            settle_time: Duration::ZERO,
            next_ticket: 0,
        }
    }

    /// Sets the time after which the other hosts have received what this one published.
    pub fn set_settle_time(&mut self, settle_time: Duration) {
        self.settle_time = settle_time;
    }

    /// A new ticket for the claims of one request.
    pub fn issue_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Whether the request is rejected.
    pub fn is_convicted(&self, fingerprint: u128, now: Instant) -> bool {
        self.crash_count(fingerprint, now) >= self.conf.max_crashes
    }

    /// Confirmed crashes that count against the request.
    pub fn crash_count(&self, fingerprint: u128, now: Instant) -> usize {
        let record = self.records.get(&fingerprint);
        let record = record.filter(|record| record.age(now) < self.conf.retention);
        record.map_or(0, SuspectRecord::confirmed)
    }

    /// Whether crashes count against the request, confirmed or not.
    pub fn is_suspected(&self, fingerprint: u128) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| 0 < record.possible())
    }

    /// Whether crashes that are not all confirmed hold the request back.
    pub fn is_held_back(&self, fingerprint: u128) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| self.conf.max_crashes <= record.possible())
    }

    /// Incarnations of servers that count against the request or the part.
    pub fn crashed_servers(&self, fingerprint: u128) -> Vec<ServerKey> {
        self.records.get(&fingerprint).map_or_else(Vec::new, SuspectRecord::servers)
    }

    /// Ends the claim of this ticket.
    pub fn release(&mut self, fingerprint: u128, ticket: u64, now: Instant) {
        let Some(record) = self.records.get_mut(&fingerprint) else { return };
        if record.own_claim.is_some_and(|claim| claim.ticket == ticket) {
            record.own_claim = None;
            record.mark_changed(now);
        }
    }

    /// Registers a run at a server. Returns its id.
    pub fn begin_run(&mut self, subject: RunSubject, server: ServerKey, now: Instant) -> u64 {
        self.runs.begin(subject, server, now)
    }

    /// Registers the end of a run.
    pub fn end_run(&mut self, id: u64, end: RunEnd, now: Instant) {
        let Some(fingerprint) = self.runs.end(id, end, now) else { return };
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.mark_changed(now);
        }
    }

    /// Whether a run at the server is in flight or ended unclearly a moment ago.
    pub fn has_runs_at(&self, server: ServerKey, now: Instant) -> bool {
        self.runs.has_runs_at(server, now)
    }

    /// Clears the request of all crashes known here: a server has completed it. Returns their number.
    pub fn clear(&mut self, fingerprint: u128, now: Instant) -> usize {
        self.completed.insert(fingerprint, now);
        let Some(record) = self.records.get_mut(&fingerprint) else { return 0 };
        let servers = record.servers();
        for server in &servers {
            record.clear(*server);
        }
        if !servers.is_empty() {
            record.mark_changed(now);
            record.write_at = Some(now);
        }
        servers.len()
    }

    /// Adds a crash that another host has found.
    fn merge_crash(
        &mut self,
        fingerprint: u128,
        server: ServerKey,
        age: Duration,
        proof: CrashProof,
        now: Instant,
    ) -> Option<SuspectChange> {
        let at = now.checked_sub(age).unwrap_or(now);
        if self.completed.contains(fingerprint, now) {
            self.refute_crash(fingerprint, server, now);
            return None;
        }
        let repair_at = now + self.repair_delay(fingerprint);
        let (is_running, is_new) = (self.runs.runs(fingerprint), !self.has(fingerprint));
        if proof == CrashProof::Suspected {
            self.want_probe(server, now);
        }
        let record = self.record_mut(SuspectKind::Request, fingerprint, now);
        if !record.add_crash(server, at, proof) {
            return None;
        }
        if is_new {
            record.publish_at = repair_at;
        }
        if is_running {
            record.mark_changed(now);
        }
        if proof == CrashProof::Confirmed {
            record.write_at.get_or_insert(repair_at);
        }
        Some(self.change(fingerprint, server, proof, age))
    }

    /// Clears the request of a crash that another host counts against it.
    fn refute_crash(&mut self, fingerprint: u128, server: ServerKey, now: Instant) {
        let record = self.record_mut(SuspectKind::Request, fingerprint, now);
        if record.clear(server) {
            record.mark_changed(now);
            record.write_at = Some(now);
        }
    }

    /// Requests that were running when the server broke connections, less those that servers complete.
    fn suspects_at(&mut self, server: ServerKey, broken_at: Instant, now: Instant) -> Vec<u128> {
        let mut requests = self.runs.requests_at(server, broken_at);
        requests.retain(|fingerprint| !self.completed.contains(*fingerprint, now));
        requests
    }

    fn merge_clearance(
        &mut self,
        kind: SuspectKind,
        fingerprint: u128,
        server: ServerKey,
        now: Instant,
    ) {
        let repair_at = now + self.repair_delay(fingerprint);
        let record = self.record_mut(kind, fingerprint, now);
        if record.clear(server) {
            record.write_at.get_or_insert(repair_at);
        }
    }

    fn change(
        &self,
        fingerprint: u128,
        server: ServerKey,
        proof: CrashProof,
        age: Duration,
    ) -> SuspectChange {
        let crashes = self.records.get(&fingerprint).map_or(0, SuspectRecord::confirmed);
        let is_convicted = self.conf.max_crashes <= crashes;
        let kind = SuspectKind::Request;
        SuspectChange { kind, fingerprint, server, age, proof, crashes, is_convicted }
    }

    fn has(&self, fingerprint: u128) -> bool {
        self.records.contains_key(&fingerprint)
    }

    /// The record of a request or a part, created if there is none.
    fn record_mut(
        &mut self,
        kind: SuspectKind,
        fingerprint: u128,
        now: Instant,
    ) -> &mut SuspectRecord {
        if MAX_TRACKED <= self.records.len() && !self.has(fingerprint) {
            self.evict_least();
        }
        self.records.entry(fingerprint).or_insert_with(|| SuspectRecord::new(kind, now))
    }

    fn evict_least(&mut self) {
        // A crash makes more parts suspected than requests.
        let rank = |record: &SuspectRecord| {
            let crashes = (record.confirmed(), record.possible());
            (record.own_claim.is_some(), crashes, record.kind, record.last_seen())
        };
        let least = self.records.iter().min_by_key(|(_, record)| rank(record));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.records.swap_remove(&fingerprint);
            self.verdicts = None;
        }
    }
}
