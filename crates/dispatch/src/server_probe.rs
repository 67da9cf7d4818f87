//! Probes of servers that send nothing while requests wait there.
//!
//! [`ServerProbe::next_step`] asks only one of the waiting requests for a probe connection, as a probe for each
//! would overload busy servers. Stream failovers and crash checks open connections besides.

use std::time::Duration;

use tokio::time::Instant;

use crate::ConnectOutcome;

/// How long the result of a connection is valid: about the time that an engine takes for a long prompt.
const RESULT_TTL: Duration = Duration::from_millis(250);
/// A probe without a result is repeated after this time. Connections time out sooner.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Consecutive failed connections before a server counts as lost. A live server at its connection limit may
/// refuse a connection, but accepts others in between.
const MIN_LOST_FAILURES: u32 = 3;
/// Minimum time since the first of these failures, if they are refusals.
const MIN_REFUSED_DURATION: Duration = Duration::from_millis(600);
/// The same for timeouts. A sound server may be silent for about a second.
const MIN_SILENT_DURATION: Duration = Duration::from_secs(2);
/// Consecutive failed connections before a timeout makes waiting requests treat the server as unreachable. A
/// single timeout may precede the detection of a local network fault. A refusal needs no second failure.
const MIN_TIMEOUTS: u32 = 2;

/// What a request should do that waits for a server which sends nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeStep {
    /// Open a probe connection and record its outcome.
    Probe,
    /// Keep waiting: the server was reached recently, or a probe is in flight.
    Wait,
    /// Abandon the request: recent connections failed.
    Unreachable,
}

/// Outcomes of recent connections to a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerProbe {
    failures: u32,
    /// Time of the first consecutive failure.
    failing_since: Option<Instant>,
    /// Time of the last connection attempt, and whether it succeeded.
    last_attempt: Option<(Instant, bool)>,
    /// Whether the last failure was a refusal, not a timeout.
    is_refused: bool,
    /// Start of the probe in flight.
    probe_started: Option<Instant>,
}

impl ServerProbe {
    /// Records a successful connection or a response.
    pub(crate) fn record_reached(&mut self, now: Instant) {
        *self = ServerProbe { last_attempt: Some((now, true)), ..ServerProbe::default() };
    }

    /// Records a failed connection.
    pub(crate) fn record_failure(&mut self, outcome: ConnectOutcome, now: Instant) {
        self.failures += 1;
        self.failing_since.get_or_insert(now);
        self.last_attempt = Some((now, false));
        self.is_refused = outcome == ConnectOutcome::Refused;
        self.probe_started = None;
    }

    /// Returns the next step of a waiting request. A probe counts as in flight once [`ProbeStep::Probe`] is
    /// returned. Timeouts until `local_fault_end` are not counted.
    pub(crate) fn next_step(
        &mut self,
        local_fault_end: Option<Instant>,
        now: Instant,
    ) -> ProbeStep {
        match self.last_attempt {
            Some((at, true)) if is_recent(at, RESULT_TTL, now) => return ProbeStep::Wait,
            Some((at, false))
                if is_recent(at, RESULT_TTL, now) && self.is_server_fault(at, local_fault_end) =>
            {
                return ProbeStep::Unreachable;
            }
            _ => {}
        }
        if self.probe_started.is_some_and(|started| is_recent(started, PROBE_TIMEOUT, now)) {
            return ProbeStep::Wait;
        }
        self.probe_started = Some(now);
        ProbeStep::Probe
    }

    /// Whether the server and the requests waiting there count as lost. Timeouts until `local_fault_end` are
    /// not counted; otherwise every server not reached yet would be lost right after a suspected local
    /// network fault.
    pub(crate) fn is_lost(&self, local_fault_end: Option<Instant>, now: Instant) -> bool {
        let Some(failing_since) = self.failing_since else { return false };
        let since = match (self.is_refused, local_fault_end) {
            (false, Some(fault_end)) => failing_since.max(fault_end),
            _ => failing_since,
        };
        let min_duration = if self.is_refused { MIN_REFUSED_DURATION } else { MIN_SILENT_DURATION };
        min_duration <= now.saturating_duration_since(since) && MIN_LOST_FAILURES <= self.failures
    }

    /// Whether a failure is attributed to the server instead of the local host.
    fn is_server_fault(&self, at: Instant, local_fault_end: Option<Instant>) -> bool {
        let is_local = local_fault_end.is_some_and(|fault_end| at <= fault_end);
        self.is_refused || (!is_local && MIN_TIMEOUTS <= self.failures)
    }
}

fn is_recent(at: Instant, max_age: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < max_age
}
