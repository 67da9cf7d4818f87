//! Runs of requests through this router.

use std::collections::VecDeque;

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::CrashId;
use crate::Fingerprint;
use crate::SuspectConf;

/// Maximum number of recently ended runs that are kept.
const MAX_RECENTLY_ENDED: usize = 4_096;

/// In-flight and recently ended runs of this router.
#[derive(Debug, Default)]
pub(crate) struct RunTable {
    runs: IndexMap<u64, RunEntry>,
    servers: IndexMap<ServerName, IndexSet<u64>>,
    /// Runs that ended without a complete response. The caller may disconnect, or the connection
    /// break, just before a crash of the server is detected.
    recently_ended: VecDeque<(Instant, RunEntry)>,
    next_id: u64,
}

/// One run of a request at a server.
#[derive(Clone, Debug)]
pub(crate) struct RunEntry {
    /// Fingerprint of the request.
    pub(crate) fingerprint: Fingerprint,
    /// The server and incarnation that it runs on.
    pub(crate) target: CrashId,
}

impl RunTable {
    /// Adds a run and returns its id.
    pub(crate) fn begin(&mut self, run: RunEntry) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        match self.servers.get_mut(&run.target.server) {
            Some(ids) => {
                ids.insert(id);
            }
            None => {
                self.servers.insert(run.target.server.clone(), IndexSet::from([id]));
            }
        }
        self.runs.insert(id, run);
        id
    }

    /// Removes a run.
    pub(crate) fn end(&mut self, id: u64) -> Option<RunEntry> {
        let run = self.runs.swap_remove(&id)?;
        let ids = self.servers.get_mut(&run.target.server)?;
        ids.swap_remove(&id);
        if ids.is_empty() {
            self.servers.swap_remove(&run.target.server);
        }
        Some(run)
    }

    /// Keeps a run that ended without a complete response, for the grace period.
    pub(crate) fn remember_ended(&mut self, run: RunEntry, conf: &SuspectConf, now: Instant) {
        let is_expired = |at: Instant| now.saturating_duration_since(at) > conf.grace_period;
        while self.recently_ended.front().is_some_and(|(at, _)| is_expired(*at)) {
            self.recently_ended.pop_front();
        }
        if self.recently_ended.len() == MAX_RECENTLY_ENDED {
            self.recently_ended.pop_front();
        }
        self.recently_ended.push_back((now, run));
    }

    /// Requests in flight on a server.
    pub(crate) fn fingerprints_on(&self, server: &ServerName) -> impl Iterator<Item = Fingerprint> {
        let ids = self.servers.get(server).into_iter().flatten();
        ids.filter_map(|id| self.runs.get(id)).map(|run| run.fingerprint)
    }

    /// The server and incarnation that a request runs on, if it is in flight.
    pub(crate) fn target_of(&self, fingerprint: Fingerprint) -> Option<&CrashId> {
        self.runs.values().find(|run| run.fingerprint == fingerprint).map(|run| &run.target)
    }

    /// Runs that a crash of this incarnation may have ended: those in flight on it or on an earlier
    /// one, and those that ended there within the grace period.
    pub(crate) fn affected_by_crash(
        &self,
        server: &ServerName,
        incarnation: Incarnation,
        conf: &SuspectConf,
        now: Instant,
    ) -> Vec<RunEntry> {
        let ids = self.servers.get(server).into_iter().flatten();
        let running = ids.filter_map(|id| self.runs.get(id));
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= conf.grace_period;
        let recent =
            self.recently_ended.iter().filter(|(at, _)| is_recent(*at)).map(|(_, run)| run);
        let was_on_server =
            |run: &&RunEntry| run.target.server == *server && run.target.incarnation <= incarnation;
        running.chain(recent).filter(was_on_server).cloned().collect()
    }
}
