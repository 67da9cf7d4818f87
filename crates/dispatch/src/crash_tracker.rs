//! Requests that crash the servers that run them.

use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::ServerKey;

/// Requests remembered at most; the oldest go first.
const MOST_PRINTS: usize = 4_096;

/// When a request is refused.
#[derive(Clone, Copy, Debug)]
pub struct CrashConf {
    /// Servers that must have crashed. An innocent request that happened to run on a server that
    /// crashed meets a second such server now and then, but hardly a third.
    pub convicting: usize,
    /// A request that was not seen for so long is forgotten.
    pub memory: Duration,
}

impl Default for CrashConf {
    fn default() -> CrashConf {
        CrashConf { convicting: 3, memory: Duration::from_secs(60) }
    }
}

/// The starts of servers that each request was seen to crash, here or at other routers.
///
/// Such a request comes again under new ids, at any router. If each router only counted its own,
/// the request would take down a server for each router there is.
#[derive(Debug)]
pub struct CrashTracker {
    conf: CrashConf,
    crashes: IndexMap<u128, CrashCase>,
}

#[derive(Debug)]
struct CrashCase {
    servers: IndexSet<ServerKey>,
    seen: Instant,
}

impl CrashTracker {
    /// Knows nothing yet.
    pub fn new(conf: CrashConf) -> CrashTracker {
        CrashTracker { conf, crashes: IndexMap::new() }
    }

    /// The server crashed while it ran the request. Returns whether that is news.
    pub fn note(&mut self, print: u128, server: ServerKey, now: Instant) -> bool {
        self.forget(now);
        let case = self
            .crashes
            .entry(print)
            .or_insert_with(|| CrashCase { servers: IndexSet::new(), seen: now });
        case.seen = now;
        case.servers.insert(server)
    }

    /// The server completed the request: it does not crash what runs it.
    pub fn acquit(&mut self, print: u128) {
        self.crashes.shift_remove(&print);
    }

    /// Whether the request is refused.
    pub fn is_convicted(&self, print: u128) -> bool {
        let convicting = self.conf.convicting;
        self.crashes.get(&print).is_some_and(|case| convicting <= case.servers.len())
    }

    /// Crashes held against the request.
    pub fn count(&self, print: u128) -> usize {
        self.crashes.get(&print).map_or(0, |case| case.servers.len())
    }

    fn forget(&mut self, now: Instant) {
        let memory = self.conf.memory;
        while MOST_PRINTS <= self.crashes.len() {
            self.crashes.shift_remove_index(0);
        }
        self.crashes.retain(|_, case| now.saturating_duration_since(case.seen) < memory);
    }
}
