//! A server that names a rate limit.

use std::time::Duration;

use fulmargate_names::HostName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::LimitRecord;
use crate::decaying_rate::DecayingRate;
use crate::held_rate::HeldRate;
use crate::token_grants::TokenGrants;

/// Averaging period of the requests for which a server is chosen.
const ATTEMPT_AVERAGING_PERIOD: Duration = Duration::from_secs(1);
/// Averaging period of the requests that arrive for a service. Longer, so that single requests do not change what
/// depends on it.
const DEMAND_AVERAGING_PERIOD: Duration = Duration::from_secs(2);
/// Requests a second that are reported where there are none. Routers of earlier versions report zero, as they do not
/// count them.
const MIN_REPORTED_DEMAND: f64 = 0.001;
/// How long a lifted limit is reported.
const LIFT_REPORT_TIME: Duration = Duration::from_secs(10);
/// How long another router's count of such requests is valid.
const ATTEMPT_TTL: Duration = Duration::from_secs(4);

/// A server that names a limit, or has named one.
#[derive(Debug)]
pub(crate) struct LimitedServer {
    pub(crate) record: LimitRecord,
    /// Requests for which this router chose the server, admitted or not.
    pub(crate) attempts: DecayingRate,
    /// Whether the bound is one of a service, for which demand is counted.
    pub(crate) is_service: bool,
    /// Requests that arrived for the service.
    pub(crate) demand: DecayingRate,
    /// The same at the other routers, as last reported.
    peer_attempts: IndexMap<HostName, PeerAttempts>,
    /// The sum of these, as it was lately: demand may return at all routers at once.
    held_peer_attempts: HeldRate,
    /// Reports in which the limit still goes first.
    pub(crate) change_reports: u8,
    /// Tokens granted to and by this router.
    pub(crate) grants: TokenGrants,
    /// Version of the routers in touch by which the granter was chosen; `None` before the first choice.
    pub(crate) granter_version: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct PeerAttempts {
    per_s: f64,
    received: Instant,
}

impl PeerAttempts {
    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received) < ATTEMPT_TTL
    }
}

impl LimitedServer {
    pub(crate) fn new(now: Instant) -> LimitedServer {
        LimitedServer {
            record: LimitRecord::new(now),
            attempts: DecayingRate::new(ATTEMPT_AVERAGING_PERIOD, now),
            is_service: false,
            demand: DecayingRate::new(DEMAND_AVERAGING_PERIOD, now),
            held_peer_attempts: HeldRate::new(now),
            peer_attempts: IndexMap::new(),
            change_reports: 0,
            grants: TokenGrants::new(now),
            granter_version: None,
        }
    }

    pub(crate) fn peer_attempts(&self, now: Instant) -> f64 {
        let is_valid = |attempts: &&PeerAttempts| attempts.is_valid(now);
        self.peer_attempts.values().filter(is_valid).map(|attempts| attempts.per_s).sum()
    }

    /// The same of one router; `None` if it has not reported any lately.
    pub(crate) fn attempts_of(&self, host: &HostName, now: Instant) -> Option<f64> {
        let attempts = self.peer_attempts.get(host).filter(|attempts| attempts.is_valid(now))?;
        (0.0 < attempts.per_s).then_some(attempts.per_s)
    }

    /// What the attempts in a report are: those at the server, or the demand for the service.
    pub(crate) fn reported_attempts(&self, now: Instant) -> f64 {
        match self.is_service {
            true => self.demand.at(now).max(MIN_REPORTED_DEMAND),
            false => self.attempts.at(now),
        }
    }

    /// Records the requests for which another router chose the server.
    pub(crate) fn record_peer_attempts(&mut self, host: &HostName, per_s: f64, now: Instant) {
        self.peer_attempts.insert(host.clone(), PeerAttempts { per_s, received: now });
        self.hold_peer_attempts(now);
    }

    /// The highest sum of the last seconds, less what time has taken from it.
    pub(crate) fn held_peer_attempts(&self, now: Instant) -> f64 {
        self.held_peer_attempts.at(now)
    }

    /// Samples the demand at the other routers.
    fn hold_peer_attempts(&mut self, now: Instant) {
        if self.held_peer_attempts.is_due(now) {
            self.held_peer_attempts.record(self.peer_attempts(now), now);
        }
    }

    pub(crate) fn is_reported(&self, now: Instant) -> bool {
        self.record.rate_per_s().is_some() || self.record.age(now) < LIFT_REPORT_TIME
    }
}
