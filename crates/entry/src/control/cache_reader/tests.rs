//! When a source is asked again.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::CachePage;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::Incarnation;
use fulmargate_settings::EntrySettings;
use tokio::sync::mpsc::unbounded_channel;

use super::CacheReader;
use super::CacheSource;
use crate::control::cache_calls::CacheCalls;
use crate::state::SharedState;

const EXAMPLE: &str = include_str!("../../../../../examples/entry.json");
const OWN_START: Incarnation = Incarnation(7);

/// How a call ends.
#[derive(Clone, Copy, Debug)]
enum CallEnd {
    NoAnswer,
    /// Another start of the engine answers.
    OtherStart,
    Page,
}

struct PauseCase {
    name: &'static str,
    /// How calls end, and the milliseconds until the next.
    calls: &'static [(CallEnd, u64)],
}

const CASES: &[PauseCase] = &[
    PauseCase {
        name: "what is kept cannot be had",
        calls: &[
            (CallEnd::NoAnswer, 1_000),
            (CallEnd::NoAnswer, 2_000),
            (CallEnd::NoAnswer, 4_000),
            (CallEnd::NoAnswer, 8_000),
            (CallEnd::NoAnswer, 8_000),
        ],
    },
    PauseCase {
        name: "another start answers, with all that it has kept",
        calls: &[(CallEnd::OtherStart, 1_000), (CallEnd::OtherStart, 2_000), (CallEnd::Page, 250)],
    },
    PauseCase {
        name: "it was had at last",
        calls: &[
            (CallEnd::NoAnswer, 1_000),
            (CallEnd::NoAnswer, 2_000),
            (CallEnd::Page, 250),
            (CallEnd::NoAnswer, 1_000),
        ],
    },
    PauseCase {
        name: "only what is new cannot be had",
        calls: &[(CallEnd::Page, 250), (CallEnd::NoAnswer, 1_000), (CallEnd::NoAnswer, 1_000)],
    },
];

/// A host's link stays full for as long as some engines do not answer in time.
/// Each call for all that an engine has kept brings a part of it before it is given up, and the next was
/// made a second later, from the beginning.
/// The pause doubles, so that what comes for nothing becomes little.
#[test]
fn failing_histories_are_asked_for_ever_more_seldom() {
    for case in CASES {
        let mut reader = some_reader();
        for (index, (end, pause_ms)) in case.calls.iter().enumerate() {
            let pause = reader.take_in(result(*end));
            let expected = Duration::from_millis(*pause_ms);
            assert_eq!(pause, expected, "{}, call {index}", case.name);
        }
    }
}

fn some_reader() -> CacheReader {
    let settings = EntrySettings::parse("entry.json", EXAMPLE).expect("the example is good");
    let calls = CacheCalls::new(settings.link_bytes_per_s());
    let (sender, _) = unbounded_channel();
    let state = Arc::new(SharedState::new(settings, sender));
    let address = "127.0.0.1:1".parse().expect("an address");
    let source = CacheSource { key: ServerKey(1), address, incarnation: Some(OWN_START) };
    CacheReader::new(state, Rc::new(calls), source)
}

fn result(end: CallEnd) -> Result<CachePage, StoreError> {
    let page = |incarnation: Incarnation| CachePage {
        incarnation: Some(incarnation),
        epoch: 1,
        next: 2,
        is_gap: false,
        parts: Vec::new(),
    };
    match end {
        CallEnd::NoAnswer => Err(StoreError::NoAnswer { reason: "no answer in time".to_owned() }),
        CallEnd::OtherStart => Ok(page(Incarnation(8))),
        CallEnd::Page => Ok(page(OWN_START)),
    }
}
