//! Runs of requests at servers, as seen by one host.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::ServerKey;

/// A run that ended without a complete response counts as in flight for this time: its server may end under it later,
/// or have ended before the host noticed.
const GRACE_PERIOD: Duration = Duration::from_secs(1);
/// Upper bound on remembered ended runs; the oldest are dropped first.
const MAX_ENDED_RUNS: usize = 1_024;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The server has answered, or did not run the request.
    Answered,
    /// The connection broke, or the run was given up.
    Unclear,
}

#[derive(Clone, Copy, Debug)]
struct RunEntry {
    fingerprint: u128,
    server: ServerKey,
    ended: Option<Instant>,
}

/// Runs in flight, and those that ended a moment ago without a complete response.
#[derive(Debug, Default)]
pub(crate) struct RunLog {
    open: IndexMap<u64, RunEntry>,
    /// The newest is last.
    ended: Vec<RunEntry>,
    next_id: u64,
}

impl RunLog {
    pub(crate) fn begin(&mut self, fingerprint: u128, server: ServerKey) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        self.open.insert(id, RunEntry { fingerprint, server, ended: None });
        id
    }

    /// Ends a run. Returns the fingerprint of its request.
    pub(crate) fn end(&mut self, id: u64, end: RunEnd, now: Instant) -> Option<u128> {
        let run = self.open.swap_remove(&id)?;
        if end == RunEnd::Answered {
            return Some(run.fingerprint);
        }
        if MAX_ENDED_RUNS <= self.ended.len() {
            let kept = MAX_ENDED_RUNS / 2;
            self.ended.drain(..self.ended.len() - kept);
        }
        self.ended.push(RunEntry { ended: Some(now), ..run });
        Some(run.fingerprint)
    }

    /// Requests that were running when the server broke connections at `broken_at`, or ended unclearly shortly before.
    pub(crate) fn requests_at(&self, server: ServerKey, broken_at: Instant) -> Vec<u128> {
        let is_recent =
            |run: &&RunEntry| run.ended.is_none_or(|ended| broken_at <= ended + GRACE_PERIOD);
        let runs = self.open.values().chain(self.ended.iter().filter(is_recent));
        let mut requests: Vec<u128> =
            runs.filter(|run| run.server == server).map(|run| run.fingerprint).collect();
        requests.sort_unstable();
        requests.dedup();
        requests
    }

    /// Servers at which the request is in flight.
    pub(crate) fn servers_of(&self, fingerprint: u128) -> impl Iterator<Item = ServerKey> {
        let runs = self.open.values().filter(move |run| run.fingerprint == fingerprint);
        runs.map(|run| run.server)
    }

    /// Whether a run at the server is in flight or ended unclearly a moment ago.
    pub(crate) fn has_runs_at(&self, server: ServerKey, now: Instant) -> bool {
        !self.requests_at(server, now).is_empty()
    }

    /// Whether a run of the request is in flight.
    pub(crate) fn runs(&self, fingerprint: u128) -> bool {
        self.open.values().any(|run| run.fingerprint == fingerprint)
    }
}
