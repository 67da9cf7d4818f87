//! Decisions after a send has ended without an answer.

mod support;

use fulmargate_dispatch::CallProgress;
use fulmargate_dispatch::NextStep;
use fulmargate_dispatch::RouteKind;
use fulmargate_dispatch::SendOutcome;
use fulmargate_names::Disposition;
use fulmargate_names::ErrorKind;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::PLAIN_SERVICE;
use support::route;
use support::stream;

struct ProgressCase {
    name: &'static str,
    kind: RouteKind,
    max_attempts: u32,
    ends: &'static [SendOutcome],
    last_step: NextStep,
}

const OUTCOME_UNKNOWN: NextStep = NextStep::GiveUp(ErrorKind::OutcomeUnknown);

fn progress_cases() -> Vec<ProgressCase> {
    use SendOutcome::*;
    vec![
        ProgressCase {
            name: "non-idempotent, connection broken",
            kind: RouteKind::NonIdempotent,
            max_attempts: 3,
            ends: &[Broken],
            last_step: OUTCOME_UNKNOWN,
        },
        ProgressCase {
            name: "non-idempotent, certainly not run",
            kind: RouteKind::NonIdempotent,
            max_attempts: 1,
            ends: &[NotSent, Refused, OtherServer],
            last_step: NextStep::SendAgain,
        },
        ProgressCase {
            name: "non-idempotent, refused for other weights",
            kind: RouteKind::NonIdempotent,
            max_attempts: 1,
            ends: &[OtherWeights],
            last_step: NextStep::SendAgain,
        },
        ProgressCase {
            name: "non-idempotent, unknown outcome after a refusal",
            kind: RouteKind::NonIdempotent,
            max_attempts: 3,
            ends: &[Refused, Unreachable],
            last_step: OUTCOME_UNKNOWN,
        },
        ProgressCase {
            name: "idempotent, attempts left",
            kind: RouteKind::Idempotent,
            max_attempts: 2,
            ends: &[TimedOut],
            last_step: NextStep::SendAgain,
        },
        ProgressCase {
            name: "idempotent, no attempts left",
            kind: RouteKind::Idempotent,
            max_attempts: 2,
            ends: &[TimedOut, TimedOut],
            last_step: NextStep::GiveUp(ErrorKind::ServerTimeout),
        },
        ProgressCase {
            name: "refusals do not count as attempts",
            kind: RouteKind::Idempotent,
            max_attempts: 2,
            ends: &[Refused, Broken],
            last_step: NextStep::SendAgain,
        },
        ProgressCase {
            name: "too many refusals",
            kind: RouteKind::Idempotent,
            max_attempts: 2,
            ends: &[Refused, Refused, Refused, Refused],
            last_step: NextStep::GiveUp(ErrorKind::NoServer),
        },
        ProgressCase {
            name: "stream that cannot be resumed",
            kind: stream(false),
            max_attempts: 2,
            ends: &[Broken],
            last_step: OUTCOME_UNKNOWN,
        },
        ProgressCase {
            name: "resumable stream",
            kind: stream(true),
            max_attempts: 2,
            ends: &[Broken],
            last_step: NextStep::SendAgain,
        },
    ]
}

#[test]
fn ends_determine_the_next_step() {
    for case in progress_cases() {
        let route = route(case.kind, PLAIN_SERVICE, case.max_attempts);
        let mut progress = CallProgress::default();
        let steps: Vec<NextStep> =
            case.ends.iter().map(|end| progress.after(*end, &route)).collect();
        assert_eq!(steps.last(), Some(&case.last_step), "{}", case.name);
    }
}

/// Once a server may have run a call, no error may say that it has not run: the caller would retry,
/// and a charge could be made twice.
#[test]
fn not_run_is_reported_only_if_certain() {
    const ENDS: [SendOutcome; 7] = [
        SendOutcome::NotSent,
        SendOutcome::Refused,
        SendOutcome::OtherServer,
        SendOutcome::OtherWeights,
        SendOutcome::Broken,
        SendOutcome::TimedOut,
        SendOutcome::Unreachable,
    ];
    fn property(choices: Vec<u8>) -> bool {
        let ends: Vec<SendOutcome> =
            choices.into_iter().map(|choice| ENDS[usize::from(choice) % ENDS.len()]).collect();
        for kind in [RouteKind::NonIdempotent, RouteKind::Idempotent, stream(true)] {
            let route = route(kind, PLAIN_SERVICE, 2);
            let mut progress = CallProgress::default();
            let mut may_have_run = false;
            for end in ends.iter().copied() {
                may_have_run |= matches!(
                    end,
                    SendOutcome::Broken | SendOutcome::TimedOut | SendOutcome::Unreachable
                );
                let step = progress.after(end, &route);
                let mut kinds = vec![progress.failure(), progress.timeout()];
                if let NextStep::GiveUp(kind) = step {
                    kinds.push(kind);
                }
                let reports_not_run =
                    kinds.iter().any(|kind| kind.row().disposition == Disposition::NotRun);
                if may_have_run && reports_not_run {
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
    ends: &'static [SendOutcome],
    arrivals: u32,
}

const ARRIVAL_CASES: &[ArrivalCase] = &[
    ArrivalCase {
        name: "no connection",
        ends: &[SendOutcome::NotSent, SendOutcome::NotSent],
        arrivals: 0,
    },
    ArrivalCase {
        name: "refused",
        ends: &[SendOutcome::NotSent, SendOutcome::Refused],
        arrivals: 1,
    },
    ArrivalCase { name: "broken", ends: &[SendOutcome::Broken, SendOutcome::NotSent], arrivals: 1 },
];

/// Sends without a connection must not use up the retry budget.
#[test]
fn sends_without_a_connection_are_not_arrivals() {
    for case in ARRIVAL_CASES {
        let route = route(RouteKind::Idempotent, PLAIN_SERVICE, 3);
        let mut progress = CallProgress::default();
        for end in case.ends {
            progress.after(*end, &route);
        }
        assert_eq!(progress.arrivals(), case.arrivals, "{}", case.name);
    }
}

struct FailoverCase {
    name: &'static str,
    kind: RouteKind,
    max_attempts: u32,
    ends: &'static [SendOutcome],
    is_allowed: bool,
}

fn failover_cases() -> Vec<FailoverCase> {
    use SendOutcome::*;
    let case = |name, kind, max_attempts, ends, is_allowed| FailoverCase {
        name,
        kind,
        max_attempts,
        ends,
        is_allowed,
    };
    vec![
        case("resumable stream", stream(true), 2, &[], true),
        case("no attempts left", stream(true), 2, &[Unreachable], false),
        case("refusals do not count as attempts", stream(true), 2, &[Refused, NotSent], true),
        case("no sends left", stream(true), 3, &[Refused, Refused, Refused], false),
        case("stream that cannot be resumed", stream(false), 3, &[], false),
        case("non-idempotent", RouteKind::NonIdempotent, 3, &[], false),
    ]
}

/// A slow server must not be abandoned if the route does not allow another send.
#[test]
fn a_silent_server_is_abandoned_only_for_another() {
    for case in failover_cases() {
        let route = route(case.kind, PLAIN_SERVICE, case.max_attempts);
        let mut progress = CallProgress::default();
        for end in case.ends {
            progress.after(*end, &route);
        }
        assert_eq!(progress.may_fail_over(&route), case.is_allowed, "{}", case.name);
    }
}
