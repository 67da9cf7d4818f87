//! Runs of requests at servers, as seen by one host.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_names::WeightsVersion;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::ServerKey;

/// A run that ended without a complete response counts as in flight for this time: its server may end under it later,
/// or have ended before the host noticed.
const GRACE_PERIOD: Duration = Duration::from_secs(1);
/// Upper bound on remembered ended runs; the oldest are dropped first.
const MAX_ENDED_RUNS: usize = 1_024;
/// A run that is younger may still crash its server by a part of its prompt.
const PART_TRIAL_TIME: Duration = Duration::from_millis(500);

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The server has answered, or did not run the request.
    Answered,
    /// The connection broke, or the run was given up.
    Unclear,
}

/// What runs at a server.
#[derive(Clone, Debug)]
pub struct RunSubject {
    /// Fingerprint of the request.
    pub fingerprint: u128,
    /// Keys of the prompt's parts but the last.
    pub parts: Arc<[u128]>,
    /// The weights that the prompt runs on.
    pub weights: Option<WeightsVersion>,
}

impl RunSubject {
    /// A request without a prompt.
    pub fn plain(fingerprint: u128) -> RunSubject {
        RunSubject { fingerprint, parts: Arc::from([]), weights: None }
    }
}

/// A run that may crash its server by a part of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PartRun {
    pub(crate) part: u128,
    pub(crate) began: Instant,
    pub(crate) weights: Option<WeightsVersion>,
}

#[derive(Clone, Debug)]
struct RunEntry {
    subject: RunSubject,
    server: ServerKey,
    began: Instant,
    /// The server has begun to answer, so that no part of the prompt crashes it any more.
    is_answering: bool,
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
    pub(crate) fn begin(&mut self, subject: RunSubject, server: ServerKey, now: Instant) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let run = RunEntry { subject, server, began: now, is_answering: false, ended: None };
        self.open.insert(id, run);
        id
    }

    /// Records that the server has begun to answer. Returns the run's subject and begin.
    pub(crate) fn mark_answering(&mut self, id: u64) -> Option<(RunSubject, Instant)> {
        let run = self.open.get_mut(&id)?;
        run.is_answering = true;
        Some((run.subject.clone(), run.began))
    }

    /// Ends a run. Returns the fingerprint of its request.
    pub(crate) fn end(&mut self, id: u64, end: RunEnd, now: Instant) -> Option<u128> {
        let run = self.open.swap_remove(&id)?;
        if end == RunEnd::Answered {
            return Some(run.subject.fingerprint);
        }
        if MAX_ENDED_RUNS <= self.ended.len() {
            let kept = MAX_ENDED_RUNS / 2;
            self.ended.drain(..self.ended.len() - kept);
        }
        let fingerprint = run.subject.fingerprint;
        self.ended.push(RunEntry { ended: Some(now), ..run });
        Some(fingerprint)
    }

    /// Requests that were running when the server broke connections at `broken_at`, or ended unclearly shortly before.
    pub(crate) fn requests_at(&self, server: ServerKey, broken_at: Instant) -> Vec<u128> {
        let runs = self.runs_at(server, broken_at);
        let mut requests: Vec<u128> = runs.map(|run| run.subject.fingerprint).collect();
        requests.sort_unstable();
        requests.dedup();
        requests
    }

    /// Parts of prompts that the server may not have begun to answer then, each with its latest run.
    pub(crate) fn parts_at(&self, server: ServerKey, broken_at: Instant) -> Vec<PartRun> {
        let mut latest: IndexMap<u128, PartRun> = IndexMap::new();
        for run in self.runs_at(server, broken_at).filter(|run| !run.is_answering) {
            for part in run.subject.parts.iter() {
                let (began, weights) = (run.began, run.subject.weights);
                let part_run = PartRun { part: *part, began, weights };
                let known = latest.entry(*part).or_insert(part_run);
                known.began = known.began.max(began);
                known.weights = known.weights.max(weights);
            }
        }
        latest.into_values().collect()
    }

    fn runs_at(&self, server: ServerKey, broken_at: Instant) -> impl Iterator<Item = &RunEntry> {
        let is_recent =
            move |run: &&RunEntry| run.ended.is_none_or(|ended| broken_at <= ended + GRACE_PERIOD);
        let runs = self.open.values().chain(self.ended.iter().filter(is_recent));
        runs.filter(move |run| run.server == server)
    }

    /// Servers at which the request is in flight.
    pub(crate) fn servers_of(&self, fingerprint: u128) -> impl Iterator<Item = ServerKey> {
        let runs = self.open.values().filter(move |run| run.subject.fingerprint == fingerprint);
        runs.map(|run| run.server)
    }

    /// Whether a run at the server is in flight or ended unclearly a moment ago.
    pub(crate) fn has_runs_at(&self, server: ServerKey, now: Instant) -> bool {
        !self.requests_at(server, now).is_empty()
    }

    /// Whether a run of the request is in flight.
    pub(crate) fn runs(&self, fingerprint: u128) -> bool {
        self.open.values().any(|run| run.subject.fingerprint == fingerprint)
    }

    /// A server at which a run with the part has begun lately, and may still crash it.
    pub(crate) fn starting_at(&self, part: u128, now: Instant) -> Option<ServerKey> {
        let is_starting = |run: &&RunEntry| {
            !run.is_answering
                && now.saturating_duration_since(run.began) < PART_TRIAL_TIME
                && run.subject.parts.contains(&part)
        };
        self.open.values().find(is_starting).map(|run| run.server)
    }
}
