//! Evidence on one request.

use std::time::Duration;

use fulmargate_names::HostName;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::ClaimNotice;
use crate::ClaimStage;
use crate::CrashNotice;
use crate::CrashProof;
use crate::ServerKey;
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

/// A crash that counts against a request.
#[derive(Clone, Copy, Debug)]
struct Crash {
    at: Instant,
    proof: CrashProof,
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

/// Crashes that count against a request, clearances, and who runs it.
#[derive(Debug)]
pub(crate) struct SuspectRecord {
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
    pub(crate) fn new(now: Instant) -> SuspectRecord {
        SuspectRecord {
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
        let known = self.crashes.get(&server).map(|crash| crash.proof);
        if known.is_some_and(|known| proof <= known) {
            return false;
        }
        let at = self.crashes.get(&server).map_or(at, |crash| crash.at.min(at));
        self.crashes.insert(server, Crash { at, proof });
        self.last_seen = if known.is_none() { self.last_seen.max(at) } else { self.last_seen };
        if MAX_KEYS < self.crashes.len() {
            self.crashes.shift_remove_index(0);
        }
        true
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
        0 < self.confirmed() || !self.cleared.is_empty()
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
        self.own_claim.is_some() || (has_evidence && self.age(now) < conf.retention)
    }

    pub(crate) fn notice(&self, fingerprint: u128, now: Instant) -> SuspectNotice {
        let crash_notice = |(server, crash): (&ServerKey, &Crash)| {
            let age = now.saturating_duration_since(crash.at).as_millis();
            let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
            CrashNotice { server: *server, age_ms, proof: crash.proof }
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

    /// Whether the store's entry has all that is known here.
    pub(crate) fn is_covered_by(&self, stored: &StoredSuspect) -> bool {
        let knows =
            |server: &ServerKey| stored.crashes.contains(server) || stored.cleared.contains(server);
        let mut crashes = self.crashes.keys().filter(|server| self.is_confirmed(**server));
        crashes.all(knows) && self.cleared.iter().all(|server| stored.cleared.contains(server))
    }
}
