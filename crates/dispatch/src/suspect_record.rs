//! Evidence on one request.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::WeightsVersion;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::ClaimNotice;
use crate::ClaimStage;
use crate::CrashNotice;
use crate::CrashProof;
use crate::ServerKey;
use crate::StoredPartCrash;
use crate::StoredSuspect;
use crate::SuspectConf;
use crate::SuspectNotice;

/// Crashes and clearances that are kept for each request; the oldest are dropped first.
const MAX_KEYS: usize = 16;
/// Intervals between the first publications of a change. Gossip messages may be lost.
const REPEAT_DELAYS: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_millis(400), Duration::from_millis(1_600)];
/// Interval at which an own claim is published.
const CLAIM_INTERVAL: Duration = Duration::from_millis(400);

/// Retention of a part's record once all its crashes are withdrawn, so that late messages do not bring them back.
const CLEARED_PART_RETENTION: Duration = Duration::from_secs(30);
/// A part with fewer crashes is published this many times less often, and not stored.
const FEW_CRASHES_FACTOR: u32 = 10;
const MIN_STORED_PART_CRASHES: usize = 2;

/// What crashes count against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectKind {
    /// A part of prompts.
    Part,
    /// A request.
    Request,
}

/// A crash that counts against a request or a part.
#[derive(Clone, Copy, Debug)]
struct Crash {
    at: Instant,
    proof: CrashProof,
    /// Begin of the latest run of the part there.
    began: Option<Instant>,
    /// Weights of that run.
    weights: Option<WeightsVersion>,
}

impl Crash {
    /// Time from the begin of the latest run of the part to the crash.
    fn run_time(&self) -> Duration {
        self.began.map_or(Duration::ZERO, |began| self.at.saturating_duration_since(began))
    }
}

/// A crash that counts against a part of prompts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PartCrash {
    pub(crate) server: ServerKey,
    pub(crate) at: Instant,
    /// Begin of the latest run of the part there.
    pub(crate) began: Instant,
    pub(crate) proof: CrashProof,
}

/// A host's claim to run a suspected request.
#[derive(Clone, Copy, Debug)]
struct PeerClaim {
    notice: ClaimNotice,
    expires: Instant,
}

/// This host's claim.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnClaim {
    pub(crate) ticket: u64,
    pub(crate) stage: ClaimStage,
    /// The server to run it at.
    pub(crate) server: ServerKey,
    /// When the claim was first published.
    pub(crate) published: Option<Instant>,
    /// Number of servers claimed before.
    pub(crate) moves: u8,
}

/// Crashes that count against a request or a part, clearances, and who runs it.
#[derive(Debug)]
pub(crate) struct SuspectRecord {
    pub(crate) kind: SuspectKind,
    crashes: IndexMap<ServerKey, Crash>,
    cleared: IndexSet<ServerKey>,
    claims: IndexMap<HostName, PeerClaim>,
    pub(crate) own_claim: Option<OwnClaim>,
    /// Latest crash or clearance.
    last_seen: Instant,
    /// When to publish it next.
    pub(crate) publish_at: Instant,
    /// Publications since the last change.
    repeats: usize,
    /// When to write it to the store; `None` if the store has it.
    pub(crate) write_at: Option<Instant>,
}

impl SuspectRecord {
    pub(crate) fn new(kind: SuspectKind, now: Instant) -> SuspectRecord {
        SuspectRecord {
            kind,
            crashes: IndexMap::new(),
            cleared: IndexSet::new(),
            claims: IndexMap::new(),
            own_claim: None,
            last_seen: now,
            publish_at: now,
            repeats: 0,
            write_at: None,
        }
    }

    /// Adds a crash or raises its proof. Returns whether this was new.
    pub(crate) fn add_crash(&mut self, server: ServerKey, at: Instant, proof: CrashProof) -> bool {
        if self.cleared.contains(&server) {
            return false;
        }
        let known = self.crashes.get(&server).copied();
        if known.is_some_and(|known| proof <= known.proof) {
            return false;
        }
        let crash = known.unwrap_or(Crash { at, proof, began: None, weights: None });
        self.crashes.insert(server, Crash { at: crash.at.min(at), proof, ..crash });
        self.last_seen = if known.is_none() { self.last_seen.max(at) } else { self.last_seen };
        if MAX_KEYS < self.crashes.len() {
            self.crashes.shift_remove_index(0);
        }
        true
    }

    /// Adds a crash under a run of the part. Returns whether this was new.
    pub(crate) fn add_part_crash(
        &mut self,
        crash: PartCrash,
        weights: Option<WeightsVersion>,
    ) -> bool {
        let is_new = self.add_crash(crash.server, crash.at, crash.proof);
        if let Some(known) = self.crashes.get_mut(&crash.server) {
            known.began = known.began.max(Some(crash.began));
            known.weights = known.weights.max(weights);
        }
        is_new
    }

