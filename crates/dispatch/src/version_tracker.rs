//! Which software versions may have begun the streams that callers take up.

use std::time::Duration;

use fulmargate_names::ServiceName;
use indexmap::IndexMap;

use crate::BootTime;
use crate::ServerEntry;
use crate::ServerStage;
use crate::StreamOrigin;
use crate::service_key;

/// How long a version counts after its last server has left the list: longer than a stream and its caller's tries last.
pub const VERSION_MEMORY: Duration = Duration::from_secs(60);
/// How long a new version is in this host's list before it begins streams.
pub const NEW_VERSION_DELAY: Duration = Duration::from_millis(2_000);
/// Age up to which a list without a version proves that no host has begun streams at it. Shorter than the delay, as the
/// clocks of two hosts drift apart.
pub const LIST_PROOF_AGE: Duration = Duration::from_millis(1_800);
const _: () = assert!(LIST_PROOF_AGE.as_millis() < NEW_VERSION_DELAY.as_millis());

/// The origin of a stream that is on no record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoleOrigin {
    /// No host can have begun streams of the service at another version.
    Proved(StreamOrigin),
    /// This host knows no other version, but its list is too old, or it has not run for long enough, to exclude one.
    OnlyKnown(StreamOrigin),
    /// There may be streams of several versions, or none is known.
    Ambiguous,
}

/// A version that is in the list, or was.
#[derive(Clone, Copy, Debug)]
struct SeenOrigin {
    /// Send time of the last complete read before it was listed; `None` if it was in the first list.
    absent_as_of: Option<BootTime>,
    /// When this host may begin streams at it.
    usable_from: BootTime,
    last_listed: BootTime,
    /// Servers that accept new requests.
    ready: usize,
}

/// Follows the software versions in the list of servers.
#[derive(Debug, Default)]
pub struct VersionTracker {
    services: IndexMap<u64, IndexMap<StreamOrigin, SeenOrigin>>,
    /// Services of which other hosts, or the store, have said that they have several versions, and when.
    reported: IndexMap<u64, BootTime>,
    /// Send time of the newest complete list.
    complete_as_of: Option<BootTime>,
    /// When the first list was applied.
    watched_since: Option<BootTime>,
    /// Whether the store's records have shown which services had several versions before this host started.
    knows_past: bool,
}

