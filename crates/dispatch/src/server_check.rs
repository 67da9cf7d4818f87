//! Decides whether a server that broke off requests has crashed.

use std::time::Duration;

use derive_more::Display;

use crate::suspect_table::MAX_PROBING_HOSTS;

/// Time in which other hosts answer whether they reach the server.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Servers of a service that end under one request do so within this time. Hosts that have not reached the service for
/// longer lost it for another reason.
pub const CRASH_SERIES_TIME: Duration = Duration::from_secs(1);
/// Answers of other hosts that settle the question at once.
const MIN_ANSWERS: usize = 2;
/// Time after which a single answer does.
const SINGLE_ANSWER_TIME: Duration = Duration::from_millis(400);
/// An undecided check ends after this time. Longer than a crashed server stays in the list: three heartbeats of 1.2 s
/// and the time until the list is read.
pub const CHECK_TIMEOUT: Duration = Duration::from_secs(8);

/// What a host knows of a server that broke off requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CheckInputs {
    /// Outcome of this host's latest connection attempt since the break; `None` if it was inconclusive, such as during
    /// a suspected local network fault.
    pub own_reached: Option<bool>,
    /// Other hosts that reached the server since the break.
    pub others_reached: usize,
    /// Other hosts that failed to reach it since the break, and reach another of the service.
    pub others_failed: usize,
    /// Other hosts that failed and are not known to reach the service. Their failures tell of their own links.
    pub others_isolated: usize,
    /// Other live hosts that reached no server of the service long before the break. Their failures tell nothing of it.
    pub others_cut: usize,
    /// Other live hosts.
    pub peers: usize,
    /// All known hosts are in touch.
    pub is_fleet_whole: bool,
    /// Another server of the service was reached from here since the break.
    pub is_control_reached: bool,
    /// The list still has this incarnation of the server.
    pub is_listed: bool,
    /// Another host has confirmed the crash.
    pub is_confirmed: bool,
    /// The process that broke off requests has answered one that was sent after the break.
    pub has_survived: bool,
    /// Time since the break.
    pub age: Duration,
    /// Time since the other hosts were asked; `None` if they were not.
    pub asked: Option<Duration>,
}

/// Result of a check.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CheckVerdict {
    /// The server has ended.
    #[display("crashed")]
    Crashed(CrashReason),
    /// It takes connections and is still listed.
    #[display("reached")]
    Reached,
    /// Other hosts reach it and this one does not.
    #[display("taken_for_cut")]
    Cut,
    /// The inputs are inconclusive.
    #[display("undecided")]
    Undecided,
}

/// Why a server counts as crashed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CrashReason {
    /// Another host has confirmed it.
    #[display("confirmed by another host")]
    Confirmed,
    /// Its incarnation is gone from the list.
    #[display("no longer listed")]
    Unlisted,
    /// Neither this nor other hosts reach it.
    #[display("not reached by other hosts either")]
    UnreachedByAll,
    /// This host reaches another server of the service, and no other host that reaches the service has answered.
    #[display("another server of the service is reached")]
    OthersReached,
    /// There is no other host.
    #[display("no other host to ask")]
    NoPeers,
}

impl CheckInputs {
    /// The verdict, which is final unless it is `Undecided` or a connection was opened: a server that has started again
    /// takes connections before the list says so.
    pub fn verdict(&self) -> CheckVerdict {
        if self.has_survived {
            return CheckVerdict::Reached;
        }
        if self.is_confirmed {
            return CheckVerdict::Crashed(CrashReason::Confirmed);
        }
        if !self.is_listed {
            return CheckVerdict::Crashed(CrashReason::Unlisted);
        }
        if self.own_reached == Some(true) {
            return CheckVerdict::Reached;
        }
        if 0 < self.others_reached {
            return CheckVerdict::Cut;
        }
        if self.own_reached.is_none() {
            return CheckVerdict::Undecided;
        }
        if self.is_unreached_by_all() {
            return CheckVerdict::Crashed(CrashReason::UnreachedByAll);
        }
        match self.peers {
            0 => CheckVerdict::Crashed(CrashReason::NoPeers),
            _ if self.waited() < ANSWER_TIME || 0 < self.others_failed => CheckVerdict::Undecided,
            _ if self.is_control_reached => CheckVerdict::Crashed(CrashReason::OthersReached),
            _ => CheckVerdict::Undecided,
        }
    }

    fn waited(&self) -> Duration {
        self.asked.unwrap_or_default()
    }

    fn is_unreached_by_all(&self) -> bool {
        let is_enough = MIN_ANSWERS.min(self.peers) <= self.others_failed;
        let is_confirmed =
            0 < self.others_failed && (is_enough || SINGLE_ANSWER_TIME <= self.waited());
        is_confirmed || self.reaches_nobody()
    }

    /// Whether no host reaches the service any more: all its servers have ended, as all hosts are in touch and all that
    /// try and reached it before have failed.
    fn reaches_nobody(&self) -> bool {
        let asked = self.peers.saturating_sub(self.others_cut).min(MAX_PROBING_HOSTS - 1);
        let isolated = self.others_isolated.saturating_sub(self.others_cut);
        self.is_fleet_whole
            && !self.is_control_reached
            && self.others_failed == 0
            && MIN_ANSWERS <= asked
            && asked <= isolated
    }
}
