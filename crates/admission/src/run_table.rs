//! What runs where, through this router.

use std::collections::VecDeque;

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::CrashId;
use crate::Fingerprint;
use crate::SuspectConf;

/// Runs that ended unclearly and are remembered at most.
const MOST_RECENT: usize = 4_096;

/// The runs of this router, by server.
#[derive(Debug, Default)]
pub(crate) struct RunTable {
    runs: IndexMap<u64, RunEntry>,
    servers: IndexMap<ServerName, IndexSet<u64>>,
    /// Runs that ended unclearly: a caller may hang up, or a connection break, just before it is
    /// known that the server crashed.
    recent: VecDeque<(Instant, RunEntry)>,
    next_id: u64,
}

/// One run of a request at a server.
#[derive(Clone, Debug)]
pub(crate) struct RunEntry {
    /// The request.
    pub(crate) print: Fingerprint,
    /// The crash that would end it.
    pub(crate) place: CrashId,
}

impl RunTable {
    /// Adds a run.
    pub(crate) fn begin(&mut self, run: RunEntry) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        match self.servers.get_mut(&run.place.server) {
            Some(ids) => {
                ids.insert(id);
            }
            None => {
                self.servers.insert(run.place.server.clone(), IndexSet::from([id]));
            }
        }
        self.runs.insert(id, run);
        id
    }

    /// Takes a run out.
    pub(crate) fn end(&mut self, id: u64) -> Option<RunEntry> {
        let run = self.runs.swap_remove(&id)?;
        let ids = self.servers.get_mut(&run.place.server)?;
        ids.swap_remove(&id);
        if ids.is_empty() {
            self.servers.swap_remove(&run.place.server);
        }
        Some(run)
    }

    /// Remembers a run that ended unclearly.
    pub(crate) fn remember(&mut self, run: RunEntry, conf: &SuspectConf, now: Instant) {
        let old = |at: Instant| now.saturating_duration_since(at) > conf.grace;
        while self.recent.front().is_some_and(|(at, _)| old(*at)) {
            self.recent.pop_front();
        }
        if self.recent.len() == MOST_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back((now, run));
    }

    /// The requests that run on a server.
    pub(crate) fn prints_on(&self, server: &ServerName) -> impl Iterator<Item = Fingerprint> {
        let ids = self.servers.get(server).into_iter().flatten();
        ids.filter_map(|id| self.runs.get(id)).map(|run| run.print)
    }

    /// Where a request runs.
    pub(crate) fn place_of(&self, print: Fingerprint) -> Option<&CrashId> {
        self.runs.values().find(|run| run.print == print).map(|run| &run.place)
    }

    /// All that the end of an incarnation ended: what runs on it or on an earlier one, and what
    /// ended there unclearly a short while ago.
    pub(crate) fn victims(
        &self,
        server: &ServerName,
        incarnation: Incarnation,
        conf: &SuspectConf,
        now: Instant,
    ) -> Vec<RunEntry> {
        let ids = self.servers.get(server).into_iter().flatten();
        let running = ids.filter_map(|id| self.runs.get(id));
        let fresh = |at: Instant| now.saturating_duration_since(at) <= conf.grace;
        let recent = self.recent.iter().filter(|(at, _)| fresh(*at)).map(|(_, run)| run);
        let hit =
            |run: &&RunEntry| run.place.server == *server && run.place.incarnation <= incarnation;
        running.chain(recent).filter(hit).cloned().collect()
    }
}
