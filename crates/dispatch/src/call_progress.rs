//! What to do after a send has ended without an answer.

use fulmargate_names::ErrorKind;

use crate::RouteRule;

/// Upper bound of the sends of one call, including those that reached no server. A call rejected
/// this often has met a full or changing service, and its caller is asked to retry later.
const MAX_SENDS: u32 = 4;

/// How a send to a backend server ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// No connection was established, so no byte of the request was sent.
    NotSent,
    /// The server rejected the request without running it.
    Refused,
    /// Another server answered at the address, so the request did not run.
    OtherServer,
    /// The engine runs other weights than requested, so the request did not run.
    OtherWeights,
    /// The connection broke, or the response was invalid.
    Broken,
    /// The server did not answer in time.
    TimedOut,
    /// The server did not answer, and no new connection could be established.
    Unreachable,
}

impl SendOutcome {
    /// Whether the server may have run the request. If not, it certainly has not.
    pub fn may_have_run(self) -> bool {
        matches!(self, SendOutcome::Broken | SendOutcome::TimedOut | SendOutcome::Unreachable)
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Choose a server and send again, if the retry budget allows.
    SendAgain,
    /// Answer the caller with this error.
    GiveUp(ErrorKind),
}

/// History of the sends of one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallProgress {
    sends: u32,
    arrivals: u32,
    possible_runs: u32,
}

impl CallProgress {
    /// Progress of a call that another router has sent before: the sends that may have reached a server, and those
    /// that a server may have run.
    pub fn resumed(arrivals: u32, possible_runs: u32) -> CallProgress {
        CallProgress { sends: 0, arrivals, possible_runs }
    }

    /// Takes over the counts of another router that has sent the call.
    pub fn adopt(&mut self, arrivals: u32, possible_runs: u32) {
        self.arrivals = self.arrivals.max(arrivals);
        self.possible_runs = self.possible_runs.max(possible_runs);
    }

    /// Records the end of a send.
    ///
    /// After an end that leaves it open whether the request ran, a non-idempotent call is not sent
    /// again: it could run twice.
    pub fn after(&mut self, end: SendOutcome, route: &RouteRule) -> NextStep {
        self.sends += 1;
        self.arrivals += u32::from(end != SendOutcome::NotSent);
        match end {
            SendOutcome::NotSent
            | SendOutcome::Refused
            | SendOutcome::OtherServer
            | SendOutcome::OtherWeights => {
                if MAX_SENDS <= self.sends {
                    return NextStep::GiveUp(self.failure());
                }
                NextStep::SendAgain
            }
            SendOutcome::Broken | SendOutcome::TimedOut | SendOutcome::Unreachable => {
                self.possible_runs += 1;
                if self.has_attempts_left(route) && self.sends < MAX_SENDS {
                    return NextStep::SendAgain;
                }
                NextStep::GiveUp(match end {
                    SendOutcome::TimedOut => ErrorKind::ServerTimeout,
                    _ => ErrorKind::OutcomeUnknown,
                })
            }
        }
    }

    /// Whether the route allows another run after those that may have happened.
    fn has_attempts_left(&self, route: &RouteRule) -> bool {
        route.may_retry() && self.possible_runs < route.max_attempts
    }

    /// Whether the current send may be abandoned for another server. If not, a slow server is
    /// waited for, since the answer cannot be had elsewhere.
    pub fn may_fail_over(&self, route: &RouteRule) -> bool {
        let including_current = CallProgress { possible_runs: self.possible_runs + 1, ..*self };
        including_current.has_attempts_left(route) && self.sends + 1 < MAX_SENDS
    }

    /// Error for a call that cannot be sent again. It reports "not run" only if that is certain.
    pub fn failure(&self) -> ErrorKind {
        if self.possible_runs == 0 { ErrorKind::NoServer } else { ErrorKind::OutcomeUnknown }
    }

    /// Error for a call whose deadline has passed.
    pub fn timeout(&self) -> ErrorKind {
        if self.possible_runs == 0 { ErrorKind::DeadlineUnmet } else { ErrorKind::ServerTimeout }
    }

    /// Whether a server may have run the call.
    pub fn may_have_run(&self) -> bool {
        0 < self.possible_runs
    }

    /// Number of ended sends after which a server may have run the call. Unlike the count of the same name in the
    /// quota charge, it does not include the send in progress.
    pub fn possible_runs(&self) -> u32 {
        self.possible_runs
    }

    /// Number of sends that may have reached a server. The retry budget counts the sends after the
    /// first of these.
    pub fn arrivals(&self) -> u32 {
        self.arrivals
    }

    /// Number of sends.
    pub fn sends(&self) -> u32 {
        self.sends
    }
}
