//! Tracks which services this host reaches, by the outcomes of its connection attempts to their servers.

use std::time::Duration;

use fulmargate_names::ServiceName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::ConnectOutcome;
use crate::ServerKey;

/// Failed servers, with none reached since the first of the failures, at which a service counts as unreached. A
/// smaller service has to fail as a whole.
const MIN_FAILED_SERVERS: usize = 3;
/// Consecutive failures at which a service of a single server counts as unreached: a server at its connection limit
/// may refuse one.
const MIN_SINGLE_FAILURES: u32 = 2;
/// Failures older than this are ignored.
const MAX_FAILURE_AGE: Duration = Duration::from_secs(5);
/// Consecutive failures at which a server counts as out of this host's reach while others are reached.
const MIN_SERVER_FAILURES: u32 = 2;
/// How long servers that failed are probed after another server of their service was reached.
const FOLLOW_UP_TIME: Duration = Duration::from_secs(5);
/// Servers of a service that are probed at once while none is reached.
const MAX_PROBES: usize = 3;
/// Rounds in which all failing servers of a service are probed while others are reached.
const PARTIAL_PROBE_ROUNDS: usize = 2;
/// Failing servers that are probed at once while others are reached.
const MAX_PARTIAL_PROBES: usize = 32;

/// Connection attempts by service.
#[derive(Debug, Default)]
pub(crate) struct ReachTracker {
    services: IndexMap<ServiceName, ServiceReach>,
    changes: Vec<ReachChange>,
}

#[derive(Debug, Default)]
struct ServiceReach {
    attempts: IndexMap<ServerKey, ServerAttempts>,
    /// Listed servers, as of the latest attempt.
    listed: usize,
    unreached_since: Option<Instant>,
    reached_at: Option<Instant>,
    /// Failed servers are probed until then.
    follow_up_until: Option<Instant>,
    /// Position of the next server to probe.
    next_probe: usize,
}

/// Latest attempts to one server.
#[derive(Clone, Copy, Debug)]
struct ServerAttempts {
    at: Instant,
    /// Consecutive failures; zero if the server was reached last.
    failures: u32,
    /// Time of the first of these.
    failing_since: Instant,
}

/// What a service's state rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachEvidence {
    /// Servers whose latest attempts failed.
    pub failed: usize,
    /// Listed servers.
    pub listed: usize,
    /// Age of the latest attempt.
    pub age: Duration,
    /// Outcome of the latest attempt.
    pub outcome: ConnectOutcome,
}

/// Start or end of a service's being out of reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReachChange {
    /// The service.
    pub service: ServiceName,
    /// How long it was out of reach; `None` at the start.
    pub ended_after: Option<Duration>,
    /// What the change rests on.
    pub evidence: ReachEvidence,
}

/// A change of whether a service is out of reach.
enum ReachStep {
    Lost,
    /// It is reached again, after this time.
    Regained(Duration),
}

impl ReachTracker {
    /// Records a connection attempt to one of the `listed` servers of a service.
    pub(crate) fn record(
        &mut self,
        service: &ServiceName,
        server: ServerKey,
        outcome: ConnectOutcome,
        listed: usize,
        now: Instant,
    ) {
        // Only failures create an entry, so that services that are always reached cost a look-up.
        if outcome == ConnectOutcome::Reached && !self.services.contains_key(service) {
            return;
        }
        let reach = self.services.entry(service.clone()).or_default();
        reach.listed = listed;
        reach.record(server, outcome, now);
        let ended_after = match reach.update_state(listed, now) {
            Some(ReachStep::Lost) => None,
            Some(ReachStep::Regained(lost_for)) => Some(lost_for),
            None => return,
        };
        let evidence = ReachEvidence {
            failed: reach.failed(now).count(),
            listed,
            age: Duration::ZERO,
            outcome,
        };
        self.changes.push(ReachChange { service: service.clone(), ended_after, evidence });
    }

    /// Forgets servers that are no longer listed, and services without servers.
    pub(crate) fn retain(&mut self, is_listed: impl Fn(ServerKey) -> bool) {
        for reach in self.services.values_mut() {
            reach.attempts.retain(|server, _| is_listed(*server));
        }
        self.services.retain(|_, reach| !reach.attempts.is_empty());
    }

