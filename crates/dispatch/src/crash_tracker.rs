//! Tracks requests that crash the servers that run them.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::ServerKey;

/// Maximum number of tracked requests; the oldest are evicted first.
const MAX_TRACKED_REQUESTS: usize = 4_096;

/// Limits of the crash tracker.
#[derive(Clone, Copy, Debug)]
pub struct CrashConf {
    /// Number of crashed servers from which a request is rejected. Two may crash by coincidence while
    /// they run a request that is not the cause; three hardly do.
    pub min_crashes: usize,
    /// How long a request is tracked after its last crash.
    pub retention: Duration,
}

impl Default for CrashConf {
    fn default() -> CrashConf {
        CrashConf { min_crashes: 3, retention: Duration::from_secs(60) }
    }
}

/// The server incarnations that crashed while they ran each request, as seen by any router.
///
/// A caller may retry such a request under new ids and at any router, so that crashes seen by all
/// routers are counted together.
#[derive(Debug)]
pub struct CrashTracker {
    conf: CrashConf,
    records: IndexMap<u128, CrashRecord>,
}

#[derive(Debug)]
struct CrashRecord {
    servers: IndexSet<ServerKey>,
    last_seen: Instant,
}

impl CrashTracker {
    /// Creates a tracker without crashes.
    pub fn new(conf: CrashConf) -> CrashTracker {
        CrashTracker { conf, records: IndexMap::new() }
    }

    /// Records that the server crashed while it ran the request. Returns whether this was not
    /// known.
    pub fn record(&mut self, fingerprint: u128, server: ServerKey, now: Instant) -> bool {
        self.evict(now);
        let record = self
            .records
            .entry(fingerprint)
            .or_insert_with(|| CrashRecord { servers: IndexSet::new(), last_seen: now });
        record.last_seen = now;
        record.servers.insert(server)
    }

    /// Clears the request: a server has completed it.
    pub fn clear(&mut self, fingerprint: u128) {
        self.records.shift_remove(&fingerprint);
    }

    /// Whether the request must be rejected.
    pub fn must_reject(&self, fingerprint: u128) -> bool {
        let min_crashes = self.conf.min_crashes;
        self.records.get(&fingerprint).is_some_and(|record| min_crashes <= record.servers.len())
    }

    /// Servers that crashed while they ran the request.
    pub fn count(&self, fingerprint: u128) -> usize {
        self.records.get(&fingerprint).map_or(0, |record| record.servers.len())
    }

    fn evict(&mut self, now: Instant) {
        let retention = self.conf.retention;
        while MAX_TRACKED_REQUESTS <= self.records.len() {
            self.records.shift_remove_index(0);
        }
        self.records
            .retain(|_, record| now.saturating_duration_since(record.last_seen) < retention);
    }
}
