//! Health of one server.

use std::time::Duration;

use fulmargate_names::Incarnation;
use tokio::time::Instant;

use crate::DrainState;
use crate::HealthConf;
use crate::ServerAvailability;
use crate::ServerResult;

/// Weight of the latest result in the moving average of failures.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// Health of one server, judged by the results of requests: a server can pass its probes and still
/// fail requests.
#[derive(Debug)]
pub(crate) struct ServerHealth {
    /// Newest incarnation seen.
    pub(crate) incarnation: Option<Incarnation>,
    /// Drain state set by operators.
    pub(crate) drain: DrainState,
    /// Newest incarnation announced as leaving. Never reset, because discovery may be delayed.
    pub(crate) leaving: Option<Incarnation>,
    phase: HealthPhase,
    /// Sum of the weights of the failures since the last success; see `ServerResult::weight`.
    consecutive_failures: u32,
    failure_rate: f64,
    /// Number of recent ejections, which determines the duration of the next one.
    recent_ejections: u32,
    last_restored: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum HealthPhase {
    Open,
    Warming { since: Instant },
    LastResort,
    Ejected { until: Instant },
    Trial { next: Instant, passed: u32 },
}

/// Effect of a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthStep {
    Nothing,
    /// Eject the server, if enough others remain in use.
    Eject,
    /// The server is in use again.
    Restored,
}

impl ServerHealth {
    /// Health of a new server. It is in full use at once, so that a router that restarts doesn't
    /// treat all its servers as new.
    pub(crate) fn new(leaving: Option<Incarnation>, now: Instant) -> ServerHealth {
        ServerHealth {
            incarnation: None,
            drain: DrainState::InUse,
            leaving,
            phase: HealthPhase::Open,
            consecutive_failures: 0,
            failure_rate: 0.0,
            recent_ejections: 0,
            last_restored: now,
        }
    }

    /// State of the server.
    pub(crate) fn availability(&self, conf: &HealthConf, now: Instant) -> ServerAvailability {
        if self.is_leaving() {
            return ServerAvailability::Leaving;
        }
        if self.drain == DrainState::Drained {
            return ServerAvailability::Drained;
        }
        match self.phase {
            HealthPhase::Open => ServerAvailability::Open,
            HealthPhase::LastResort => ServerAvailability::LastResort,
            HealthPhase::Ejected { until } if now < until => ServerAvailability::Ejected,
            HealthPhase::Ejected { .. } | HealthPhase::Trial { .. } => ServerAvailability::Trial,
            HealthPhase::Warming { since } => {
                warming_state(conf, now.saturating_duration_since(since))
            }
        }
    }

