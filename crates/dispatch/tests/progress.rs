//! What may follow a send without an answer.

mod support;

use fulmargate_dispatch::CallProgress;
use fulmargate_dispatch::NextStep;
use fulmargate_dispatch::RouteKind;
use fulmargate_dispatch::SendEnd;
use fulmargate_names::Disposition;
use fulmargate_names::ErrorKind;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::DESK;
use support::route;
use support::stream;

struct ProgressCase {
    name: &'static str,
    kind: RouteKind,
    max_attempts: u32,
    ends: &'static [SendEnd],
    last: NextStep,
}

const OUTCOME_UNKNOWN: NextStep = NextStep::GiveUp(ErrorKind::OutcomeUnknown);

fn cases() -> Vec<ProgressCase> {
    use SendEnd::*;
    vec![
        ProgressCase {
            name: "a charge whose connection broke is over",
            kind: RouteKind::NonIdempotent,
            max_attempts: 3,
            ends: &[Broken],
            last: OUTCOME_UNKNOWN,
        },
        ProgressCase {
            name: "a charge that never left goes elsewhere",
            kind: RouteKind::NonIdempotent,
            max_attempts: 1,
            ends: &[NotSent, Refused, OtherServer],
            last: NextStep::SendAgain,
        },
        ProgressCase {
            name: "other weights are no run either",
            kind: RouteKind::NonIdempotent,
            max_attempts: 1,
            ends: &[OtherWeights],
            last: NextStep::SendAgain,
        },
        ProgressCase {
            name: "a charge is over after the first unknown, whatever came before",
            kind: RouteKind::NonIdempotent,
            max_attempts: 3,
            ends: &[Refused, Unreachable],
            last: OUTCOME_UNKNOWN,
        },
        ProgressCase {
            name: "an idempotent call uses its attempts",
            kind: RouteKind::Idempotent,
            max_attempts: 2,
            ends: &[TimedOut],
            last: NextStep::SendAgain,
        },
        ProgressCase {
            name: "and no more than these",
            kind: RouteKind::Idempotent,
            max_attempts: 2,
            ends: &[TimedOut, TimedOut],
            last: NextStep::GiveUp(ErrorKind::ServerTimeout),
        },
        ProgressCase {
            name: "refusals are no attempts",
            kind: RouteKind::Idempotent,
            max_attempts: 2,
            ends: &[Refused, Broken],
            last: NextStep::SendAgain,
        },
        ProgressCase {
            name: "a service that refuses again and again is left alone",
            kind: RouteKind::Idempotent,
            max_attempts: 2,
            ends: &[Refused, Refused, Refused, Refused],
            last: NextStep::GiveUp(ErrorKind::NoServer),
        },
        ProgressCase {
            name: "a stream that may not be resumed is over",
            kind: stream(false),
            max_attempts: 2,
            ends: &[Broken],
            last: OUTCOME_UNKNOWN,
        },
        ProgressCase {
            name: "a stream that may be resumed goes on",
            kind: stream(true),
            max_attempts: 2,
            ends: &[Broken],
            last: NextStep::SendAgain,
        },
    ]
}

#[test]
fn steps_after_ends() {
    for case in cases() {
        let route = route(case.kind, DESK, case.max_attempts);
        let mut progress = CallProgress::default();
        let steps: Vec<NextStep> =
            case.ends.iter().map(|end| progress.after(*end, &route)).collect();
        assert_eq!(steps.last(), Some(&case.last), "{}", case.name);
    }
}

