//! Crashes, the requests suspected of them, and conviction.

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::CrashId;
use crate::CrashProof;
use crate::CrashSighting;
use crate::Fingerprint;
use crate::SuspectConf;
use crate::crash_record::CrashRecord;
use crate::suspect_record::SuspectRecord;
use crate::suspect_record::SuspectStatus;

/// Number of concurrent unexplained crashes from which servers are taken to fail by themselves.
const MIN_UNEXPLAINED_CRASHES: usize = 1;
/// Maximum number of requests that are plausible causes at the same time.
const MAX_PLAUSIBLE_CAUSES: usize = 2;

/// Crashes and the requests that were in flight when they happened.
#[derive(Debug)]
pub(crate) struct CrashEvidence {
    conf: SuspectConf,
    records: IndexMap<Fingerprint, SuspectRecord>,
    crashes: IndexMap<CrashId, CrashRecord>,
    /// Requests whose records have changed since the last call of `take_changed`.
    changed: IndexSet<Fingerprint>,
}

/// Assessment of a suspect with two or more crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Assessment {
    /// No unexplained crash counts against it, servers seem to fail by themselves, it may be
    /// innocent after `max_trial_time`, or it precedes the other suspects.
    MayRun,
    /// The crash is unconfirmed or too recent, or other suspects have to run first.
    Wait,
    /// Nothing else explains its last crash.
    Convict,
}

/// Whether servers currently crash for reasons other than requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerFaults {
    /// Concurrent crashes have no plausible cause, or too many requests seem to cause crashes.
    Likely,
    /// Some crashes are not explained yet, but still have suspects to run.
    Possible,
    /// No sign of it, or the request has more than two crashes.
    Unlikely,
}

impl CrashEvidence {
    pub(crate) fn new(conf: SuspectConf) -> CrashEvidence {
        CrashEvidence {
            conf,
            records: IndexMap::new(),
            crashes: IndexMap::new(),
            changed: IndexSet::new(),
        }
    }

    pub(crate) fn record(&self, fingerprint: Fingerprint) -> Option<&SuspectRecord> {
        self.records.get(&fingerprint)
    }

    pub(crate) fn record_mut(&mut self, fingerprint: Fingerprint) -> Option<&mut SuspectRecord> {
        self.records.get_mut(&fingerprint)
    }

