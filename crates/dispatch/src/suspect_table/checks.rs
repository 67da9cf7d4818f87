//! Checks of servers that broke off requests.

use std::time::Duration;

use fulmargate_names::HostName;
use indexmap::IndexMap;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::CheckInputs;
use crate::CheckVerdict;
use crate::CrashProof;
use crate::CrashReason;
use crate::ProbeNotice;
use crate::ProbeOutcome;
use crate::ServerKey;
use crate::SuspectChange;
use crate::SuspectKind;
use crate::SuspectReport;
use crate::SuspectTable;

/// Time for which the outcome of a connection attempt is published.
const PROBE_PUBLISH_TIME: Duration = Duration::from_secs(1);
/// Minimum interval between two connection attempts for other hosts to one server.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Connections that break within this time of each other count as one break.
const SAME_BREAK_TIME: Duration = Duration::from_millis(300);
/// Time for which outcomes are kept. Longer than a check.
const PROBE_TTL: Duration = Duration::from_secs(15);
/// Outcomes older than the break by less than this count as later: clocks and messages are inexact.
const AGE_TOLERANCE: Duration = Duration::from_millis(5);
/// Hosts that try a connection for another one, in a large fleet.
pub(crate) const MAX_PROBING_HOSTS: usize = 8;

/// A check that this host makes.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerCheck {
    /// The first break of a connection.
    first_broken_at: Instant,
    /// The latest one, which connection attempts have to follow.
    broken_at: Instant,
    outcome: Option<ProbeOutcome>,
    /// When the other hosts were asked.
    asked: Option<Instant>,
    needs_probe: bool,
    /// When the latest request was sent that the server has answered.
    answered: Option<Instant>,
}

impl ServerCheck {
    /// Whether this process of the server has answered a request that was sent later.
    fn has_answered_since(&self, at: Instant) -> bool {
        self.answered.is_some_and(|sent| at < sent)
    }
}

/// Latest connection attempts of all hosts to a server.
#[derive(Debug)]
pub(super) struct ProbeRecord {
    own: Option<(ProbeOutcome, Instant)>,
    others: IndexMap<HostName, (ProbeOutcome, Instant)>,
    /// Another host has asked for an attempt.
    is_wanted: bool,
    last_updated: Instant,
}

impl SuspectTable {
    /// Starts a check of a server that broke a connection. Returns false if one is under way, which then tries the
    /// server again.
    pub fn begin_check(&mut self, server: ServerKey, now: Instant) -> bool {
        if let Some(check) = self.checks.get_mut(&server) {
            let age = now.saturating_duration_since(check.broken_at);
            if check.outcome.is_some() && SAME_BREAK_TIME <= age {
                *check = ServerCheck {
                    broken_at: now,
                    outcome: None,
                    asked: None,
                    needs_probe: true,
                    ..*check
                };
            }
            return false;
        }
        let check = ServerCheck {
            first_broken_at: now,
            broken_at: now,
            outcome: None,
            asked: None,
            needs_probe: true,
            answered: None,
        };
        self.checks.insert(server, check);
        true
    }

    /// Records that a server has answered a request that was sent at `sent` to this process of it.
    pub fn record_answer(&mut self, server: ServerKey, sent: Instant) {
        if let Some(check) = self.checks.get_mut(&server) {
            check.answered = check.answered.max(Some(sent));
        }
    }

    /// Whether the next connection attempt of a check has not ended.
    pub fn awaits_probe(&self, server: ServerKey) -> bool {
        self.checks.get(&server).is_some_and(|check| check.outcome.is_none())
    }

    /// Whether a check has to try the server now.
    pub fn take_needed_probe(&mut self, server: ServerKey) -> bool {
        self.checks.get_mut(&server).is_some_and(|check| std::mem::take(&mut check.needs_probe))
    }

