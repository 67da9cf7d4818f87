//! What may follow when a send has ended without the answer.

use fulmargate_names::ErrorKind;

use crate::RouteRule;

/// Sends of one call at most, those that ran nowhere included. A call that is turned away so often
/// meets a service that is full or changing; its caller is told when to come back.
const MOST_SENDS: u32 = 4;

/// How a send to a backend server ended without its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// No byte of the request left: no connection could be had.
    NotSent,
    /// The server said that it did not run the request.
    Refused,
    /// Another server answered at the address: it did not run.
    OtherServer,
    /// The engine has other weights than those asked for: it did not run.
    OtherWeights,
    /// The connection broke, or what came was no answer to this request.
    Broken,
    /// Nothing came in time.
    TimedOut,
    /// Nothing came, and no new connection could be had either.
    Unreachable,
}

impl SendEnd {
    /// Whether the server may have run the request; if not, that is certain.
    pub fn may_have_run(self) -> bool {
        matches!(self, SendEnd::Broken | SendEnd::TimedOut | SendEnd::Unreachable)
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Choose a server and send again, if the budget of repeats allows.
    SendAgain,
    /// Answer the caller with this error.
    GiveUp(ErrorKind),
}

/// What has become of a call so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallProgress {
    sends: u32,
    arrivals: u32,
    possible_runs: u32,
}

impl CallProgress {
    /// A send has ended.
    ///
    /// Only the first ends prove that nothing ran. After any other, a call that may run once only is
    /// over: a second send could charge the caller twice, and "not run" could be a lie.
    pub fn after(&mut self, end: SendEnd, route: &RouteRule) -> NextStep {
        self.sends += 1;
        self.arrivals += u32::from(end != SendEnd::NotSent);
        match end {
            SendEnd::NotSent | SendEnd::Refused | SendEnd::OtherServer | SendEnd::OtherWeights => {
                if MOST_SENDS <= self.sends {
                    return NextStep::GiveUp(self.failure());
                }
                NextStep::SendAgain
            }
            SendEnd::Broken | SendEnd::TimedOut | SendEnd::Unreachable => {
                self.possible_runs += 1;
                if self.has_attempts(route) && self.sends < MOST_SENDS {
                    return NextStep::SendAgain;
                }
                NextStep::GiveUp(match end {
                    SendEnd::TimedOut => ErrorKind::ServerTimeout,
                    _ => ErrorKind::OutcomeUnknown,
                })
            }
        }
    }

    /// Whether another server may run it after those that may have.
    fn has_attempts(&self, route: &RouteRule) -> bool {
        route.may_repeat() && self.possible_runs < route.max_attempts
    }

    /// Whether the server that has it now may be given up for another one. If not, its silence is no
    /// reason to end the answer: a busy server is silent for a while and takes no new connection, and
    /// what cannot be had elsewhere is worth waiting for.
    pub fn may_go_elsewhere(&self, route: &RouteRule) -> bool {
        let with_this = CallProgress { possible_runs: self.possible_runs + 1, ..*self };
        with_this.has_attempts(route) && self.sends + 1 < MOST_SENDS
    }

    /// The error for a call that cannot be sent again: "not run" only where that is certain.
    pub fn failure(&self) -> ErrorKind {
        if self.possible_runs == 0 { ErrorKind::NoServer } else { ErrorKind::OutcomeUnknown }
    }

    /// The error when the call's time is over.
    pub fn timeout(&self) -> ErrorKind {
        if self.possible_runs == 0 { ErrorKind::DeadlineUnmet } else { ErrorKind::ServerTimeout }
    }

    /// Whether a server may have run it.
    pub fn may_have_run(&self) -> bool {
        0 < self.possible_runs
    }

    /// Servers that may have run it.
    pub fn possible_runs(&self) -> u32 {
        self.possible_runs
    }

    /// Sends that reached a server, or may have: the budget of repeats counts what comes after these.
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// Sends so far.
    pub fn sends(&self) -> u32 {
        self.sends
    }
}
