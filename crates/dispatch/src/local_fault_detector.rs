//! Detection of network trouble of this host, from its connection attempts.

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
/// Duration of a connection attempt until it times out.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Minimum number of unresponsive servers for suspecting a local fault.
const MIN_UNRESPONSIVE_SERVERS: usize = 2;
/// Minimum ratio of unresponsive to responsive servers for suspecting a local fault. A host that is cut
/// off from two or three other zones of the size of its own stays below it.
const MIN_UNRESPONSIVE_RATIO: usize = 4;
/// Maximum duration of a suspicion after the first server has responded.
const MAX_SUSPICION_TIME: Duration = Duration::from_secs(3);
/// A suspicion that recurs within this time continues the previous one with its upper bound. Being
/// as long as that bound, it leaves servers judged by their silence for at least half of the time.
const SUSPICION_MEMORY: Duration = Duration::from_secs(3);

/// Recent connection attempts to servers, and whether they suggest a fault of this host.
///
/// When the host's own link is saturated or it gets no CPU time, connections to all servers time
/// out. While nearly all recently tried servers are silent, this host is suspected instead, and the
/// silence is not counted against them.
///
/// Server failures are still detected. If one or a few servers are down, the responding ones
/// outnumber them. A host whose zone is cut off still reaches the servers of its zone, which
/// prevents the suspicion or limits its duration. A host that reaches no server at all remains
/// suspected, since no other choice of server would help. A refused connection is a response and
/// always counts against the server.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalFaultDetector {
    attempts: IndexMap<ServerKey, ConnectAttempt>,
    suspicion: Option<Suspicion>,
    /// When the current suspicion was reported.
    reported_at: Option<Instant>,
}

/// Latest connection attempt to a server.
#[derive(Clone, Copy, Debug)]
struct ConnectAttempt {
    at: Instant,
    end: ConnectOutcome,
    /// First of the consecutive attempts with the same result.
    since: Instant,
}

/// Latest suspicion, which may have ended.
#[derive(Clone, Copy, Debug)]
struct Suspicion {
    /// When attempts last supported it.
    supported_at: Instant,
    /// When it ends unless extended.
    end: Instant,
    /// Latest possible end, set once a server has responded.
    latest_end: Option<Instant>,
}

/// Recently tried servers by the result of the latest attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReachabilityCount {
    /// Servers that did not answer.
    pub unresponsive: usize,
    /// Servers that accepted or refused the connection.
    pub responsive: usize,
}

/// Change of the suspicion of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspicionChange {
    /// It has begun.
    Started(ReachabilityCount),
    /// It has ended after this time.
    Ended(ReachabilityCount, Duration),
}

impl LocalFaultDetector {
    /// Records a connection attempt.
    pub(crate) fn record(&mut self, server: ServerKey, end: ConnectOutcome, now: Instant) {
        self.attempts.retain(|_, attempt| now < attempt.at + MAX_RETRY_GAP);
        let last = self.attempts.get(&server).filter(|last| last.end == end);
        let since = last.map_or(now, |last| last.since);
        self.attempts.insert(server, ConnectAttempt { at: now, end, since });
        let count = self.count(now);
        if count.suggests_local_fault() {
            self.suspect(count, now);
        } else if let Some(suspicion) = &mut self.suspicion {
            suspicion.end = suspicion.end.min(now);
            suspicion.latest_end.get_or_insert(now + MAX_SUSPICION_TIME);
        }
    }

    /// Result of the latest connection attempt to the server, if recent.
    pub(crate) fn newest(&self, server: ServerKey, now: Instant) -> Option<ConnectOutcome> {
        let attempt = self.attempts.get(&server)?;
        attempt.is_recent(now).then_some(attempt.end)
    }

    /// Whether this host is suspected.
    pub(crate) fn is_suspected(&self, now: Instant) -> bool {
        self.suspicion_end(now).is_some()
    }

    /// End of the latest suspicion, or `now` while it lasts. Silence before that does not count
    /// against servers.
    pub(crate) fn suspected_until(&self, now: Instant) -> Option<Instant> {
        self.suspicion.map(|suspicion| suspicion.end.min(now))
    }

    /// Returns a change of the suspicion since the last call.
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

    /// Counts recently tried servers by result. Servers that responded only before most of the
    /// silent ones fell silent are left out, as they do not show that the link works now. The
    /// median is used because some servers may have been down for long.
    pub(crate) fn count(&self, now: Instant) -> ReachabilityCount {
        let recent = || self.attempts.values().filter(|attempt| attempt.is_recent(now));
        let unresponsive = || recent().filter(|attempt| attempt.end == ConnectOutcome::TimedOut);
        let mut unresponsive_since: Vec<Instant> =
            unresponsive().map(|attempt| attempt.since).collect();
        unresponsive_since.sort_unstable();
        let median = unresponsive_since.get(unresponsive_since.len() / 2).copied();
        let is_responsive = |attempt: &&ConnectAttempt| {
            let is_current = median.is_none_or(|median| median <= attempt.at + CONNECT_TIMEOUT);
            attempt.end != ConnectOutcome::TimedOut && is_current
        };
        ReachabilityCount {
            unresponsive: unresponsive().count(),
            responsive: recent().filter(is_responsive).count(),
        }
    }

    /// Begins or extends the suspicion.
    fn suspect(&mut self, count: ReachabilityCount, now: Instant) {
        let last =
            self.suspicion.filter(|suspicion| now < suspicion.supported_at + SUSPICION_MEMORY);
        let mut latest_end = last.and_then(|last| last.latest_end);
        if 0 < count.responsive {
            latest_end.get_or_insert(now + MAX_SUSPICION_TIME);
        }
        let expiry = now + MAX_ATTEMPT_AGE;
        let end = latest_end.map_or(expiry, |latest_end| expiry.min(latest_end));
        // Keeps the previous end if that is later.
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