    /// Records whether a connection to the server was opened. If it failed under a check, the requests that ran there
    /// are suspected; otherwise those that are suspected already.
    pub fn record_probe(&mut self, server: ServerKey, outcome: ProbeOutcome, now: Instant) {
        let record = self.probe_mut(server, now);
        record.own = Some((outcome, now));
        let Some(check) = self.checks.get_mut(&server) else { return };
        check.outcome = Some(outcome);
        if outcome != ProbeOutcome::Reached {
            check.asked.get_or_insert(now);
        }
        let broken_at = check.broken_at;
        for fingerprint in self.suspects_at(server, broken_at, now) {
            // A server that takes connections may have ended and be back: that counts for suspects until the list tells.
            if outcome == ProbeOutcome::Reached && !self.is_suspected(fingerprint) {
                continue;
            }
            let record = self.record_mut(SuspectKind::Request, fingerprint, now);
            if record.add_crash(server, broken_at, CrashProof::Suspected) {
                record.mark_changed(now);
            }
        }
        if outcome != ProbeOutcome::Reached {
            self.suspect_parts_at(server, broken_at, now);
        }
    }

    /// Records that a connection attempt of a check was inconclusive, so that another one is needed.
    pub fn record_no_probe(&mut self, server: ServerKey) {
        if let Some(check) = self.checks.get_mut(&server) {
            *check = ServerCheck { outcome: None, needs_probe: true, ..*check };
        }
    }

    /// Number of requests that ran at a server under check when it broke connections.
    pub fn requests_at(&self, server: ServerKey) -> usize {
        let check = self.checks.get(&server);
        check.map_or(0, |check| self.runs.requests_at(server, check.broken_at).len())
    }

    /// What is known of a server under check. The caller adds the peers, the list and the control.
    pub fn check_inputs(&self, server: ServerKey, now: Instant) -> CheckInputs {
        let Some(check) = self.checks.get(&server) else { return CheckInputs::default() };
        let since = check.broken_at.checked_sub(AGE_TOLERANCE).unwrap_or(check.broken_at);
        let others = self.probes.get(&server).into_iter().flat_map(|record| record.others.values());
        let recent: Vec<ProbeOutcome> =
            others.filter(|(_, at)| since <= *at).map(|(outcome, _)| *outcome).collect();
        let count = |wanted| recent.iter().filter(|outcome| **outcome == wanted).count();
        CheckInputs {
            own_reached: check.outcome.map(|outcome| outcome == ProbeOutcome::Reached),
            others_reached: count(ProbeOutcome::Reached),
            others_failed: count(ProbeOutcome::Failed),
            others_isolated: count(ProbeOutcome::Isolated),
            is_control_reached: check.outcome == Some(ProbeOutcome::Failed),
            is_confirmed: self.records.values().any(|record| record.is_confirmed(server)),
            has_survived: check.has_answered_since(check.broken_at),
            age: now.saturating_duration_since(check.broken_at),
            asked: check.asked.map(|asked| now.saturating_duration_since(asked)),
            ..CheckInputs::default()
        }
    }

    /// Drops the suspicions that rest on a server which hosts reach. Those of requests with other crashes on record
    /// stay until the check ends: the server may have ended and be back.
    pub fn drop_suspicions(&mut self, server: ServerKey, now: Instant) {
        self.verdicts = None;
        for record in self.records.values_mut() {
            if record.possible() == 1 && record.drop_suspected(server) {
                record.mark_changed(now);
            }
        }
    }