/// The caller of a charge is told "not run" though a server had it.
/// A connection breaks after the request was written; later sends are refused.
/// The caller takes the promise, sends again, and is charged twice.
/// Once a server may have run a call, no answer may say that it has not run.
#[test]
fn not_run_is_said_only_if_certain() {
    const ENDS: [SendEnd; 7] = [
        SendEnd::NotSent,
        SendEnd::Refused,
        SendEnd::OtherServer,
        SendEnd::OtherWeights,
        SendEnd::Broken,
        SendEnd::TimedOut,
        SendEnd::Unreachable,
    ];
    fn property(picks: Vec<u8>) -> bool {
        let ends: Vec<SendEnd> =
            picks.into_iter().map(|pick| ENDS[usize::from(pick) % ENDS.len()]).collect();
        for kind in [RouteKind::NonIdempotent, RouteKind::Idempotent, stream(true)] {
            let route = route(kind, DESK, 2);
            let mut progress = CallProgress::default();
            let mut may_have_run = false;
            for end in ends.iter().copied() {
                may_have_run |=
                    matches!(end, SendEnd::Broken | SendEnd::TimedOut | SendEnd::Unreachable);
                let step = progress.after(end, &route);
                let mut kinds = vec![progress.failure(), progress.timeout()];
                if let NextStep::GiveUp(kind) = step {
                    kinds.push(kind);
                }
                let says_not_run =
                    kinds.iter().any(|kind| kind.row().disposition == Disposition::NotRun);
                if may_have_run && says_not_run {
                    return false;
                }
                if step != NextStep::SendAgain {
                    break;
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 11))
        .quickcheck(property as fn(Vec<u8>) -> bool);
}

struct ArrivalCase {
    name: &'static str,
    ends: &'static [SendEnd],
    arrivals: u32,
}

const ARRIVALS: &[ArrivalCase] = &[
    ArrivalCase { name: "no connection", ends: &[SendEnd::NotSent, SendEnd::NotSent], arrivals: 0 },
    ArrivalCase { name: "turned away", ends: &[SendEnd::NotSent, SendEnd::Refused], arrivals: 1 },
    ArrivalCase { name: "broken", ends: &[SendEnd::Broken, SendEnd::NotSent], arrivals: 1 },
];

/// Requests are refused for a spent budget while servers have room.
/// Engines had crashed, and each router met each of them once without a connection.
/// Such sends arrive nowhere, so that what follows them repeats nothing.
#[test]
fn sends_without_a_connection_arrive_nowhere() {
    for case in ARRIVALS {
        let route = route(RouteKind::Idempotent, DESK, 3);
        let mut progress = CallProgress::default();
        for end in case.ends {
            progress.after(*end, &route);
        }
        assert_eq!(progress.arrivals(), case.arrivals, "{}", case.name);
    }
}

struct ElsewhereCase {
    name: &'static str,
    kind: RouteKind,
    max_attempts: u32,
    ends: &'static [SendEnd],
    may: bool,
}

fn elsewheres() -> Vec<ElsewhereCase> {
    use SendEnd::*;
    let case =
        |name, kind, max_attempts, ends, may| ElsewhereCase { name, kind, max_attempts, ends, may };
    vec![
        case("a stream that may go on", stream(true), 2, &[], true),
        case("its attempts are used up", stream(true), 2, &[Unreachable], false),
        case("turned away is no attempt", stream(true), 2, &[Refused, NotSent], true),
        case("its sends are used up", stream(true), 3, &[Refused, Refused, Refused], false),
        case("a stream that may not go on", stream(false), 3, &[], false),
        case("a charge", RouteKind::NonIdempotent, 3, &[], false),
    ]
}

/// A visitor's answer is cut off in the middle, and nobody goes on with it.
/// Its first engine was given up; the second was silent for a second and took no new connection, being
/// busy. It was given up as well, though the route allowed no third: now it is waited for.
#[test]
fn a_silent_server_is_given_up_only_for_another() {
    for case in elsewheres() {
        let route = route(case.kind, DESK, case.max_attempts);
        let mut progress = CallProgress::default();
        for end in case.ends {
            progress.after(*end, &route);
        }
        assert_eq!(progress.may_go_elsewhere(&route), case.may, "{}", case.name);
    }
}