    /// Fingerprints of all requests with a record.
    pub(crate) fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        self.records.keys().copied()
    }

    /// Returns and resets the set of changed requests.
    pub(crate) fn take_changed(&mut self) -> IndexSet<Fingerprint> {
        std::mem::take(&mut self.changed)
    }

    /// Replaces the set of changed requests.
    pub(crate) fn set_changed(&mut self, changed: IndexSet<Fingerprint>) {
        self.changed = changed;
    }

    pub(crate) fn mark_changed(&mut self, fingerprint: Fingerprint) {
        self.changed.insert(fingerprint);
    }

    /// Whether any crash counts against a request.
    pub(crate) fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| !record.crashes.is_empty())
    }

    /// Whether another router runs a suspect on this server.
    pub(crate) fn has_peer_run(&self, server: &ServerName, now: Instant) -> bool {
        self.records.values().any(|record| record.peer_run_servers(now).any(|at| at == server))
    }

    /// Assesses a request by its last crash that no other request was convicted of.
    ///
    /// The other suspects of that crash run first: either one of them crashes its server and
    /// explains the crash, or all complete and this request is convicted without losing a third
    /// server. If all suspects have several crashes, the one with the lowest fingerprint runs
    /// first.
    pub(crate) fn assess(&self, fingerprint: Fingerprint, now: Instant) -> Assessment {
        let Some(record) = self.records.get(&fingerprint) else {
            return Assessment::MayRun;
        };
        let Some((crash, at, crash_record)) = self.last_unexplained(fingerprint, record) else {
            return Assessment::MayRun;
        };
        let elapsed = now.saturating_duration_since(at);
        if crash_record.proof != CrashProof::Confirmed || elapsed < self.conf.settle_time {
            return Assessment::Wait;
        }
        let server_faults = self.server_faults(fingerprint, record, at);
        if server_faults == ServerFaults::Likely {
            return Assessment::MayRun;
        }
        let has_later_crash = record.latest_crash().is_some_and(|(latest, _)| latest != crash);
        let may_be_innocent = has_later_crash || server_faults == ServerFaults::Possible;
        if elapsed >= self.conf.max_trial_time {
            return if may_be_innocent { Assessment::MayRun } else { Assessment::Convict };
        }
        let others =
            crash_record.fingerprints.iter().copied().filter(|other| *other != fingerprint);
        let others: Vec<Fingerprint> =
            others.filter(|other| self.is_pending(*other, crash)).collect();
        if others.is_empty() {
            return if server_faults == ServerFaults::Possible {
                Assessment::Wait
            } else {
                Assessment::Convict
            };
        }
        let runs_first = others
            .iter()
            .all(|other| fingerprint < *other && self.is_latest_of_several(*other, crash));
        if runs_first { Assessment::MayRun } else { Assessment::Wait }
    }

    /// Convicts a request of all crashes that count against it.
    pub(crate) fn convict(&mut self, fingerprint: Fingerprint) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        record.status = SuspectStatus::Convicted;
        for crash in record.crashes.keys() {
            if let Some(crash_record) = self.crashes.get_mut(crash) {
                crash_record.culprit.get_or_insert(fingerprint);
            }
        }
        self.changed.insert(fingerprint);
    }

    /// Counts a crash against a request, unless the request was cleared of it.
    pub(crate) fn add_suspicion(
        &mut self,
        fingerprint: Fingerprint,
        sighting: &CrashSighting,
        now: Instant,
    ) {
        self.evict_if_full(now);
        let record = self.records.entry(fingerprint).or_insert_with(|| SuspectRecord::new(now));
        if record.cleared.contains(&sighting.crash) {
            return;
        }
        let at = now.checked_sub(sighting.age).unwrap_or(now);
        if !record.crashes.contains_key(&sighting.crash) {
            record.crashes.insert(sighting.crash.clone(), at);
            record.mark_updated(now);
            self.changed.insert(fingerprint);
        }
        let crash_record = self.crash_entry(&sighting.crash, at);
        crash_record.fingerprints.insert(fingerprint);
        if sighting.proof == CrashProof::Confirmed {
            self.confirm_crash(&sighting.crash);
        }
    }

    /// Clears a request of a crash. Only a confirmed crash is recorded as cleared: an unconfirmed
    /// one may still follow under the same id, as the server is still running.
    pub(crate) fn clear(&mut self, fingerprint: Fingerprint, crash: &CrashId, now: Instant) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        record.mark_updated(now);
        record.remove_crash(crash);
        let Some(crash_record) = self.crashes.get_mut(crash) else {
            return;
        };
        if crash_record.proof == CrashProof::Confirmed {
            record.add_cleared(crash);
        }
        crash_record.fingerprints.swap_remove(&fingerprint);
        if crash_record.culprit == Some(fingerprint) {
            crash_record.culprit = None;
        }
        self.changed.insert(fingerprint);
    }

    /// Clears a request of a crash as reported by another router. A late report that counts this
    /// crash against the request is then ignored.
    pub(crate) fn record_cleared_by_peer(
        &mut self,
        fingerprint: Fingerprint,
        crash: &CrashId,
        now: Instant,
    ) {
        self.evict_if_full(now);
        let record = self.records.entry(fingerprint).or_insert_with(|| SuspectRecord::new(now));
        record.add_cleared(crash);
        self.clear(fingerprint, crash, now);
    }

    /// Returns the record of a crash, creating it if needed.
    pub(crate) fn crash_entry(&mut self, crash: &CrashId, at: Instant) -> &mut CrashRecord {
        self.crashes.entry(crash.clone()).or_insert_with(|| CrashRecord::new(at))
    }

    /// Confirms a crash and marks all its suspects as changed.
    pub(crate) fn confirm_crash(&mut self, crash: &CrashId) {
        let Some(crash_record) = self.crashes.get_mut(crash) else {
            return;
        };
        if crash_record.proof == CrashProof::Broken {
            crash_record.proof = CrashProof::Confirmed;
            self.changed.extend(&crash_record.fingerprints);
        }
    }

    /// Unconfirmed crashes of a server whose incarnation satisfies a predicate.
    pub(crate) fn unconfirmed_crashes(
        &self,
        server: &ServerName,
        matches_incarnation: impl Fn(Incarnation) -> bool,
    ) -> Vec<CrashId> {
        let matching = self.crashes.iter().filter(|(crash, crash_record)| {
            crash_record.proof == CrashProof::Broken
                && crash.server == *server
                && matches_incarnation(crash.incarnation)
        });
        matching.map(|(crash, _)| crash.clone()).collect()
    }

    /// Removes an unconfirmed crash that turned out to be a network failure, and clears its
    /// suspects.
    pub(crate) fn discard_crash(&mut self, crash: &CrashId, now: Instant) {
        let fingerprints = match self.crashes.get(crash) {
            Some(crash_record) => crash_record.fingerprints.clone(),
            None => return,
        };
        for fingerprint in fingerprints {
            self.clear(fingerprint, crash, now);
        }
        self.crashes.swap_remove(crash);
    }

    /// Crashes that count against a request, to be sent to other routers.
    pub(crate) fn sightings(&self, record: &SuspectRecord, now: Instant) -> Vec<CrashSighting> {
        let sighting = |(crash, at): (&CrashId, &Instant)| CrashSighting {
            crash: crash.clone(),
            age: now.saturating_duration_since(*at),
            proof: self
                .crashes
                .get(crash)
                .map_or(CrashProof::Broken, |crash_record| crash_record.proof),
        };
        record.crashes.iter().map(sighting).collect()
    }

    /// Drops expired records. A crash that was not confirmed in time is taken for a network
    /// failure.
    pub(crate) fn prune(&mut self, now: Instant) {
        let conf = self.conf;
        let has_timed_out = |at: Instant| now.saturating_duration_since(at) > conf.max_trial_time;
        let unconfirmed_crashes = self
            .crashes
            .iter()
            .filter(|(_, crash_record)| crash_record.proof == CrashProof::Broken);
        let unconfirmed_crashes =
            unconfirmed_crashes.filter(|(_, crash_record)| has_timed_out(crash_record.at));
        let unconfirmed_crashes: Vec<CrashId> =
            unconfirmed_crashes.map(|(crash, _)| crash.clone()).collect();
        for crash in unconfirmed_crashes {
            self.discard_crash(&crash, now);
        }
        self.records.retain(|_, record| !record.is_expired(&conf, now));
        let records = &self.records;
        self.crashes.retain(|_, crash_record| {
            crash_record.fingerprints.retain(|fingerprint| records.contains_key(fingerprint));
            !crash_record.fingerprints.is_empty() || !has_timed_out(crash_record.at)
        });
    }

    /// Last crash that counts against a request and that no other request was convicted of.
    fn last_unexplained<'a>(
        &'a self,
        fingerprint: Fingerprint,
        record: &'a SuspectRecord,
    ) -> Option<(&'a CrashId, Instant, &'a CrashRecord)> {
        let crashes = record.crashes.iter();
        let crashes =
            crashes.filter_map(|(crash, at)| Some((crash, *at, self.crashes.get(crash)?)));
        let unexplained = crashes.filter(|(_, _, crash_record)| {
            crash_record.culprit.is_none_or(|culprit| culprit == fingerprint)
        });
        unexplained.max_by_key(|(crash, at, _)| (*at, *crash))
    }

    /// Whether servers may be failing by themselves around this time, for example with their rack.
    /// Signs are concurrent crashes without a suspect that has several crashes, and more than
    /// `MAX_PLAUSIBLE_CAUSES` such suspects. Ignored for a request with three crashes, which bounds
    /// the number of servers that it can crash.
    fn server_faults(
        &self,
        fingerprint: Fingerprint,
        record: &SuspectRecord,
        at: Instant,
    ) -> ServerFaults {
        if record.crashes.len() > 2 {
            return ServerFaults::Unlikely;
        }
        let is_concurrent =
            |other: Instant| other.max(at) - other.min(at) <= self.conf.max_trial_time;
        let repeated = self.records.values().filter(|record| record.has_multiple_crashes());
        let latest_crashes = repeated.filter_map(SuspectRecord::latest_crash);
        let plausible_causes = latest_crashes.filter(|(crash, at)| {
            is_concurrent(*at) && !self.has_suspect_with_later_crash(crash, *at)
        });
        if plausible_causes.count() > MAX_PLAUSIBLE_CAUSES {
            return ServerFaults::Likely;
        }
        let unexplained = self.crashes.iter().filter(|(_, crash_record)| {
            is_concurrent(crash_record.at)
                && !crash_record.fingerprints.contains(&fingerprint)
                && self.is_unexplained(crash_record)
        });
        let (pending, resolved): (Vec<_>, Vec<_>) =
            unexplained.partition(|(crash, crash_record)| {
                crash_record.fingerprints.iter().any(|other| self.is_pending(*other, crash))
            });
        if resolved.len() >= MIN_UNEXPLAINED_CRASHES {
            ServerFaults::Likely
        } else if pending.len() + resolved.len() >= MIN_UNEXPLAINED_CRASHES {
            ServerFaults::Possible
        } else {
            ServerFaults::Unlikely
        }
    }

    /// Whether a suspect of this crash has a later crash, which makes it the more likely cause.
    fn has_suspect_with_later_crash(&self, crash: &CrashId, at: Instant) -> bool {
        let fingerprints =
            self.crashes.get(crash).into_iter().flat_map(|crash_record| &crash_record.fingerprints);
        let mut latest_crashes =
            fingerprints.filter_map(|fingerprint| self.records.get(fingerprint)?.latest_crash());
        latest_crashes.any(|(_, other)| other > at)
    }

    /// Whether a confirmed crash has no convicted suspect and none with several crashes.
    fn is_unexplained(&self, crash_record: &CrashRecord) -> bool {
        let repeated = |fingerprint: &Fingerprint| {
            self.records.get(fingerprint).is_some_and(SuspectRecord::has_multiple_crashes)
        };
        crash_record.proof == CrashProof::Confirmed
            && crash_record.culprit.is_none()
            && !crash_record.fingerprints.iter().any(repeated)
    }

    /// Whether a request has been neither cleared nor convicted of a crash yet.
    fn is_pending(&self, fingerprint: Fingerprint, crash: &CrashId) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| {
            record.status == SuspectStatus::Suspected && record.crashes.contains_key(crash)
        })
    }

    /// Whether a request has several crashes, of which this is the latest.
    fn is_latest_of_several(&self, fingerprint: Fingerprint, crash: &CrashId) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| {
            let is_latest = record.latest_crash().is_some_and(|(latest, _)| latest == crash);
            record.has_multiple_crashes() && is_latest
        })
    }

    /// Evicts the oldest record when the limit is reached. Convicted requests are evicted only if
    /// there are no others.
    fn evict_if_full(&mut self, now: Instant) {
        if self.records.len() < self.conf.max_records {
            return;
        }
        let eviction_rank =
            |record: &SuspectRecord| (record.status == SuspectStatus::Suspected, record.age(now));
        let oldest = self.records.iter().max_by_key(|(_, record)| eviction_rank(record));
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.swap_remove(&fingerprint);
        }
    }
}