    /// Withdraws the crashes that a sound run on these weights has followed. Returns their number.
    pub(crate) fn refute(&mut self, began: Instant, weights: Option<WeightsVersion>) -> usize {
        let is_refuted = |crash: &Crash| crash.at < began && crash.weights <= weights;
        let refuted: Vec<ServerKey> = self
            .crashes
            .iter()
            .filter(|(_, crash)| is_refuted(crash))
            .map(|(server, _)| *server)
            .collect();
        for server in &refuted {
            self.clear(*server);
        }
        refuted.len()
    }

    /// Crashes with at least this proof.
    pub(crate) fn part_crashes(&self, proof: CrashProof) -> Vec<PartCrash> {
        let proven = self.crashes.iter().filter(|(_, crash)| proof <= crash.proof);
        let part_crash = |(server, crash): (&ServerKey, &Crash)| PartCrash {
            server: *server,
            at: crash.at,
            began: crash.began.unwrap_or(crash.at),
            proof: crash.proof,
        };
        proven.map(part_crash).collect()
    }

    /// Clears the request of a crash. Returns whether this was new.
    pub(crate) fn clear(&mut self, server: ServerKey) -> bool {
        self.crashes.shift_remove(&server);
        let is_new = self.cleared.insert(server);
        if MAX_KEYS < self.cleared.len() {
            self.cleared.shift_remove_index(0);
        }
        is_new
    }

    /// Drops a crash that turned out not to be one; a confirmed one stays. Returns whether it was there.
    pub(crate) fn drop_suspected(&mut self, server: ServerKey) -> bool {
        let crash = self.crashes.get(&server);
        let is_suspected = crash.is_some_and(|crash| crash.proof == CrashProof::Suspected);
        is_suspected && self.crashes.shift_remove(&server).is_some()
    }

    /// Incarnations of servers whose crashes count against the request.
    pub(crate) fn servers(&self) -> Vec<ServerKey> {
        self.crashes.keys().copied().collect()
    }

    pub(crate) fn is_confirmed(&self, server: ServerKey) -> bool {
        self.crashes.get(&server).is_some_and(|crash| crash.proof == CrashProof::Confirmed)
    }

    /// Number of confirmed crashes.
    pub(crate) fn confirmed(&self) -> usize {
        let is_confirmed = |crash: &&Crash| crash.proof == CrashProof::Confirmed;
        self.crashes.values().filter(is_confirmed).count()
    }

    /// Number of crashes, including those that are not confirmed.
    pub(crate) fn possible(&self) -> usize {
        self.crashes.len()
    }

    /// Whether there is anything that the store should keep.
    pub(crate) fn is_worth_storing(&self) -> bool {
        match self.kind {
            SuspectKind::Request => 0 < self.confirmed() || !self.cleared.is_empty(),
            SuspectKind::Part => MIN_STORED_PART_CRASHES <= self.confirmed() + self.cleared.len(),
        }
    }

    /// Time of the latest crash or clearance.
    pub(crate) fn last_seen(&self) -> Instant {
        self.last_seen
    }

