//! Suspects and crashes, and what follows from them.

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
use crate::suspect_record::Guilt;
use crate::suspect_record::SuspectRecord;

/// So many crashes at once that no suspect explains are a failure of servers, not of a request.
const STRAY_CRASHES: usize = 1;
/// More requests than this are not taken for crashing ones at once.
const MOST_CULPRITS: usize = 2;

/// Suspects and crashes, and what follows from them.
#[derive(Debug)]
pub(crate) struct CaseFile {
    conf: SuspectConf,
    records: IndexMap<Fingerprint, SuspectRecord>,
    crashes: IndexMap<CrashId, CrashRecord>,
    /// Requests of which something new is known.
    changed: IndexSet<Fingerprint>,
}

/// What the two or more crashes of a suspect amount to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Judgement {
    /// Its last crash is another's doing, or only a further run can tell: it may run.
    MayRun,
    /// Not known yet.
    Wait,
    /// Nothing else explains the last crash.
    Guilty,
}

/// Whether servers fail of themselves at this time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Doubt {
    /// They do: several crashes have no culprit.
    Sure,
    /// Some crashes have no culprit yet.
    Open,
    /// There is no sign of it.
    None,
}

impl CaseFile {
    /// Nothing known.
    pub(crate) fn new(conf: SuspectConf) -> CaseFile {
        CaseFile {
            conf,
            records: IndexMap::new(),
            crashes: IndexMap::new(),
            changed: IndexSet::new(),
        }
    }

    /// What is known of a request.
    pub(crate) fn record(&self, print: Fingerprint) -> Option<&SuspectRecord> {
        self.records.get(&print)
    }

    /// What is known of a request, to be changed.
    pub(crate) fn record_mut(&mut self, print: Fingerprint) -> Option<&mut SuspectRecord> {
        self.records.get_mut(&print)
    }

    /// All of which something is known.
    pub(crate) fn prints(&self) -> impl Iterator<Item = Fingerprint> {
        self.records.keys().copied()
    }

    /// The requests marked as changed, which are then marked no more.
    pub(crate) fn take_changed(&mut self) -> IndexSet<Fingerprint> {
        std::mem::take(&mut self.changed)
    }

    /// Marks exactly these requests as changed.
    pub(crate) fn set_changed(&mut self, changed: IndexSet<Fingerprint>) {
        self.changed = changed;
    }

    /// Marks a request as changed.
    pub(crate) fn mark_changed(&mut self, print: Fingerprint) {
        self.changed.insert(print);
    }

    /// Whether anything is open against a request.
    pub(crate) fn is_suspect(&self, print: Fingerprint) -> bool {
        self.records.get(&print).is_some_and(|record| !record.open.is_empty())
    }

    /// Whether another router runs a suspect on this server.
    pub(crate) fn runs_elsewhere(&self, server: &ServerName, now: Instant) -> bool {
        self.records.values().any(|record| record.runs_elsewhere(now).any(|at| at == server))
    }

    /// Judges a request of two crashes or more by its last one that is not another's doing.
    ///
    /// It ran alone among suspects then, but requests that were not yet suspect ran beside it,
    /// here or through other routers. Convicting at once would refuse an innocent request whenever
    /// a first-time culprit met it. So the others are run first, each alone: one that crashes
    /// again explains the crash, and if all end well this one is convicted with no third server
    /// lost. Two that came through the same two crashes wait for each other; the lower one goes.
    pub(crate) fn judge(&self, print: Fingerprint, now: Instant) -> Judgement {
        let Some(record) = self.records.get(&print) else {
            return Judgement::MayRun;
        };
        let Some((crash, at, case)) = self.last_unexplained(print, record) else {
            return Judgement::MayRun;
        };
        let since = now.saturating_duration_since(at);
        if case.proof != CrashProof::Confirmed || since < self.conf.settle {
            return Judgement::Wait;
        }
        let doubt = self.doubt(print, record, at);
        if doubt == Doubt::Sure {
            return Judgement::MayRun;
        }
        let explained = record.latest().is_some_and(|(latest, _)| latest != crash);
        let doubtful = explained || doubt == Doubt::Open;
        if since >= self.conf.trial_limit {
            return if doubtful { Judgement::MayRun } else { Judgement::Guilty };
        }
        let others = case.prints.iter().copied().filter(|other| *other != print);
        let others: Vec<Fingerprint> = others.filter(|other| self.awaits(*other, crash)).collect();
        if others.is_empty() {
            return if doubt == Doubt::Open { Judgement::Wait } else { Judgement::Guilty };
        }
        let lowest = others.iter().all(|other| print < *other && self.is_rival(*other, crash));
        if lowest { Judgement::MayRun } else { Judgement::Wait }
    }