    /// Changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<ReachChange> {
        std::mem::take(&mut self.changes)
    }

    /// Whether no server of the service can be reached from this host.
    pub(crate) fn is_unreached(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|reach| reach.unreached_since.is_some())
    }

    /// How long the service has been out of reach; `None` if it is not.
    pub(crate) fn unreached_for(&self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let since = self.services.get(service)?.unreached_since?;
        Some(now.saturating_duration_since(since))
    }

    /// Whether a connection to a server of the service failed.
    pub(crate) fn is_tracked(&self, service: &ServiceName) -> bool {
        self.services.contains_key(service)
    }

    /// Services with a failed attempt.
    pub(crate) fn tracked(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Services that are out of reach.
    pub(crate) fn unreached(&self) -> impl Iterator<Item = &ServiceName> {
        let unreached = self.services.iter().filter(|(_, reach)| reach.unreached_since.is_some());
        unreached.map(|(service, _)| service)
    }

    /// Whether a server of the service was reached since this time.
    pub(crate) fn was_reached_since(&self, service: &ServiceName, since: Instant) -> bool {
        let reached_at = self.services.get(service).and_then(|reach| reach.reached_at);
        reached_at.is_some_and(|reached_at| since <= reached_at)
    }

    /// Age of the latest attempt to any server of the service.
    pub(crate) fn evidence_age(&self, service: &ServiceName, now: Instant) -> Option<Duration> {
        let attempts = self.services.get(service)?.attempts.values();
        let latest = attempts.map(|attempts| attempts.at).max()?;
        Some(now.saturating_duration_since(latest))
    }

    /// Share of the requests for a service that this host should send itself. It fills the servers that it reaches
    /// up to the share that one of `hosts` hosts has in the service.
    pub(crate) fn local_share(
        &self,
        service: &ServiceName,
        listed: usize,
        hosts: usize,
        now: Instant,
    ) -> f64 {
        let Some(reach) = self.services.get(service) else { return 1.0 };
        if reach.unreached_since.is_some() {
            return 0.0;
        }
        let failing = reach.failing_count(now);
        if listed == 0 || failing * 2 < listed {
            return 1.0;
        }
        let reached_share = listed.saturating_sub(failing) as f64 / listed as f64;
        (reached_share * hosts as f64).min(1.0)
    }

    /// Whether few servers of the service are reached. The others are probed, so that no request has to try them.
    pub(crate) fn is_partly_reached(&self, service: &ServiceName, now: Instant) -> bool {
        let reach = self.services.get(service);
        reach.is_some_and(|reach| reach.unreached_since.is_none() && reach.is_partial(now))
    }

    /// Whether servers have to be probed.
    pub(crate) fn needs_probes(&self, now: Instant) -> bool {
        self.services.values().any(|reach| reach.needs_probes(now))
    }

    /// The servers to probe now, among these of a service.
    pub(crate) fn next_probes(
        &mut self,
        service: &ServiceName,
        listed: &[ServerKey],
        now: Instant,
    ) -> Vec<ServerKey> {
        let Some(reach) = self.services.get_mut(service) else { return Vec::new() };
        if !reach.needs_probes(now) || listed.is_empty() {
            return Vec::new();
        }
        if reach.unreached_since.is_some() {
            return reach.take_in_turn(listed, MAX_PROBES);
        }
        let failing: Vec<ServerKey> =
            listed.iter().copied().filter(|server| reach.is_failing(*server)).collect();
        if reach.is_followed_up(now) {
            return failing;
        }
        let count = failing.len().div_ceil(PARTIAL_PROBE_ROUNDS).min(MAX_PARTIAL_PROBES);
        reach.take_in_turn(&failing, count)
    }
}

impl ServiceReach {
    fn record(&mut self, server: ServerKey, outcome: ConnectOutcome, now: Instant) {
        let last = self.attempts.get(&server).filter(|last| 0 < last.failures);
        let is_failure = outcome != ConnectOutcome::Reached;
        let attempts = ServerAttempts {
            at: now,
            failures: if is_failure { last.map_or(1, |last| last.failures + 1) } else { 0 },
            failing_since: last.map_or(now, |last| last.failing_since),
        };
        self.attempts.insert(server, attempts);
        if !is_failure {
            self.reached_at = Some(now);
        }
    }

    /// Updates whether the service is out of reach. Returns the change, if any.
    fn update_state(&mut self, listed: usize, now: Instant) -> Option<ReachStep> {
        match self.unreached_since {
            Some(since) if self.reached_at.is_some_and(|reached_at| since <= reached_at) => {
                self.unreached_since = None;
                self.follow_up_until = Some(now + FOLLOW_UP_TIME);
                Some(ReachStep::Regained(now.saturating_duration_since(since)))
            }
            None if self.has_failed(listed, now) => {
                self.unreached_since = Some(now);
                Some(ReachStep::Lost)
            }
            _ => None,
        }
    }

    /// Whether enough servers failed, and none was reached since the first of these failures.
    fn has_failed(&self, listed: usize, now: Instant) -> bool {
        let (mut servers, mut failures) = (0, 0);
        let mut first_failure = now;
        for attempts in self.failed(now) {
            servers += 1;
            failures += attempts.failures;
            first_failure = first_failure.min(attempts.failing_since);
        }
        let is_enough = match listed {
            0 | 1 => MIN_SINGLE_FAILURES <= failures,
            _ => MIN_FAILED_SERVERS.min(listed) <= servers,
        };
        is_enough && self.reached_at.is_none_or(|reached_at| reached_at < first_failure)
    }

    fn failed(&self, now: Instant) -> impl Iterator<Item = &ServerAttempts> {
        self.attempts.values().filter(move |attempts| {
            0 < attempts.failures && now.saturating_duration_since(attempts.at) < MAX_FAILURE_AGE
        })
    }

    fn is_failing(&self, server: ServerKey) -> bool {
        self.attempts.get(&server).is_some_and(|attempts| 0 < attempts.failures)
    }

    /// Servers that count as out of this host's reach while others are reached.
    fn failing_count(&self, now: Instant) -> usize {
        self.failed(now).filter(|attempts| MIN_SERVER_FAILURES <= attempts.failures).count()
    }

    fn is_followed_up(&self, now: Instant) -> bool {
        self.follow_up_until.is_some_and(|until| now < until)
    }

    fn needs_probes(&self, now: Instant) -> bool {
        let has_failing = || self.attempts.values().any(|attempts| 0 < attempts.failures);
        self.unreached_since.is_some()
            || (self.is_followed_up(now) && has_failing())
            || self.is_partial(now)
    }

    /// Whether more than half of the servers fail.
    fn is_partial(&self, now: Instant) -> bool {
        self.listed < 2 * self.failing_count(now)
    }

    /// The next servers of a list that all get their turn.
    fn take_in_turn(&mut self, servers: &[ServerKey], count: usize) -> Vec<ServerKey> {
        let count = count.min(servers.len());
        let first = self.next_probe % servers.len().max(1);
        self.next_probe = first + count;
        servers.iter().cycle().skip(first).take(count).copied().collect()
    }
}
