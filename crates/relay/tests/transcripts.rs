//! The checker of callers' streams finds each flaw, and errors have the form callers know.

mod common;

use common::ATTEMPT;
use common::DONE;
use common::REQUEST;
use common::TOKENS;
use common::answer;
use common::begun;
use common::binding;
use common::first_secret;
use common::relay;
use common::stream_at;
use common::whole;
use fulmargate_names::ErrorKind;
use fulmargate_names::WeightsVersion;
use fulmargate_relay::ResumeToken;
use fulmargate_relay::StreamFlaw;
use fulmargate_relay::StreamPlace;
use fulmargate_relay::StreamTranscript;
use fulmargate_relay::StreamVerdict;
use fulmargate_relay::TokenMinter;
use fulmargate_relay::error_body;
use fulmargate_relay::error_event;
use fulmargate_relay::error_event_saying;

struct FlawCase {
    name: &'static str,
    /// What the caller got on each connection.
    bodies: Vec<String>,
    verdict: StreamVerdict,
}

fn check(case: &FlawCase) {
    let mut transcript = StreamTranscript::new();
    for (connection, body) in case.bodies.iter().enumerate() {
        if 0 < connection {
            transcript.reconnect();
        }
        for chunk in body.as_bytes().chunks(7) {
            transcript.feed(chunk);
        }
    }
    assert_eq!(transcript.verdict(), &case.verdict, "{}", case.name);
    if case.verdict == StreamVerdict::Whole {
        assert_eq!(transcript.text(), answer(TOKENS), "{}", case.name);
    }
}

/// Events of a good stream as the caller gets them.
fn events() -> Vec<String> {
    let body = whole(ATTEMPT, 0);
    let (out, _) = relay(&mut stream_at(ATTEMPT, StreamPlace::default()), [body.as_bytes()]);
    let text = String::from_utf8(out.to_vec()).unwrap();
    text.split_inclusive("\n\n").map(str::to_owned).collect()
}

/// A token event whose id was minted for another stream.
fn alien(event: &str, claims: &ResumeToken) -> String {
    let token = TokenMinter::new(&first_secret(), &binding(), claims).mint(claims.place);
    let (_, data) = event.split_once('\n').unwrap();
    format!("id: {token}\n{data}")
}

#[test]
fn each_flaw_is_found() {
    let all = events();
    let join = |range: std::ops::Range<usize>| all[range].concat();
    let last = all.len();
    let place = |index| StreamPlace::before(index).unwrap();
    let own = |place| ResumeToken { place, ..begun(REQUEST) };
    let other = alien(&all[1], &ResumeToken { place: place(2), ..begun("other") });
    let newer = alien(&all[1], &ResumeToken { weights: WeightsVersion(301), ..own(place(2)) });
    let early = alien(&all[3], &own(place(4)));
    let unmoved = alien(&all[3], &own(place(3).finished()));
    let (_, closing) = all[3].split_once('\n').unwrap();
    let closing = closing.replace(" tø3", "");
    let error = String::from_utf8(error_event(ErrorKind::StreamBroken).to_vec()).unwrap();
    let ended = || StreamVerdict::Ended { code: "stream_broken".to_owned() };
    let broken = |flaw| StreamVerdict::Broken { flaw };
    let gap = broken(StreamFlaw::Disordered { wanted: 1, found: 2 });
    let again = broken(StreamFlaw::Disordered { wanted: 1, found: 0 });
    #[rustfmt::skip]
    let cases = [
        ("whole", vec![join(0..last)], StreamVerdict::Whole),
        ("nothing", vec![], StreamVerdict::Cut),
        ("cut", vec![join(0..3)], StreamVerdict::Cut),
        ("no end", vec![join(0..last - 1)], StreamVerdict::Cut),
        ("ended", vec![join(0..2) + &error], ended()),
        ("resumed", vec![join(0..2) + &all[2][..9], join(2..last)], StreamVerdict::Whole),
        ("resumed after an error", vec![join(0..2) + &error, join(2..last)], StreamVerdict::Whole),
        ("resumed for the end", vec![join(0..4), DONE.to_owned()], StreamVerdict::Whole),
        ("gap", vec![join(0..1) + &join(2..last)], gap.clone()),
        ("gap after resuming", vec![join(0..1), join(2..last)], gap),
        ("twice", vec![join(0..1) + &join(0..last)], again),
        ("end early", vec![join(0..2) + DONE], broken(StreamFlaw::Unfinished)),
        ("only the end", vec![DONE.to_owned()], broken(StreamFlaw::Unfinished)),
        ("finish not told", vec![join(0..3) + &early], broken(StreamFlaw::Unfinished)),
        ("end twice", vec![join(0..last) + DONE], broken(StreamFlaw::AfterEnd)),
        ("token after an error", vec![join(0..1) + &error + &all[1]], broken(StreamFlaw::AfterEnd)),
        ("other token", vec![join(0..1) + &other], broken(StreamFlaw::OtherRequest)),
        ("other chunk", vec![join(0..1) + &all[1].replace(REQUEST, "x")], broken(StreamFlaw::OtherRequest)),
        ("text that moves no index", vec![join(0..3) + &unmoved], broken(StreamFlaw::Disordered { wanted: 3, found: 2 })),
        ("closing chunk without an event id", vec![join(0..3) + &closing], broken(StreamFlaw::Unfinished)),
        ("other usage", vec![join(0..4) + &all[4].replace(REQUEST, "x")], broken(StreamFlaw::OtherRequest)),
        ("other weights", vec![join(0..1) + &newer], broken(StreamFlaw::WeightsChanged)),
        ("engine's own ids", vec![whole(ATTEMPT, 0)], broken(StreamFlaw::Unnumbered)),
        ("no JSON", vec!["data: x\n\n".to_owned()], broken(StreamFlaw::Unreadable)),
    ];
    for (name, bodies, verdict) in cases {
        check(&FlawCase { name, bodies, verdict });
    }
}

#[test]
fn errors_have_the_form_of_the_api() {
    let cases = [
        (ErrorKind::TeamLimit, "rate_limit_error"),
        (ErrorKind::Unauthorized, "authentication_error"),
        (ErrorKind::ResumeRefused, "permission_error"),
        (ErrorKind::UnknownModel, "not_found_error"),
        (ErrorKind::BadRequest, "invalid_request_error"),
        (ErrorKind::StreamBroken, "server_error"),
    ];
    for (kind, type_name) in cases {
        let row = kind.row();
        let body: serde_json::Value = serde_json::from_slice(&error_body(kind)).unwrap();
        let expected = serde_json::json!({"error": {
            "message": row.meaning, "type": type_name, "code": row.code, "param": null,
        }});
        assert_eq!(body, expected);
    }
    let event = error_event_saying(ErrorKind::StreamBroken, "one\n\ndata: [DONE]");
    assert_eq!(event.iter().filter(|&&byte| byte == b'\n').count(), 3);
    assert!(event.starts_with(b"event: error\ndata: {"));
}