    /// Time since the latest crash.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_seen)
    }

    /// Records the claim of another host, or that it has none.
    pub(crate) fn set_claim(
        &mut self,
        host: &HostName,
        notice: Option<ClaimNotice>,
        expires: Instant,
    ) {
        match notice {
            Some(notice) => {
                self.claims.insert(host.clone(), PeerClaim { notice, expires });
            }
            None => {
                self.claims.swap_remove(host);
            }
        }
    }

    /// Whether another host runs the request, or waits for that and goes first.
    pub(crate) fn is_claimed_by_others(
        &self,
        goes_first: impl Fn(&HostName) -> bool,
        now: Instant,
    ) -> bool {
        let mut valid = self.claims.iter().filter(|(_, claim)| now < claim.expires);
        valid.any(|(host, claim)| claim.notice.stage == ClaimStage::Running || goes_first(host))
    }

    /// Servers that hosts have claimed for the request. While it runs, other claims wait for that.
    pub(crate) fn claimed_servers(&self, now: Instant) -> Vec<(ServerKey, ClaimStage)> {
        let valid = self.claims.values().filter(|claim| now < claim.expires);
        let own = self.own_claim.iter().map(|claim| (claim.server, claim.stage));
        let mut claims: Vec<(ServerKey, ClaimStage)> = valid
            .filter_map(|claim| Some((claim.notice.server?, claim.notice.stage)))
            .chain(own)
            .collect();
        if claims.iter().any(|(_, stage)| *stage == ClaimStage::Running) {
            claims.retain(|(_, stage)| *stage == ClaimStage::Running);
        }
        claims
    }

    /// Whether a crash counts against both requests.
    pub(crate) fn shares_crash(&self, other: &SuspectRecord) -> bool {
        self.crashes.keys().any(|server| other.crashes.contains_key(server))
    }

    /// Marks the record as changed, so that it is published at once.
    pub(crate) fn mark_changed(&mut self, now: Instant) {
        self.publish_at = now;
        self.repeats = 0;
    }

    /// Schedules the next publication after one.
    pub(crate) fn mark_published(&mut self, refresh_interval: Duration, now: Instant) {
        let is_minor = self.kind == SuspectKind::Part && self.possible() < MIN_STORED_PART_CRASHES;
        let refresh_interval =
            if is_minor { refresh_interval * FEW_CRASHES_FACTOR } else { refresh_interval };
        let delay = REPEAT_DELAYS.get(self.repeats).copied().unwrap_or(refresh_interval);
        self.repeats += 1;
        let delay = if self.own_claim.is_some() { delay.min(CLAIM_INTERVAL) } else { delay };
        self.publish_at = now + delay;
        if let Some(claim) = &mut self.own_claim {
            claim.published.get_or_insert(now);
        }
    }

    /// Drops what has expired. Returns whether anything is left.
    pub(crate) fn retain(&mut self, conf: &SuspectConf, now: Instant) -> bool {
        let is_valid = |crash: &Crash| {
            let age = now.saturating_duration_since(crash.at);
            crash.proof == CrashProof::Confirmed || age < conf.suspicion_ttl
        };
        self.crashes.retain(|_, crash| is_valid(crash));
        self.claims.retain(|_, claim| now < claim.expires);
        let has_evidence = !self.crashes.is_empty() || !self.cleared.is_empty();
        let retention = match self.kind {
            SuspectKind::Part if self.crashes.is_empty() => CLEARED_PART_RETENTION,
            _ => conf.retention,
        };
        self.own_claim.is_some() || (has_evidence && self.age(now) < retention)
    }

    pub(crate) fn notice(&self, fingerprint: u128, now: Instant) -> SuspectNotice {
        let crash_notice = |(server, crash): (&ServerKey, &Crash)| {
            let age = now.saturating_duration_since(crash.at).as_millis();
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            let run = crash.run_time();
            let run_ms = u32::try_from(run.as_millis()).unwrap_or(u32::MAX);
            let (server, weights) = (*server, crash.weights);
            CrashNotice { server, age_ms, proof: crash.proof, run_ms, weights }
        };
        SuspectNotice {
            fingerprint,
            crashes: self.crashes.iter().map(crash_notice).collect(),
            cleared: self.cleared.iter().copied().collect(),
            claim: self
                .own_claim
                .map(|claim| ClaimNotice { stage: claim.stage, server: Some(claim.server) }),
        }
    }

    /// What the store keeps of the record; `None` if there is nothing to keep.
    pub(crate) fn stored(
        &self,
        fingerprint: u128,
        unix_now: Duration,
        now: Instant,
    ) -> Option<StoredSuspect> {
        let crashes: Vec<ServerKey> =
            self.crashes.keys().copied().filter(|server| self.is_confirmed(*server)).collect();
        if crashes.is_empty() && self.cleared.is_empty() {
            return None;
        }
        let cleared = self.cleared.iter().copied().collect();
        let last_crash_s = unix_now.saturating_sub(self.age(now)).as_secs();
        Some(StoredSuspect { fingerprint, crashes, cleared, last_crash_s })
    }

    /// The confirmed crashes, as the store keeps those of a part.
    pub(crate) fn stored_part_crashes(
        &self,
        unix_now: Duration,
        now: Instant,
    ) -> Vec<StoredPartCrash> {
        let confirmed =
            self.crashes.iter().filter(|(_, crash)| crash.proof == CrashProof::Confirmed);
        let stored = |(server, crash): (&ServerKey, &Crash)| {
            let age = now.saturating_duration_since(crash.at);
            let run = crash.run_time();
            StoredPartCrash {
                server: *server,
                at_ms: unix_now.saturating_sub(age).as_millis() as u64,
                run_ms: u32::try_from(run.as_millis()).unwrap_or(u32::MAX),
                weights: crash.weights,
            }
        };
        confirmed.map(stored).collect()
    }

    /// Clearances, for the store.
    pub(crate) fn cleared_servers(&self) -> Vec<ServerKey> {
        self.cleared.iter().copied().collect()
    }

    /// Whether the store's entry has all that is known here.
    pub(crate) fn is_covered_by(&self, stored: &StoredSuspect) -> bool {
        self.is_covered(&stored.crashes, &stored.cleared)
    }

    /// Whether these crashes and clearances are all that is known here.
    pub(crate) fn is_covered(&self, crashes: &[ServerKey], cleared: &[ServerKey]) -> bool {
        let knows = |server: &ServerKey| crashes.contains(server) || cleared.contains(server);
        let mut confirmed = self.crashes.keys().filter(|server| self.is_confirmed(**server));
        confirmed.all(knows) && self.cleared.iter().all(|server| cleared.contains(server))
    }
}