    /// Ends a check. After a crash all requests that ran at the server are evidence. Returns what has changed.
    pub fn finish_check(
        &mut self,
        server: ServerKey,
        verdict: CheckVerdict,
        now: Instant,
    ) -> Vec<SuspectChange> {
        let Some(check) = self.checks.swap_remove(&server) else { return Vec::new() };
        self.verdicts = None;
        if !matches!(verdict, CheckVerdict::Crashed(_)) {
            for record in self.records.values_mut() {
                if record.drop_suspected(server) {
                    record.mark_changed(now);
                }
            }
            return Vec::new();
        }
        let broken_at = match verdict {
            CheckVerdict::Crashed(CrashReason::Unlisted)
                if !check.has_answered_since(check.first_broken_at) =>
            {
                check.first_broken_at
            }
            _ => check.broken_at,
        };
        let age = now.saturating_duration_since(broken_at);
        let mut changes = Vec::new();
        for fingerprint in self.suspects_at(server, broken_at, now) {
            let record = self.record_mut(SuspectKind::Request, fingerprint, now);
            if record.add_crash(server, broken_at, CrashProof::Confirmed) {
                record.mark_changed(now);
                record.write_at = Some(now);
                changes.push(self.change(fingerprint, server, CrashProof::Confirmed, age));
            }
        }
        self.confirm_parts_at(server, broken_at, now, &mut changes);
        changes
    }

    /// Servers that this host has to try for others, among these live hosts.
    pub fn take_wanted_probes(&mut self, peers: &[HostName], now: Instant) -> Vec<ServerKey> {
        self.probes
            .retain(|_, record| now.saturating_duration_since(record.last_updated) < PROBE_TTL);
        let mut wanted = Vec::new();
        for (server, record) in &mut self.probes {
            if std::mem::take(&mut record.is_wanted) && is_prober(&self.own, peers, *server) {
                wanted.push(*server);
            }
        }
        wanted
    }

    /// Whether a server has to be tried for another host.
    pub fn has_wanted_probes(&self) -> bool {
        self.probes.values().any(|record| record.is_wanted)
    }

    pub(super) fn want_probe(&mut self, server: ServerKey, now: Instant) {
        let record = self.probe_mut(server, now);
        let age = record.own.map(|(_, at)| now.saturating_duration_since(at));
        record.is_wanted = age.is_none_or(|age| PROBE_INTERVAL <= age);
    }

    pub(super) fn merge_probes(&mut self, from: &HostName, report: &SuspectReport, now: Instant) {
        for probe in &report.probes {
            let age = Duration::from_millis(u64::from(probe.age_ms));
            let at = now.checked_sub(age).unwrap_or(now);
            let record = self.probe_mut(probe.server, now);
            record.others.insert(from.clone(), (probe.outcome(), at));
            if probe.is_question {
                self.want_probe(probe.server, now);
            }
        }
    }

    pub(super) fn probe_notices(&self, now: Instant) -> Vec<ProbeNotice> {
        let mut notices = Vec::new();
        for (server, record) in &self.probes {
            let Some((outcome, at)) = record.own else { continue };
            let age = now.saturating_duration_since(at);
            if age < PROBE_PUBLISH_TIME {
                let age_ms = age.as_millis() as u32;
                let is_open = self.checks.contains_key(server);
                let is_question = is_open && outcome != ProbeOutcome::Reached;
                notices.push(ProbeNotice {
                    server: *server,
                    is_reached: outcome == ProbeOutcome::Reached,
                    age_ms,
                    reaches_service: outcome == ProbeOutcome::Failed,
                    is_question,
                });
            }
        }
        notices
    }

    fn probe_mut(&mut self, server: ServerKey, now: Instant) -> &mut ProbeRecord {
        let new = || ProbeRecord {
            own: None,
            others: IndexMap::new(),
            is_wanted: false,
            last_updated: now,
        };
        let record = self.probes.entry(server).or_insert_with(new);
        record.last_updated = now;
        record
    }
}

/// Whether a host is among those that try the server for others.
fn is_prober(own: &HostName, peers: &[HostName], server: ServerKey) -> bool {
    let order = |host: &HostName| xxh3_64_with_seed(host.as_str().as_bytes(), server.0);
    let own_order = order(own);
    peers.iter().filter(|host| order(host) < own_order).count() < MAX_PROBING_HOSTS
}
