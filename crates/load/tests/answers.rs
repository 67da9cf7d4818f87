//! The checks of answers, each shown to reject a hand-made bad one.

use std::time::Duration;

use fulmargate_load::AnswerCheck;
use fulmargate_load::AnswerFault;
use fulmargate_load::ExpectedAnswer;
use fulmargate_load::KeyHistory;
use fulmargate_load::KeySend;
use fulmargate_load::SseEvent;
use fulmargate_load::SseReader;
use fulmargate_names::Disposition;
use fulmargate_stand::token::token_text;
use serde_json::json;

const HASH: u64 = 77;

fn expected() -> ExpectedAnswer {
    ExpectedAnswer { request_id: "r-1".to_owned(), prompt_hash: HASH, tokens: 3, weights: 2..=3 }
}

fn chunk(id: &str, text: &str, finish: Option<&str>) -> String {
    json!({ "id": id, "choices": [{ "delta": { "content": text }, "finish_reason": finish }] })
        .to_string()
}

fn token_event(weights: u64, index: usize) -> String {
    chunk("r-1.1", &token_text(weights, HASH, index), (index == 2).then_some("length"))
}

fn usage(cached: usize) -> String {
    json!({
        "id": "r-1.1", "choices": [],
        "usage": {
            "prompt_tokens": 9, "completion_tokens": 3, "prompt_tokens_details": { "cached_tokens": cached },
        },
    })
    .to_string()
}

fn whole(weights: u64) -> Vec<String> {
    let mut events: Vec<String> = (0..3).map(|index| token_event(weights, index)).collect();
    events.extend([usage(4), "[DONE]".to_owned()]);
    events
}

struct AnswerCase {
    name: &'static str,
    events: Vec<String>,
    result: Result<(), AnswerFault>,
}

impl AnswerCase {
    fn check(&self) {
        let mut check = AnswerCheck::new(expected());
        let mut result = Ok(());
        for data in &self.events {
            let event = SseEvent { data: data.clone(), ..SseEvent::default() };
            result = result.and_then(|()| check.take(&event));
        }
        assert_eq!(result, self.result, "{}", self.name);
    }
}

fn changed(change: impl FnOnce(&mut Vec<String>)) -> Vec<String> {
    let mut events = whole(2);
    change(&mut events);
    events
}

#[test]
fn answers_are_judged() {
    use AnswerFault::*;
    let case = |name, events, result| AnswerCase { name, events, result };
    let cases = [
        case("whole", whole(2), Ok(())),
        case("whole by the newer weights", whole(3), Ok(())),
        case(
            "two tokens in a chunk",
            changed(|events| {
                let text = token_text(2, HASH, 0) + &token_text(2, HASH, 1);
                events.splice(0..2, [chunk("r-1", &text, None)]);
            }),
            Ok(()),
        ),
        case("a token is missing", changed(|events| drop(events.remove(1))), Err(Gap)),
        case("the first token is missing", changed(|events| drop(events.remove(0))), Err(Gap)),
        case("the last token is missing", changed(|events| drop(events.remove(2))), Err(Gap)),
        case("a token twice", changed(|events| events.insert(1, token_event(2, 0))), Err(Repeated)),
        case("old weights", whole(1), Err(Stale)),
        case(
            "weights change in the stream",
            changed(|events| events[2] = token_event(3, 2)),
            Err(Stale),
        ),
        case(
            "text of another prompt",
            changed(|events| {
                events[1] = chunk("r-1.1", &token_text(2, HASH + 1, 1), None);
            }),
            Err(Foreign),
        ),
        case(
            "another request's id",
            changed(|events| {
                events[1] = chunk("r-11", &token_text(2, HASH, 1), None);
            }),
            Err(Crossed),
        ),
        case(
            "no finish reason",
            changed(|events| {
                events[2] = chunk("r-1.1", &token_text(2, HASH, 2), None);
            }),
            Err(Malformed),
        ),
        case("no usage", changed(|events| drop(events.remove(3))), Err(Malformed)),
        case("more cached than asked", changed(|events| events[3] = usage(10)), Err(Malformed)),
        case("after the end", changed(|events| events.push(usage(4))), Err(Malformed)),
        case("no JSON", changed(|events| events[0] = "{".to_owned()), Err(Malformed)),
    ];
    cases.iter().for_each(AnswerCase::check);
}

#[test]
fn events_are_cut_from_any_pieces() {
    let bytes = b"id: 0\r\ndata: a\r\n\r\n: remark\n\nevent: error\ndata: b\ndata: c\n\ndata: d";
    for size in 1..bytes.len() {
        let mut reader = SseReader::default();
        let events: Vec<SseEvent> =
            bytes.chunks(size).flat_map(|piece| reader.read(piece)).collect();
        let event = |id: Option<&str>, name: Option<&str>, data: &str| SseEvent {
            id: id.map(str::to_owned),
            name: name.map(str::to_owned),
            data: data.to_owned(),
        };
        let expected = [event(Some("0"), None, "a"), event(None, Some("error"), "b\nc")];
        assert_eq!(events, expected, "pieces of {size}");
        assert!(reader.is_within_event());
    }
}

struct KeyCase {
    name: &'static str,
    /// Beginning and end in milliseconds, and what the answer said.
    sends: &'static [(u64, u64, Option<Disposition>)],
    effects: u64,
    fault: Option<AnswerFault>,
}

impl KeyCase {
    fn check(&self) {
        let sends = self.sends.iter().map(|(began, ended, disposition)| KeySend {
            began: Duration::from_millis(*began),
            ended: Duration::from_millis(*ended),
            disposition: *disposition,
        });
        let history = KeyHistory { key: "k".to_owned(), sends: sends.collect() };
        assert_eq!(history.fault(self.effects), self.fault, "{}", self.name);
    }
}

const NOT_RUN: Option<Disposition> = Some(Disposition::NotRun);
const RAN: Option<Disposition> = Some(Disposition::Ran);
const UNKNOWN: Option<Disposition> = Some(Disposition::Unknown);

#[test]
fn keys_are_judged_by_their_effects() {
    use AnswerFault::*;
    let case = |name, sends, effects, fault| KeyCase { name, sends, effects, fault };
    let cases = [
        case("ran once", &[(0, 5, RAN)][..], 1, None),
        case(
            "ran, and the second send was given the first answer",
            &[(0, 5, RAN), (2, 6, RAN)],
            1,
            None,
        ),
        case("two effects", &[(0, 5, RAN), (2, 6, RAN)], 2, Some(Doubled)),
        case("no effect", &[(0, 5, RAN)], 0, Some(NoEffect)),
        case("refused", &[(0, 5, NOT_RUN)], 0, None),
        case("refused, yet an effect", &[(0, 5, NOT_RUN)], 1, Some(FalseNotRun)),
        case("refused, and run when sent again", &[(0, 5, NOT_RUN), (6, 9, RAN)], 1, None),
        case(
            "run, and a later send refused",
            &[(0, 5, RAN), (6, 9, NOT_RUN)],
            1,
            Some(FalseNotRun),
        ),
        case("run, and a send at the same time refused", &[(0, 5, RAN), (4, 9, NOT_RUN)], 1, None),
        case("unknown with an effect", &[(0, 5, UNKNOWN), (6, 9, UNKNOWN)], 1, None),
        case("unknown without one", &[(0, 5, UNKNOWN)], 0, None),
        case(
            "broken, then refused: nothing is provable",
            &[(0, 5, None), (6, 9, NOT_RUN)],
            1,
            None,
        ),
    ];
    cases.iter().for_each(KeyCase::check);
}