    /// Convicts a request of all that is open against it.
    pub(crate) fn convict(&mut self, print: Fingerprint) {
        let Some(record) = self.records.get_mut(&print) else {
            return;
        };
        record.guilt = Guilt::Convicted;
        for crash in record.open.keys() {
            if let Some(case) = self.crashes.get_mut(crash) {
                case.culprit.get_or_insert(print);
            }
        }
        self.changed.insert(print);
    }

    /// Counts a crash against a request, unless it was cleared of it.
    pub(crate) fn accuse(&mut self, print: Fingerprint, sighting: &CrashSighting, now: Instant) {
        self.make_room(now);
        let record = self.records.entry(print).or_insert_with(|| SuspectRecord::new(now));
        if record.cleared.contains(&sighting.crash) {
            return;
        }
        let at = now.checked_sub(sighting.age).unwrap_or(now);
        if !record.open.contains_key(&sighting.crash) {
            record.open.insert(sighting.crash.clone(), at);
            record.touch(now);
            self.changed.insert(print);
        }
        let case = self.note_crash(&sighting.crash, at);
        case.prints.insert(print);
        if sighting.proof == CrashProof::Confirmed {
            self.confirm(&sighting.crash);
        }
    }

    /// The request did not cause the crash. One that is proven is remembered; an unproven one may
    /// yet come, for then the server still lives.
    pub(crate) fn clear(&mut self, print: Fingerprint, crash: &CrashId, now: Instant) {
        let Some(record) = self.records.get_mut(&print) else {
            return;
        };
        record.touch(now);
        record.acquit(crash);
        let Some(case) = self.crashes.get_mut(crash) else {
            return;
        };
        if case.proof == CrashProof::Confirmed {
            record.remember_cleared(crash);
        }
        case.prints.swap_remove(&print);
        if case.culprit == Some(print) {
            case.culprit = None;
        }
        self.changed.insert(print);
    }

    /// Another router cleared the request of a crash that may not be known here.
    pub(crate) fn learn_cleared(&mut self, print: Fingerprint, crash: &CrashId, now: Instant) {
        self.make_room(now);
        let record = self.records.entry(print).or_insert_with(|| SuspectRecord::new(now));
        record.remember_cleared(crash);
        self.clear(print, crash, now);
    }

    /// A crash, whether or not anything was under way.
    pub(crate) fn note_crash(&mut self, crash: &CrashId, at: Instant) -> &mut CrashRecord {
        self.crashes.entry(crash.clone()).or_insert_with(|| CrashRecord::new(at))
    }

    /// The server's process has ended, which all that it counts against is worth telling.
    pub(crate) fn confirm(&mut self, crash: &CrashId) {
        let Some(case) = self.crashes.get_mut(crash) else {
            return;
        };
        if case.proof == CrashProof::Broken {
            case.proof = CrashProof::Confirmed;
            self.changed.extend(&case.prints);
        }
    }

    /// Breaks at a server, under incarnations as wanted, that may have been crashes or not.
    pub(crate) fn unproven(
        &self,
        server: &ServerName,
        wanted: impl Fn(Incarnation) -> bool,
    ) -> Vec<CrashId> {
        let found = self.crashes.iter().filter(|(crash, case)| {
            case.proof == CrashProof::Broken && crash.server == *server && wanted(crash.incarnation)
        });
        found.map(|(crash, _)| crash.clone()).collect()
    }

    /// The server lives: breaks under this incarnation were none of its crashes.
    pub(crate) fn dismiss(&mut self, crash: &CrashId, now: Instant) {
        let prints = match self.crashes.get(crash) {
            Some(case) => case.prints.clone(),
            None => return,
        };
        for print in prints {
            self.clear(print, crash, now);
        }
        self.crashes.swap_remove(crash);
    }

    /// The crashes that count against a request, for other routers.
    pub(crate) fn sightings(&self, record: &SuspectRecord, now: Instant) -> Vec<CrashSighting> {
        let sighting = |(crash, at): (&CrashId, &Instant)| CrashSighting {
            crash: crash.clone(),
            age: now.saturating_duration_since(*at),
            proof: self.crashes.get(crash).map_or(CrashProof::Broken, |case| case.proof),
        };
        record.open.iter().map(sighting).collect()
    }

