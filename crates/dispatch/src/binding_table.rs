//! Where streams began, as far as this host knows.

use std::time::Duration;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::StreamKey;
use crate::StreamOrigin;

/// Records kept; the oldest are dropped first. A host of the largest fleet keeps some thousands at the peak.
const MAX_BINDINGS: usize = 32_768;
/// Records dropped at once when there are too many, as each removal moves the others.
const EVICTED_BINDINGS: usize = 4_096;
/// Interval at which expired records are dropped.
const PURGE_INTERVAL: Duration = Duration::from_secs(2);
/// Upper bound of the lifetime that another host states.
const MAX_LIFETIME: Duration = Duration::from_secs(600);

/// What is known of the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BindingLookup {
    /// It began here.
    Bound {
        /// Service and version.
        origin: StreamOrigin,
        /// Time since this host learned of it.
        age: Duration,
    },
    /// The attempt has two origins: two callers have used its id.
    Contradictory,
    /// There is no record.
    Unknown,
}

/// The record of a stream on its way to another host or to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BindingNotice {
    /// The attempt that has begun the stream.
    pub key: StreamKey,
    /// Where it began; `None` if there are two answers.
    pub origin: Option<StreamOrigin>,
    /// Time for which the record is kept, in milliseconds.
    pub left_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Binding {
    origin: Option<StreamOrigin>,
    since: Instant,
    expires: Instant,
    /// This host has sent events of the stream to its caller.
    is_own: bool,
    is_published: bool,
}

/// Records of streams by the attempt that began them. A record never changes but to a contradiction, so that copies
/// merge in any order.
#[derive(Debug, Default)]
pub struct BindingTable {
    bindings: IndexMap<StreamKey, Binding>,
    /// Own records that the owners and the store have not been told.
    unpublished: Vec<StreamKey>,
    /// Records that this host has to write to the store.
    unstored: Vec<StreamKey>,
    purged: Option<Instant>,
}

impl BindingTable {
    /// Records that the first event of a stream leaves for its caller here, or another one after it was taken up. With
    /// `publishes` it is published next.
    pub fn record(
        &mut self,
        key: StreamKey,
        origin: StreamOrigin,
        expires: Instant,
        publishes: bool,
        now: Instant,
    ) {
        self.insert(key, Some(origin), expires, now);
        let Some(binding) = self.bindings.get_mut(&key) else { return };
        binding.is_own = true;
        binding.is_published = publishes;
        if publishes {
            self.unpublished.push(key);
        }
    }

    /// Adds the record of another host or of the store.
    pub fn merge(&mut self, notice: &BindingNotice, now: Instant) {
        let lifetime = Duration::from_millis(u64::from(notice.left_ms)).min(MAX_LIFETIME);
        self.insert(notice.key, notice.origin, now + lifetime, now);
    }

    /// Adds the record of another host, and writes it to the store next.
    pub fn merge_for_store(&mut self, notice: &BindingNotice, now: Instant) {
        self.merge(notice, now);
        self.unstored.push(notice.key);
    }

    /// Writes these records to the store next.
    pub fn store(&mut self, keys: impl Iterator<Item = StreamKey>) {
        self.unstored.extend(keys);
        let excess = self.unstored.len().saturating_sub(MAX_BINDINGS);
        self.unstored.drain(..excess);
    }

    /// What is known of a stream.
    pub fn lookup(&self, key: StreamKey, now: Instant) -> BindingLookup {
        let binding = self.bindings.get(&key).filter(|binding| now < binding.expires);
        match binding {
            None => BindingLookup::Unknown,
            Some(Binding { origin: None, .. }) => BindingLookup::Contradictory,
            Some(Binding { origin: Some(origin), since, .. }) => {
                BindingLookup::Bound { origin: *origin, age: now.saturating_duration_since(*since) }
            }
        }
    }

    /// The record of a stream, for another host.
    pub fn notice(&self, key: StreamKey, now: Instant) -> Option<BindingNotice> {
        let binding = self.bindings.get(&key).filter(|binding| now < binding.expires)?;
        let left = binding.expires.saturating_duration_since(now);
        Some(BindingNotice { key, origin: binding.origin, left_ms: left.as_millis() as u32 })
    }

    /// Publishes all own records that were not published, since one version can no longer be taken for granted.
    /// Returns whether there are any.
    pub fn publish_all(&mut self, now: Instant) -> bool {
        let is_open = |binding: &Binding| binding.is_own && !binding.is_published;
        for (key, binding) in &mut self.bindings {
            if is_open(binding) && now < binding.expires {
                binding.is_published = true;
                self.unpublished.push(*key);
            }
        }
        !self.unpublished.is_empty()
    }

    /// Own records to be published now.
    pub fn take_unpublished(&mut self, now: Instant) -> Vec<BindingNotice> {
        let keys = std::mem::take(&mut self.unpublished);
        keys.into_iter().filter_map(|key| self.notice(key, now)).collect()
    }

    /// Records to be written to the store now.
    pub fn take_unstored(&mut self, now: Instant) -> Vec<BindingNotice> {
        let keys = std::mem::take(&mut self.unstored);
        keys.into_iter().filter_map(|key| self.notice(key, now)).collect()
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.bindings.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.bindings.is_empty()
    }

    fn insert(
        &mut self,
        key: StreamKey,
        origin: Option<StreamOrigin>,
        expires: Instant,
        now: Instant,
    ) {
        self.purge(now);
        if let Some(known) = self.bindings.get_mut(&key).filter(|known| now < known.expires) {
            if known.origin != origin {
                known.origin = None;
            }
            known.expires = known.expires.max(expires);
            return;
        }
        if MAX_BINDINGS <= self.bindings.len() {
            self.bindings.drain(..EVICTED_BINDINGS);
        }
        let binding = Binding { origin, since: now, expires, is_own: false, is_published: false };
        self.bindings.insert(key, binding);
    }

    fn purge(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < PURGE_INTERVAL;
        if self.purged.is_some_and(is_recent) {
            return;
        }
        self.purged = Some(now);
        self.bindings.retain(|_, binding| now < binding.expires);
    }
}
