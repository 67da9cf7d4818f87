//! The health of one server.

use std::time::Duration;

use fulmargate_names::Incarnation;
use tokio::time::Instant;

use crate::DrainState;
use crate::HealthConf;
use crate::ServerResult;
use crate::ServerUse;

/// What the newest result weighs in the share of failures.
const RESULT_WEIGHT: f64 = 0.1;

/// The health of one server, from the results of requests rather than from probes alone: a server
/// can answer its probe and fail its requests.
#[derive(Debug)]
pub(crate) struct ServerHealth {
    /// The newest incarnation met.
    pub(crate) incarnation: Option<Incarnation>,
    /// What operators want.
    pub(crate) drain: DrainState,
    /// The newest incarnation that was said to leave. It stays, whatever a lagging list says next.
    pub(crate) leaving: Option<Incarnation>,
    phase: HealthPhase,
    streak: u32,
    failing: f64,
    /// Ejections that are not forgotten yet.
    ejections: u32,
    restored: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum HealthPhase {
    Open,
    Warming { since: Instant },
    LastResort,
    Ejected { until: Instant },
    Trial { next: Instant, passed: u32 },
}

/// What a result calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthStep {
    Nothing,
    /// It should be ejected, if the floor allows.
    Eject,
    /// It came back from ejection.
    Restored,
}

impl ServerHealth {
    /// A server that is met for the first time. It is in full use: a router that restarts serves
    /// at once, and knows of no trouble.
    pub(crate) fn new(leaving: Option<Incarnation>, now: Instant) -> ServerHealth {
        ServerHealth {
            incarnation: None,
            drain: DrainState::InUse,
            leaving,
            phase: HealthPhase::Open,
            streak: 0,
            failing: 0.0,
            ejections: 0,
            restored: now,
        }
    }

    /// How far it is in use.
    pub(crate) fn in_use(&self, conf: &HealthConf, now: Instant) -> ServerUse {
        if self.is_leaving() {
            return ServerUse::Leaving;
        }
        if self.drain == DrainState::Drained {
            return ServerUse::Drained;
        }
        match self.phase {
            HealthPhase::Open => ServerUse::Open,
            HealthPhase::LastResort => ServerUse::LastResort,
            HealthPhase::Ejected { until } if now < until => ServerUse::Ejected,
            HealthPhase::Ejected { .. } | HealthPhase::Trial { .. } => ServerUse::Trial,
            HealthPhase::Warming { since } => warmth(conf, now.saturating_duration_since(since)),
        }
    }

    /// Whether the newest incarnation leaves. One that was told of before it was met counts.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.is_some_and(|leaving| self.incarnation.is_none_or(|own| own <= leaving))
    }

    /// Whether it counts among those that could be in use.
    pub(crate) fn is_present(&self) -> bool {
        !self.is_leaving() && self.drain == DrainState::InUse
    }

    /// Whether it is out of use for its failures.
    pub(crate) fn is_out(&self) -> bool {
        matches!(self.phase, HealthPhase::Ejected { .. } | HealthPhase::Trial { .. })
    }

    /// Whether it is kept in use only since too few others are left.
    pub(crate) fn is_last_resort(&self) -> bool {
        self.phase == HealthPhase::LastResort
    }

    /// When its pause ends or ended.
    pub(crate) fn out_until(&self) -> Option<Instant> {
        match self.phase {
            HealthPhase::Ejected { until } => Some(until),
            HealthPhase::Trial { next, .. } => Some(next),
            _ => None,
        }
    }

    /// Takes in a result of the present incarnation.
    pub(crate) fn note(
        &mut self,
        result: ServerResult,
        conf: &HealthConf,
        now: Instant,
    ) -> HealthStep {
        let failed = if result == ServerResult::Answered { 0.0 } else { 1.0 };
        self.failing += RESULT_WEIGHT * (failed - self.failing);
        if result == ServerResult::Answered {
            self.streak = 0;
            return self.note_answer(conf, now);
        }
        self.streak = self.streak.saturating_add(result.weight());
        let over = self.streak >= conf.eject_streak || self.failing > conf.eject_share;
        match self.phase {
            HealthPhase::Trial { .. } => HealthStep::Eject,
            // Results of requests that were under way when it was ejected say nothing new.
            HealthPhase::Ejected { .. } => HealthStep::Nothing,
            _ if over => HealthStep::Eject,
            _ => HealthStep::Nothing,
        }
    }

    /// Takes it out of use, for longer each time.
    pub(crate) fn eject(&mut self, conf: &HealthConf, now: Instant) {
        if now.saturating_duration_since(self.restored) > conf.forgive_after {
            self.ejections = 0;
        }
        let pause = conf.first_pause * 2_u32.saturating_pow(self.ejections.min(16));
        self.ejections += 1;
        self.phase = HealthPhase::Ejected { until: now + pause.min(conf.longest_pause) };
        self.streak = 0;
        self.failing = 0.0;
    }

    /// Keeps it in use in spite of its failures.
    pub(crate) fn keep(&mut self) {
        self.phase = HealthPhase::LastResort;
    }

    /// Takes the turn of a trial request, if one is due.
    pub(crate) fn take_trial(&mut self, conf: &HealthConf, now: Instant) -> Option<()> {
        let passed = match self.phase {
            HealthPhase::Ejected { until } if until <= now => 0,
            HealthPhase::Trial { next, passed } if next <= now => passed,
            _ => return None,
        };
        self.phase = HealthPhase::Trial { next: now + conf.trial_gap, passed };
        Some(())
    }

    /// The server's process has started anew: what was held against the last one is void. It comes
    /// back empty, so it is warmed up; it is not when it is met for the first time.
    pub(crate) fn restart(&mut self, incarnation: Incarnation, now: Instant) {
        let is_first = self.incarnation.is_none();
        self.incarnation = Some(incarnation);
        if is_first && !self.is_out() {
            return;
        }
        self.phase = HealthPhase::Warming { since: now };
        self.restored = now;
        self.streak = 0;
        self.failing = 0.0;
    }

    fn note_answer(&mut self, conf: &HealthConf, now: Instant) -> HealthStep {
        match self.phase {
            HealthPhase::Trial { passed, .. } if passed + 1 >= conf.trials => {
                self.phase = HealthPhase::Warming { since: now };
                self.restored = now;
                HealthStep::Restored
            }
            HealthPhase::Trial { next, passed } => {
                self.phase = HealthPhase::Trial { next, passed: passed + 1 };
                HealthStep::Nothing
            }
            HealthPhase::LastResort if self.failing < conf.eject_share => {
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

/// The share of full use after this time.
fn warmth(conf: &HealthConf, elapsed: Duration) -> ServerUse {
    if elapsed >= conf.slow_start {
        return ServerUse::Open;
    }
    let progress = elapsed.as_secs_f64() / conf.slow_start.as_secs_f64();
    ServerUse::Warming { share: conf.first_share + (1.0 - conf.first_share) * progress }
}