    /// Drops what has expired. A break that nobody could prove to be a crash was a failure of the
    /// network, and counts no more.
    pub(crate) fn prune(&mut self, now: Instant) {
        let conf = self.conf;
        let is_old = |at: Instant| now.saturating_duration_since(at) > conf.trial_limit;
        let unproven = self.crashes.iter().filter(|(_, case)| case.proof == CrashProof::Broken);
        let unproven = unproven.filter(|(_, case)| is_old(case.at));
        let unproven: Vec<CrashId> = unproven.map(|(crash, _)| crash.clone()).collect();
        for crash in unproven {
            self.dismiss(&crash, now);
        }
        self.records.retain(|_, record| !record.is_expired(&conf, now));
        let records = &self.records;
        self.crashes.retain(|_, case| {
            case.prints.retain(|print| records.contains_key(print));
            !case.prints.is_empty() || !is_old(case.at)
        });
    }

    /// The last crash that counts against a request and that no other was convicted of.
    fn last_unexplained<'a>(
        &'a self,
        print: Fingerprint,
        record: &'a SuspectRecord,
    ) -> Option<(&'a CrashId, Instant, &'a CrashRecord)> {
        let open = record.open.iter();
        let open = open.filter_map(|(crash, at)| Some((crash, *at, self.crashes.get(crash)?)));
        let unexplained = open.filter(|(_, _, case)| case.culprit.is_none_or(|it| it == print));
        unexplained.max_by_key(|(crash, at, _)| (*at, *crash))
    }

    /// When a rack fails, a request can meet two of its servers and cause neither crash. The signs
    /// are other crashes at the time with no request that was there twice, or more requests
    /// that were there twice than are likely to be sent at once. A third crash ends the doubt, or
    /// a crashing request would go on through the whole failure.
    fn doubt(&self, print: Fingerprint, record: &SuspectRecord, at: Instant) -> Doubt {
        if record.open.len() > 2 {
            return Doubt::None;
        }
        let near = |other: Instant| other.max(at) - other.min(at) <= self.conf.trial_limit;
        let repeated = self.records.values().filter(|record| record.is_repeated());
        let latest = repeated.filter_map(SuspectRecord::latest);
        let culprits =
            latest.filter(|(crash, at)| near(*at) && !self.has_later_suspect(crash, *at));
        if culprits.count() > MOST_CULPRITS {
            return Doubt::Sure;
        }
        let strays = self.crashes.iter().filter(|(_, case)| {
            near(case.at) && !case.prints.contains(&print) && self.is_stray(case)
        });
        let (open, closed): (Vec<_>, Vec<_>) = strays
            .partition(|(crash, case)| case.prints.iter().any(|other| self.awaits(*other, crash)));
        if closed.len() >= STRAY_CRASHES {
            Doubt::Sure
        } else if open.len() + closed.len() >= STRAY_CRASHES {
            Doubt::Open
        } else {
            Doubt::None
        }
    }

    /// Whether a request of this crash was there for a later one, which makes it more suspect than
    /// one for which this crash was the last.
    fn has_later_suspect(&self, crash: &CrashId, at: Instant) -> bool {
        let prints = self.crashes.get(crash).into_iter().flat_map(|case| &case.prints);
        let mut latest = prints.filter_map(|print| self.records.get(print)?.latest());
        latest.any(|(_, other)| other > at)
    }

    /// Whether a crash is not explained by a request that was there twice.
    fn is_stray(&self, case: &CrashRecord) -> bool {
        let repeated =
            |print: &Fingerprint| self.records.get(print).is_some_and(SuspectRecord::is_repeated);
        case.proof == CrashProof::Confirmed
            && case.culprit.is_none()
            && !case.prints.iter().any(repeated)
    }

    /// Whether a request is still to be cleared or convicted of a crash.
    fn awaits(&self, print: Fingerprint, crash: &CrashId) -> bool {
        let record = self.records.get(&print);
        record.is_some_and(|record| record.guilt == Guilt::Open && record.open.contains_key(crash))
    }

    /// Whether a request, too, was there for a second time when the crash came.
    fn is_rival(&self, print: Fingerprint, crash: &CrashId) -> bool {
        let record = self.records.get(&print);
        record.is_some_and(|record| {
            let latest = record.latest().is_some_and(|(latest, _)| latest == crash);
            record.is_repeated() && latest
        })
    }

    /// Drops the oldest record when there are too many; a conviction goes last.
    fn make_room(&mut self, now: Instant) {
        if self.records.len() < self.conf.most_records {
            return;
        }
        let rank = |record: &SuspectRecord| (record.guilt == Guilt::Open, record.age(now));
        let oldest = self.records.iter().max_by_key(|(_, record)| rank(record));
        if let Some(print) = oldest.map(|(print, _)| *print) {
            self.records.swap_remove(&print);
        }
    }
}
