//! An answer is used only if it says that it is the one that was asked for.

use ExpectedWeights::Absent;
use ExpectedWeights::AtLeast;
use ExpectedWeights::Exactly;
use fulmargate_names::EventKind;
use fulmargate_names::Incarnation;
use fulmargate_names::WeightsVersion;
use fulmargate_relay::ExpectedReply;
use fulmargate_relay::ExpectedWeights;
use fulmargate_relay::IdentityFault;
use fulmargate_relay::ReplyIdentity;
use fulmargate_relay::ReplyNews;

struct IdentityCase {
    name: &'static str,
    weights: ExpectedWeights,
    reply: ReplyIdentity<'static>,
    verdict: Result<ReplyNews, IdentityFault>,
}

const OWN: ReplyIdentity<'static> = ReplyIdentity {
    attempt_id: Some("request.2"),
    server: Some("brescia-est-1"),
    incarnation: Some(Incarnation(5)),
    weights: Some(WeightsVersion(3)),
};

/// The caller sees another request's text, or one made from what an engine knew before it crashed
/// or was given new weights. An answer comes late on a used connection, or a new host has taken
/// over the address. Each answer is judged by what it says of itself.
#[test]
fn only_the_own_answer_passes() {
    let v3 = WeightsVersion(3);
    let v4 = WeightsVersion(4);
    #[rustfmt::skip]
    let cases = [
        ("own", Exactly(v3), OWN, Ok(ReplyNews::AsKnown)),
        ("own, newer weights", AtLeast(WeightsVersion(2)), OWN, Ok(ReplyNews::AsKnown)),
        ("plain service", Absent, ReplyIdentity { weights: None, ..OWN }, Ok(ReplyNews::AsKnown)),
        ("restarted", Exactly(v3), ReplyIdentity { incarnation: Some(Incarnation(6)), ..OWN }, Ok(ReplyNews::Restarted(Incarnation(6)))),
        ("late", Exactly(v3), ReplyIdentity { attempt_id: Some("request.1"), ..OWN }, Err(IdentityFault::Crossed)),
        ("other server", Exactly(v3), ReplyIdentity { server: Some("brescia-est-2"), ..OWN }, Err(IdentityFault::OtherServer)),
        ("dead incarnation", Exactly(v3), ReplyIdentity { incarnation: Some(Incarnation(4)), ..OWN }, Err(IdentityFault::OlderIncarnation)),
        ("older weights", AtLeast(v4), OWN, Err(IdentityFault::OtherWeights)),
        ("older weights than the stream's", Exactly(v4), OWN, Err(IdentityFault::OtherWeights)),
        ("newer weights than the stream's", Exactly(WeightsVersion(2)), OWN, Err(IdentityFault::OtherWeights)),
        ("no id", Absent, ReplyIdentity { attempt_id: None, ..OWN }, Err(IdentityFault::Unidentified)),
        ("no server", Absent, ReplyIdentity { server: None, ..OWN }, Err(IdentityFault::Unidentified)),
        ("no incarnation", Absent, ReplyIdentity { incarnation: None, ..OWN }, Err(IdentityFault::Unidentified)),
        ("no weights", Exactly(v3), ReplyIdentity { weights: None, ..OWN }, Err(IdentityFault::Unidentified)),
        ("no weights at all", AtLeast(v3), ReplyIdentity { weights: None, ..OWN }, Err(IdentityFault::Unidentified)),
    ];
    for (name, weights, reply, verdict) in cases {
        let case = IdentityCase { name, weights, reply, verdict };
        let expected = ExpectedReply {
            attempt_id: "request.2",
            server: "brescia-est-1",
            incarnation: Incarnation(5),
            weights: case.weights,
        };
        assert_eq!(expected.check(&case.reply), case.verdict, "{}", case.name);
    }
}

#[test]
fn faults_are_counted_as_crossed_or_stale() {
    assert_eq!(IdentityFault::Crossed.event_kind(), EventKind::CrossedAnswer);
    assert_eq!(IdentityFault::OlderIncarnation.event_kind(), EventKind::StaleAnswer);
}
