//! Detects suspected local network faults from the outcomes of connection attempts.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::ConnectOutcome;
use crate::ServerKey;

/// Attempts older than this are ignored. A busy host attempts to reach all its servers within this
/// time.
const MAX_ATTEMPT_AGE: Duration = Duration::from_secs(1);
/// Attempts to a server are consecutive if no more than this lies between them. Failed servers are
/// retried sooner than that.
const MAX_RETRY_GAP: Duration = Duration::from_secs(3);
/// Time after which a connection attempt times out. Must agree with the constant of the same name with which
/// the traffic thread opens connections.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Minimum number of unresponsive servers for suspecting a local network fault. One is a fault of the server.
/// Two at once, while hardly any connection succeeds, are rarer than a full link, and a small service has no
/// more.
const MIN_UNRESPONSIVE_SERVERS: usize = 2;
/// Minimum ratio of unresponsive to responsive servers for suspecting a local network fault. A host that
/// reaches only its own zone, out of three or four of equal size, stays below it.
const MIN_UNRESPONSIVE_RATIO: usize = 4;
/// Maximum duration of the suspicion once a server has responded. About twice as long as a link is full while
/// a large configuration is forwarded.
const MAX_SUSPICION_TIME: Duration = Duration::from_secs(3);
/// A suspicion that recurs within this time of the previous one keeps its latest possible end, so that
/// recurring suspicions cannot exempt servers from connection timeouts forever.
const SUSPICION_MEMORY: Duration = Duration::from_secs(3);

/// Recent connection attempts to servers, and whether they suggest a local network fault.
///
/// While nearly all recently tried servers time out, the local network is suspected and the timeouts are not
/// counted against the servers. A refused connection is a response and always counts. If any server responds,
/// the suspicion is limited in time; if none does, it lasts, as no other choice of server would help.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalFaultDetector {
    attempts: IndexMap<ServerKey, ConnectAttempt>,
    suspicion: Option<Suspicion>,
    /// When the suspicion was reported by [`LocalFaultDetector::take_change`]; none after its end was.
    reported_at: Option<Instant>,
}

/// Latest connection attempt to a server.
#[derive(Clone, Copy, Debug)]
struct ConnectAttempt {
    at: Instant,
    outcome: ConnectOutcome,
    /// Time of the first of the consecutive attempts with the same outcome.
    since: Instant,
}

/// The latest suspected local network fault, which may have ended.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// When the attempts last suggested a local network fault.
    supported_at: Instant,
    /// When it ends unless extended.
    end: Instant,
    /// Latest possible end, set once a server has responded.
    latest_end: Option<Instant>,
}

/// Recently tried servers by the result of the latest attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReachabilityCount {
    /// Servers to which the connection timed out.
    pub unresponsive: usize,
    /// Servers that accepted or refused the connection.
    pub responsive: usize,
}

/// Start or end of a suspected local network fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionChange {
    /// A fault is suspected.
    Started(ReachabilityCount),
    /// No fault is suspected any more; with the duration.
    Ended(ReachabilityCount, Duration),
}

impl LocalFaultDetector {
    /// Records a connection attempt.
    pub(crate) fn record(&mut self, server: ServerKey, outcome: ConnectOutcome, now: Instant) {
        self.attempts.retain(|_, attempt| now < attempt.at + MAX_RETRY_GAP);
        let last = self.attempts.get(&server).filter(|last| last.outcome == outcome);
        let since = last.map_or(now, |last| last.since);
        self.attempts.insert(server, ConnectAttempt { at: now, outcome, since });
        let count = self.count(now);
        if count.suggests_local_fault() {
            self.extend_suspicion(count, now);
        } else if let Some(suspicion) = &mut self.suspicion {
            suspicion.end = suspicion.end.min(now);
            suspicion.latest_end.get_or_insert(now + MAX_SUSPICION_TIME);
        }
    }

    /// Result of the latest connection attempt to the server, if recent.
    pub(crate) fn latest_outcome(&self, server: ServerKey, now: Instant) -> Option<ConnectOutcome> {
        let attempt = self.attempts.get(&server)?;
        attempt.is_recent(now).then_some(attempt.outcome)
    }

    /// Whether a local network fault is suspected.
    pub(crate) fn is_suspected(&self, now: Instant) -> bool {
        self.suspicion_end(now).is_some()
    }

    /// End of the latest suspicion, or `now` while it lasts. Timeouts before that do not count
    /// against servers.
    pub(crate) fn suspected_until(&self, now: Instant) -> Option<Instant> {
        self.suspicion.map(|suspicion| suspicion.end.min(now))
    }

    /// Returns the start or end of a suspicion once, if there was one since the last call.
    pub(crate) fn take_change(&mut self, now: Instant) -> Option<SuspicionChange> {
        let count = self.count(now);
        match (self.reported_at, self.is_suspected(now)) {
            (None, true) => {
                self.reported_at = Some(now);
                Some(SuspicionChange::Started(count))
            }
            (Some(since), false) => {
                self.reported_at = None;
                Some(SuspicionChange::Ended(count, now.saturating_duration_since(since)))
            }
            _ => None,
        }
    }

    /// When the current suspicion ends unless extended.
    pub(crate) fn suspicion_end(&self, now: Instant) -> Option<Instant> {
        self.suspicion.map(|suspicion| suspicion.end).filter(|end| now < *end)
    }

    /// Counts recently tried servers by result. Responses from before the timeouts began do not show
    /// that the link works now and are left out. The timeouts' start is their median, since some
    /// servers may have been down for longer.
    pub(crate) fn count(&self, now: Instant) -> ReachabilityCount {
        let recent = || self.attempts.values().filter(|attempt| attempt.is_recent(now));
        let unresponsive =
            || recent().filter(|attempt| attempt.outcome == ConnectOutcome::TimedOut);
        let mut unresponsive_since: Vec<Instant> =
            unresponsive().map(|attempt| attempt.since).collect();
        unresponsive_since.sort_unstable();
        let median = unresponsive_since.get(unresponsive_since.len() / 2).copied();
        let is_responsive = |attempt: &&ConnectAttempt| {
            let is_current = median.is_none_or(|median| median <= attempt.at + CONNECT_TIMEOUT);
            attempt.outcome != ConnectOutcome::TimedOut && is_current
        };
        ReachabilityCount {
            unresponsive: unresponsive().count(),
            responsive: recent().filter(is_responsive).count(),
        }
    }

    /// Starts or extends the suspicion.
    fn extend_suspicion(&mut self, count: ReachabilityCount, now: Instant) {
        let last =
            self.suspicion.filter(|suspicion| now < suspicion.supported_at + SUSPICION_MEMORY);
        let mut latest_end = last.and_then(|last| last.latest_end);
        if 0 < count.responsive {
            latest_end.get_or_insert(now + MAX_SUSPICION_TIME);
        }
        let expiry = now + MAX_ATTEMPT_AGE;
        let end = latest_end.map_or(expiry, |latest_end| expiry.min(latest_end));
        // Timeouts up to the end of the previous suspicion stay exempt.
        let previous_end = last.map_or(end, |last| last.end.min(now));
        self.suspicion =
            Some(Suspicion { supported_at: now, end: end.max(previous_end), latest_end });
    }
}

impl ReachabilityCount {
    fn suggests_local_fault(self) -> bool {
        MIN_UNRESPONSIVE_SERVERS <= self.unresponsive
            && MIN_UNRESPONSIVE_RATIO * self.responsive <= self.unresponsive
    }
}

impl ConnectAttempt {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < MAX_ATTEMPT_AGE
    }
}