    /// Whether the current incarnation is leaving. An announcement may precede its first sighting.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_some_and(|leaving| self.incarnation.is_none_or(|own| own <= leaving))
    }

    /// Whether it is neither leaving nor drained; it may be ejected.
    pub(crate) fn is_available(&self) -> bool {
        !self.is_leaving() && self.drain == DrainState::InUse
    }

    /// Whether it is ejected, or on trial after an ejection.
    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.phase, HealthPhase::Ejected { .. } | HealthPhase::Trial { .. })
    }

    /// Whether it is failing but in use because too few others are left.
    pub(crate) fn is_last_resort(&self) -> bool {
        self.phase == HealthPhase::LastResort
    }

    /// When its ejection ends, or when its next trial is due.
    pub(crate) fn ejected_until(&self) -> Option<Instant> {
        match self.phase {
            HealthPhase::Ejected { until } => Some(until),
            HealthPhase::Trial { next, .. } => Some(next),
            _ => None,
        }
    }

    /// Records a result of the current incarnation.
    pub(crate) fn record_result(
        &mut self,
        result: ServerResult,
        conf: &HealthConf,
        now: Instant,
    ) -> HealthStep {
        let failed = if result == ServerResult::Answered { 0.0 } else { 1.0 };
        self.failure_rate += FAILURE_RATE_WEIGHT * (failed - self.failure_rate);
        if result == ServerResult::Answered {
            self.consecutive_failures = 0;
            return self.record_success(conf, now);
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(result.weight());
        let exceeds_threshold = self.consecutive_failures >= conf.max_consecutive_failures
            || self.failure_rate > conf.max_failure_rate;
        match self.phase {
            HealthPhase::Trial { .. } => HealthStep::Eject,
            // Requests that were already in flight at the ejection.
            HealthPhase::Ejected { .. } => HealthStep::Nothing,
            _ if exceeds_threshold => HealthStep::Eject,
            _ => HealthStep::Nothing,
        }
    }

    /// Ejects the server, with exponential backoff.
    pub(crate) fn eject(&mut self, conf: &HealthConf, now: Instant) {
        if now.saturating_duration_since(self.last_restored) > conf.ejection_reset_after {
            self.recent_ejections = 0;
        }
        let duration = conf.initial_ejection * 2_u32.saturating_pow(self.recent_ejections.min(16));
        self.recent_ejections += 1;
        self.phase = HealthPhase::Ejected { until: now + duration.min(conf.max_ejection) };
        self.consecutive_failures = 0;
        self.failure_rate = 0.0;
    }

    /// Keeps the server in use despite its failures.
    pub(crate) fn keep_as_last_resort(&mut self) {
        self.phase = HealthPhase::LastResort;
    }

    /// If a trial request is due, schedules the next one and returns `Some`.
    pub(crate) fn take_trial(&mut self, conf: &HealthConf, now: Instant) -> Option<()> {
        let passed = match self.phase {
            HealthPhase::Ejected { until } if until <= now => 0,
            HealthPhase::Trial { next, passed } if next <= now => passed,
            _ => return None,
        };
        self.phase = HealthPhase::Trial { next: now + conf.trial_interval, passed };
        Some(())
    }

    /// Resets the failures for a new incarnation. A restarted server warms up, as its cache is
    /// empty; one seen for the first time does not, unless it is ejected.
    pub(crate) fn restart(&mut self, incarnation: Incarnation, now: Instant) {
        let is_first_seen = self.incarnation.is_none();
        self.incarnation = Some(incarnation);
        if is_first_seen && !self.is_ejected() {
            return;
        }
        self.phase = HealthPhase::Warming { since: now };
        self.last_restored = now;
        self.consecutive_failures = 0;
        self.failure_rate = 0.0;
    }

    fn record_success(&mut self, conf: &HealthConf, now: Instant) -> HealthStep {
        match self.phase {
            HealthPhase::Trial { passed, .. } if passed + 1 >= conf.required_trials => {
                self.phase = HealthPhase::Warming { since: now };
                self.last_restored = now;
                HealthStep::Restored
            }
            HealthPhase::Trial { next, passed } => {
                self.phase = HealthPhase::Trial { next, passed: passed + 1 };
                HealthStep::Nothing
            }
            HealthPhase::LastResort if self.failure_rate < conf.max_failure_rate => {
                self.phase = HealthPhase::Open;
                HealthStep::Restored
            }
            HealthPhase::Warming { since }
                if now.saturating_duration_since(since) >= conf.slow_start =>
            {
                self.phase = HealthPhase::Open;
                HealthStep::Nothing
            }
            _ => HealthStep::Nothing,
        }
    }
}

/// State of a warming server `elapsed` after its restart or the end of its ejection.
fn warming_state(conf: &HealthConf, elapsed: Duration) -> ServerAvailability {
    if elapsed >= conf.slow_start {
        return ServerAvailability::Open;
    }
    let progress = elapsed.as_secs_f64() / conf.slow_start.as_secs_f64();
    ServerAvailability::Warming {
        share: conf.initial_share + (1.0 - conf.initial_share) * progress,
    }
}
