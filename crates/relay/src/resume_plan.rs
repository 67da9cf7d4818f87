//! What to do after a stream broke.

use fulmargate_names::ErrorKind;

use crate::StreamRest;

/// Whether the caller has had any byte of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveredPart {
    /// Not one.
    Nothing,
    /// At least one, so that the stream is bound to the weights it began with.
    Some,
}

/// How an attempt's stream ended before its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakCause {
    /// The connection broke, or the router closed it to spare the server from a slow caller.
    Cut,
    /// The engine broke the protocol or reported an error.
    Fault,
}

/// The server that ran the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SameServer {
    /// The same incarnation, under the same weights, takes requests.
    Alive,
    /// It takes nothing new, has started anew, has other weights or cannot be reached.
    Unusable,
}

/// Other servers that have the weights the stream began with. The same server counts here once it
/// has started anew with these weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EqualServers {
    /// At least one can be sent to.
    InReach,
    /// There are some, and none can be sent to now.
    OutOfReach,
    /// There are none any more.
    Gone,
}

/// What is known when a stream has broken, or when a caller comes with a resume token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamBreak {
    /// What the caller has had.
    pub delivered: DeliveredPart,
    /// What remains to be sent to the caller.
    pub rest: StreamRest,
    /// How the attempt ended.
    pub cause: BreakCause,
    /// The server that ran it.
    pub same: SameServer,
    /// Attempts at that server, this one included, since the stream last moved on.
    pub idle_attempts: u32,
    /// Other servers with the same weights.
    pub equal: EqualServers,
    /// Attempts that may still be made.
    pub attempts_left: u32,
    /// Now, in milliseconds.
    pub now_ms: u64,
    /// When the request is given up on: its deadline before the first byte, the bound on one
    /// standstill after it.
    pub give_up_ms: u64,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeStep {
    /// Write the end: nothing else remains.
    Finish,
    /// Begin anew at any server, under any weights.
    StartAgain,
    /// Go on at the same server, which may still have the prompt cached.
    ResumeSame,
    /// Go on at another server with the same weights.
    ResumeElsewhere,
    /// Tell the caller that it ends here.
    End(EndReason),
}

/// Why a stream is given up on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// No server has the weights that it began with.
    WeightsGone,
    /// No attempt is left.
    OutOfAttempts,
    /// Time is up.
    OutOfTime,
    /// No server with its weights can be reached now.
    OutOfReach,
}

impl EndReason {
    /// The error that the caller gets.
    pub fn error_kind(self) -> ErrorKind {
        match self {
            EndReason::WeightsGone => ErrorKind::WeightsChanged,
            EndReason::OutOfAttempts | EndReason::OutOfTime | EndReason::OutOfReach => {
                ErrorKind::StreamBroken
            }
        }
    }
}

/// Decides. Two texts under different weights must never be joined: the caller would read half of
/// each as one answer. So after the first byte only servers with equal weights are considered.
pub fn plan_resume(facts: &StreamBreak) -> ResumeStep {
    if facts.rest == StreamRest::End {
        return ResumeStep::Finish;
    }
    if is_stranded(facts) {
        return ResumeStep::End(EndReason::WeightsGone);
    }
    if facts.attempts_left == 0 {
        return ResumeStep::End(EndReason::OutOfAttempts);
    }
    if facts.give_up_ms <= facts.now_ms {
        return ResumeStep::End(EndReason::OutOfTime);
    }
    match (facts.delivered, facts.same, facts.equal) {
        (DeliveredPart::Nothing, _, _) => ResumeStep::StartAgain,
        (_, SameServer::Alive, EqualServers::InReach) if is_suspect(facts) => {
            ResumeStep::ResumeElsewhere
        }
        (_, SameServer::Alive, _) => ResumeStep::ResumeSame,
        (_, SameServer::Unusable, EqualServers::InReach) => ResumeStep::ResumeElsewhere,
        (_, SameServer::Unusable, _) => ResumeStep::End(EndReason::OutOfReach),
    }
}

/// Whether the stream is bound to weights that no server has any more.
fn is_stranded(facts: &StreamBreak) -> bool {
    facts.delivered == DeliveredPart::Some
        && facts.same == SameServer::Unusable
        && facts.equal == EqualServers::Gone
}

/// A server that breaks the protocol, or twice breaks off without a token in between, would likely
/// do so again; another one costs a prefill.
fn is_suspect(facts: &StreamBreak) -> bool {
    facts.cause == BreakCause::Fault || 1 < facts.idle_attempts
}
