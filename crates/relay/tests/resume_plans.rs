//! After a break a stream goes on where that is right, or ends with a typed error.

use BreakCause::Cut;
use BreakCause::Fault;
use DeliveredPart::Nothing;
use DeliveredPart::Some as Part;
use EqualServers::Gone;
use EqualServers::InReach;
use EqualServers::OutOfReach;
use SameServer::Alive;
use SameServer::Unusable;
use fulmargate_names::ErrorKind;
use fulmargate_relay::BreakCause;
use fulmargate_relay::DeliveredPart;
use fulmargate_relay::EndReason;
use fulmargate_relay::EqualServers;
use fulmargate_relay::ResumeStep;
use fulmargate_relay::SameServer;
use fulmargate_relay::StreamBreak;
use fulmargate_relay::StreamPlace;
use fulmargate_relay::StreamRest;
use fulmargate_relay::UsageChunk;
use fulmargate_relay::plan_resume;

struct PlanCase {
    name: &'static str,
    facts: StreamBreak,
    step: ResumeStep,
}

fn facts(
    delivered: DeliveredPart,
    cause: BreakCause,
    same: SameServer,
    equal: EqualServers,
) -> StreamBreak {
    StreamBreak {
        delivered,
        rest: StreamRest::Tokens,
        cause,
        same,
        idle_attempts: 1,
        equal,
        attempts_left: 1,
        now_ms: 999,
        give_up_ms: 1000,
    }
}

/// The caller reads half an answer of one model version and half of another, waits for a server
/// that will not come back, or sees a stream end that could have gone on. The server of an open
/// stream breaks off, restarts, leaves or is given new weights, while others may or may not have
/// the old ones.
#[test]
fn a_break_is_mended_or_ended() {
    let usual = facts(Part, Cut, Alive, InReach);
    #[rustfmt::skip]
    let cases = [
        ("cut", usual, ResumeStep::ResumeSame),
        ("cut, alone", facts(Part, Cut, Alive, Gone), ResumeStep::ResumeSame),
        ("cut twice without a token", StreamBreak { idle_attempts: 2, ..usual }, ResumeStep::ResumeElsewhere),
        ("cut twice, alone", StreamBreak { idle_attempts: 2, ..facts(Part, Cut, Alive, Gone) }, ResumeStep::ResumeSame),
        ("fault", facts(Part, Fault, Alive, InReach), ResumeStep::ResumeElsewhere),
        ("fault, others out of reach", facts(Part, Fault, Alive, OutOfReach), ResumeStep::ResumeSame),
        ("server gone", facts(Part, Cut, Unusable, InReach), ResumeStep::ResumeElsewhere),
        ("all out of reach", facts(Part, Cut, Unusable, OutOfReach), ResumeStep::End(EndReason::OutOfReach)),
        ("weights gone", facts(Part, Cut, Unusable, Gone), ResumeStep::End(EndReason::WeightsGone)),
        ("weights gone and no attempts", StreamBreak { attempts_left: 0, ..facts(Part, Cut, Unusable, Gone) }, ResumeStep::End(EndReason::WeightsGone)),
        ("weights gone before a byte", facts(Nothing, Cut, Unusable, Gone), ResumeStep::StartAgain),
        ("before a byte", facts(Nothing, Fault, Alive, InReach), ResumeStep::StartAgain),
        ("no attempts", StreamBreak { attempts_left: 0, ..usual }, ResumeStep::End(EndReason::OutOfAttempts)),
        ("no time", StreamBreak { now_ms: 1000, ..usual }, ResumeStep::End(EndReason::OutOfTime)),
        ("no time before a byte", StreamBreak { now_ms: 1000, delivered: Nothing, ..usual }, ResumeStep::End(EndReason::OutOfTime)),
        ("only the end is owed", StreamBreak { rest: StreamRest::End, attempts_left: 0, ..facts(Part, Cut, Unusable, Gone) }, ResumeStep::Finish),
        ("usage is owed", StreamBreak { rest: StreamRest::Usage, ..usual }, ResumeStep::ResumeSame),
    ];
    for (name, facts, step) in cases {
        let case = PlanCase { name, facts, step };
        assert_eq!(plan_resume(&case.facts), case.step, "{}", case.name);
    }
}

#[test]
fn each_end_has_an_error() {
    let ends = [EndReason::OutOfAttempts, EndReason::OutOfTime, EndReason::OutOfReach];
    assert!(ends.iter().all(|end| end.error_kind() == ErrorKind::StreamBroken));
    assert_eq!(EndReason::WeightsGone.error_kind(), ErrorKind::WeightsChanged);
}

#[test]
fn what_is_owed_follows_from_the_place() {
    let place = StreamPlace::before(3).unwrap();
    let cases = [
        (place, UsageChunk::NotAsked, StreamRest::Tokens),
        (place, UsageChunk::Due, StreamRest::Tokens),
        (place.finished(), UsageChunk::NotAsked, StreamRest::End),
        (place.finished(), UsageChunk::Due, StreamRest::Usage),
        (place.finished(), UsageChunk::Passed, StreamRest::End),
    ];
    for (place, usage, rest) in cases {
        assert_eq!(StreamRest::at(place, usage), rest, "{place:?} {usage:?}");
    }
}
