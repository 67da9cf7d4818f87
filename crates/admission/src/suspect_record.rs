//! Record of one suspect.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ServerName;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::CrashId;
use crate::SuspectConf;

/// Maximum number of cleared crashes kept per request, so that late reports of them are ignored.
const MAX_CLEARED: usize = 8;

/// A request that was in flight when a server crashed, or that was cleared of a crash.
#[derive(Debug)]
pub(crate) struct SuspectRecord {
    /// Crashes that count against it, and when each was seen.
    pub(crate) crashes: IndexMap<CrashId, Instant>,
    /// Crashes that it did not cause.
    pub(crate) cleared: IndexSet<CrashId>,
    pub(crate) status: SuspectStatus,
    /// Other routers that run the request, with the server and the expiry of their report.
    peer_runs: IndexMap<HostName, (ServerName, Instant)>,
    last_updated: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SuspectStatus {
    /// Not convicted. No crash may be left if the request was cleared.
    Suspected,
    Convicted,
}

impl SuspectRecord {
    /// Creates a record without crashes.
    pub(crate) fn new(now: Instant) -> SuspectRecord {
        SuspectRecord {
            crashes: IndexMap::new(),
            cleared: IndexSet::new(),
            status: SuspectStatus::Suspected,
            peer_runs: IndexMap::new(),
            last_updated: now,
        }
    }

    /// The latest crash that counts against the request.
    pub(crate) fn latest_crash(&self) -> Option<(&CrashId, Instant)> {
        let (crash, at) = self.crashes.iter().max_by_key(|(crash, at)| (**at, *crash))?;
        Some((crash, *at))
    }

    pub(crate) fn has_multiple_crashes(&self) -> bool {
        self.crashes.len() > 1
    }

    /// Removes a crash. A conviction is revoked if fewer than two crashes remain.
    pub(crate) fn remove_crash(&mut self, crash: &CrashId) {
        self.crashes.shift_remove(crash);
        if !self.has_multiple_crashes() {
            self.status = SuspectStatus::Suspected;
        }
    }

    /// Records that the request did not cause this crash.
    pub(crate) fn add_cleared(&mut self, crash: &CrashId) {
        self.cleared.insert(crash.clone());
        if self.cleared.len() > MAX_CLEARED {
            self.cleared.shift_remove_index(0);
        }
    }

    /// Restarts the expiry of the record.
    pub(crate) fn mark_updated(&mut self, now: Instant) {
        self.last_updated = now;
    }

    /// Sets the run of another router and returns the server of its previous run.
    pub(crate) fn set_peer_run(
        &mut self,
        host: &HostName,
        run: Option<(ServerName, Instant)>,
    ) -> Option<ServerName> {
        let previous = match run {
            Some(run) => self.peer_runs.insert(host.clone(), run),
            None => self.peer_runs.swap_remove(host),
        };
        previous.map(|(server, _)| server)
    }

    /// Servers on which other routers currently run the request.
    pub(crate) fn peer_run_servers(&self, now: Instant) -> impl Iterator<Item = &ServerName> {
        let is_valid = move |(_, until): &&(ServerName, Instant)| *until > now;
        self.peer_runs.values().filter(is_valid).map(|(server, _)| server)
    }

    pub(crate) fn is_expired(&self, conf: &SuspectConf, now: Instant) -> bool {
        let ttl = match self.status {
            SuspectStatus::Convicted => conf.convicted_ttl,
            SuspectStatus::Suspected => conf.suspect_ttl,
        };
        self.age(now) > ttl
    }

    /// Time since the last update.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_updated)
    }
}