impl VersionTracker {
    /// Applies the list. All that was written before `complete_as_of` is in it.
    pub fn sync<'a>(
        &mut self,
        entries: impl Iterator<Item = &'a ServerEntry>,
        complete_as_of: Option<BootTime>,
        now: BootTime,
    ) {
        let is_first = self.watched_since.is_none();
        let mut counts: IndexMap<StreamOrigin, usize> = IndexMap::new();
        for entry in entries {
            let ready = usize::from(entry.stage == ServerStage::Ready);
            *counts.entry(StreamOrigin::of(entry)).or_default() += ready;
        }
        for seen in self.services.values_mut().flat_map(IndexMap::values_mut) {
            seen.ready = 0;
        }
        for (origin, ready) in &counts {
            let origins = self.services.entry(origin.service).or_default();
            let seen = origins.entry(*origin).or_insert(SeenOrigin {
                absent_as_of: self.complete_as_of,
                usable_from: now.after(NEW_VERSION_DELAY),
                last_listed: now,
                ready: 0,
            });
            seen.last_listed = now;
            seen.ready = *ready;
        }
        if is_first && !counts.is_empty() {
            self.watched_since = Some(now);
            self.admit_prevalent(now);
        }
        self.forget_old(now);
        self.complete_as_of = self.complete_as_of.max(complete_as_of);
    }

    /// Until when no streams may begin at this origin. `None` also while no other origin of the service has a server
    /// that is ready, as new streams would find none.
    pub fn waits_until(&self, origin: StreamOrigin, now: BootTime) -> Option<BootTime> {
        let origins = self.services.get(&origin.service)?;
        let is_early = |seen: &SeenOrigin| now < seen.usable_from;
        let seen = origins.get(&origin).filter(|seen| is_early(seen))?;
        let has_others = origins.values().any(|seen| !is_early(seen) && 0 < seen.ready);
        has_others.then_some(seen.usable_from)
    }

    /// Whether streams of the service may have begun at several versions lately, so that they have to be on record.
    pub fn is_mixed(&self, service: u64, now: BootTime) -> bool {
        let is_reported =
            self.reported.get(&service).is_some_and(|at| now.since(*at) < VERSION_MEMORY);
        is_reported || self.is_seen_mixed(service)
    }

    /// Services that have several versions by this host's list.
    pub fn mixed_services(&self) -> Vec<u64> {
        self.services.keys().copied().filter(|service| self.is_seen_mixed(*service)).collect()
    }

    /// Records that another host, or the store, knows of several versions of a service. Returns whether that is new.
    pub fn record_mixed(&mut self, service: u64, now: BootTime) -> bool {
        let was_mixed = self.is_mixed(service, now);
        self.reported.insert(service, now);
        !was_mixed
    }

    /// Records that the store has shown which services were mixed before this host started.
    pub fn record_past(&mut self) {
        self.knows_past = true;
    }

    /// The origin of a stream of the service that is on no record and was taken up at `arrived`.
    pub fn sole_origin(
        &self,
        service: &ServiceName,
        arrived: BootTime,
        now: BootTime,
    ) -> SoleOrigin {
        let service = service_key(service.as_str());
        let Some(origins) = self.services.get(&service) else { return SoleOrigin::Ambiguous };
        let may_have_begun = |seen: &&SeenOrigin| match seen.absent_as_of {
            Some(as_of) => as_of.after(LIST_PROOF_AGE) <= arrived,
            None => true,
        };
        let mut possible = origins.iter().filter(|(_, seen)| may_have_begun(seen));
        let (Some((origin, _)), None) = (possible.next(), possible.next()) else {
            return SoleOrigin::Ambiguous;
        };
        let is_reported =
            self.reported.get(&service).is_some_and(|at| now.since(*at) < VERSION_MEMORY);
        if is_reported && !self.is_seen_mixed(service) {
            return SoleOrigin::Ambiguous;
        }
        let is_young =
            self.complete_as_of.is_some_and(|as_of| arrived < as_of.after(LIST_PROOF_AGE));
        match is_young && self.covers_past(now) {
            true => SoleOrigin::Proved(*origin),
            false => SoleOrigin::OnlyKnown(*origin),
        }
    }

    /// Time since the list was last complete.
    pub fn list_age(&self, now: BootTime) -> Option<Duration> {
        self.complete_as_of.map(|as_of| now.since(as_of))
    }

    /// Whether this host knows the versions for as long as streams last.
    pub fn covers_past(&self, now: BootTime) -> bool {
        let has_watched =
            self.watched_since.is_some_and(|since| VERSION_MEMORY <= now.since(since));
        self.knows_past || has_watched
    }

    fn is_seen_mixed(&self, service: u64) -> bool {
        self.services.get(&service).is_some_and(|origins| 1 < origins.len())
    }

    /// In the first list it can't be told which versions are new. The prevalent one of each service most likely is not.
    fn admit_prevalent(&mut self, now: BootTime) {
        for origins in self.services.values_mut() {
            let most = origins.values().map(|seen| seen.ready).max().unwrap_or_default();
            for seen in origins.values_mut().filter(|seen| seen.ready == most) {
                seen.usable_from = now;
            }
        }
    }

    fn forget_old(&mut self, now: BootTime) {
        for origins in self.services.values_mut() {
            origins.retain(|_, seen| now.since(seen.last_listed) < VERSION_MEMORY);
        }
        self.services.retain(|_, origins| !origins.is_empty());
        self.reported.retain(|_, at| now.since(*at) < VERSION_MEMORY);
    }
}
