//! Engines end an answer in two ways: the last token's chunk gives the reason for finishing, or a
//! chunk without any text does, as OpenAI's API has it.

mod common;

use bytes::Bytes;
use bytes::BytesMut;
use fulmargate_relay::StreamFault;
use fulmargate_relay::StreamPlace;
use fulmargate_relay::StreamState;

use crate::common::ATTEMPT;
use crate::common::stream_at;

const TOKEN: &str =
    r#"{"id":"ID","choices":[{"index":0,"delta":{"content":" a"},"finish_reason":null}]}"#;
const CLOSING: &str = r#"{"id":"ID","choices":[{"index":0,"delta":{},"finish_reason":"length"}]}"#;
const CLOSING_TEXT: &str =
    r#"{"id":"ID","choices":[{"index":0,"text":"","finish_reason":"stop"}]}"#;
const LAST: &str =
    r#"{"id":"ID","choices":[{"index":0,"delta":{"content":" b"},"finish_reason":"stop"}]}"#;

struct ClosingCase {
    what: &'static str,
    /// Place at which the attempt begins.
    from: u32,
    events: &'static [(Option<u32>, &'static str)],
    end: Result<StreamState, StreamFault>,
}

const CASES: &[ClosingCase] = &[
    ClosingCase {
        what: "a closing chunk without an id",
        from: 0,
        events: &[(Some(0), TOKEN), (Some(1), TOKEN), (None, CLOSING), (None, "[DONE]")],
        end: Ok(StreamState::Done),
    },
    ClosingCase {
        what: "a closing chunk of a completion",
        from: 0,
        events: &[(Some(0), TOKEN), (None, CLOSING_TEXT), (None, "[DONE]")],
        end: Ok(StreamState::Done),
    },
    ClosingCase {
        what: "nothing but the closing chunk is owed",
        from: 2,
        events: &[(None, CLOSING), (None, "[DONE]")],
        end: Ok(StreamState::Done),
    },
    ClosingCase {
        what: "the last token's chunk finishes",
        from: 0,
        events: &[(Some(0), TOKEN), (Some(1), LAST), (None, "[DONE]")],
        end: Ok(StreamState::Done),
    },
    ClosingCase {
        what: "a last token that comes twice",
        from: 0,
        events: &[(Some(0), TOKEN), (Some(0), LAST)],
        end: Err(StreamFault::Repeat { wanted: 1, found: 0 }),
    },
    ClosingCase {
        what: "a closing chunk that skips tokens",
        from: 0,
        events: &[(Some(0), TOKEN), (Some(2), CLOSING)],
        end: Err(StreamFault::Gap { wanted: 1, found: 2 }),
    },
    ClosingCase {
        what: "the end without a closing chunk",
        from: 0,
        events: &[(Some(0), TOKEN), (None, "[DONE]")],
        end: Err(StreamFault::Unfinished),
    },
];

/// The caller's stream ended in a typed error though each token had come. The engine closed its
/// stream by a chunk without a token or an id; the guard took the id of the event before it, as
/// the standard has it, for that of a repeated token.
#[test]
fn both_ways_to_finish_are_taken() {
    for case in CASES {
        check(case);
    }
}

fn check(case: &ClosingCase) {
    let place = StreamPlace::before(case.from).expect("a small index");
    let mut stream = stream_at(ATTEMPT, place);
    let mut out = BytesMut::new();
    let mut end = Ok(StreamState::Open);
    for (id, data) in case.events {
        let id = id.map(|id| format!("id: {id}\n")).unwrap_or_default();
        let event = format!("{id}data: {}\n\n", data.replace("ID", ATTEMPT));
        end = stream.feed(Bytes::from(event), &mut out);
    }
    assert_eq!(end, case.end, "{}", case.what);
}
