//! Delay between calls to a cache event source.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::CachePage;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::Incarnation;
use fulmargate_settings::EntrySettings;

use super::CacheReader;
use super::CacheSource;
use crate::control::cache_event_client::CacheEventClient;
use crate::state::SharedState;

const EXAMPLE: &str = include_str!("../../../../../examples/entry.json");
const EXPECTED_INCARNATION: Incarnation = Incarnation(7);

#[derive(Clone, Copy, Debug)]
enum CallOutcome {
    NoAnswer,
    OtherIncarnation,
    Page,
}

struct DelayCase {
    name: &'static str,
    /// Outcome of each call, and the milliseconds until the next.
    calls: &'static [(CallOutcome, u64)],
}

const CASES: &[DelayCase] = &[
    DelayCase {
        name: "backfill calls fail",
        calls: &[
            (CallOutcome::NoAnswer, 1_000),
            (CallOutcome::NoAnswer, 2_000),
            (CallOutcome::NoAnswer, 4_000),
            (CallOutcome::NoAnswer, 8_000),
            (CallOutcome::NoAnswer, 8_000),
        ],
    },
    DelayCase {
        name: "another incarnation answers the backfill",
        calls: &[
            (CallOutcome::OtherIncarnation, 1_000),
            (CallOutcome::OtherIncarnation, 2_000),
            (CallOutcome::Page, 250),
        ],
    },
    DelayCase {
        name: "backfill succeeds after failures",
        calls: &[
            (CallOutcome::NoAnswer, 1_000),
            (CallOutcome::NoAnswer, 2_000),
            (CallOutcome::Page, 250),
            (CallOutcome::NoAnswer, 1_000),
        ],
    },
    DelayCase {
        name: "only calls for new events fail",
        calls: &[
            (CallOutcome::Page, 250),
            (CallOutcome::NoAnswer, 1_000),
            (CallOutcome::NoAnswer, 1_000),
        ],
    },
];

/// Guards against retrying failed backfills at a fixed interval, each of which transfers part of
/// the backlog again and keeps the link saturated.
#[test]
fn failed_backfills_back_off_exponentially() {
    for case in CASES {
        let mut reader = test_reader();
        for (index, (outcome, delay_ms)) in case.calls.iter().enumerate() {
            let delay = reader.handle_page(call_result(*outcome));
            let expected = Duration::from_millis(*delay_ms);
            assert_eq!(delay, expected, "{}, call {index}", case.name);
        }
    }
}

fn test_reader() -> CacheReader {
    let settings = EntrySettings::parse("entry.json", EXAMPLE).expect("example settings are valid");
    let client = CacheEventClient::new(settings.link_bytes_per_s());
    let state = Arc::new(SharedState::new(settings));
    let address = "127.0.0.1:1".parse().expect("valid address");
    let source =
        CacheSource { key: ServerKey(1), address, incarnation: Some(EXPECTED_INCARNATION) };
    CacheReader::new(state, Rc::new(client), source)
}

fn call_result(outcome: CallOutcome) -> Result<CachePage, StoreError> {
    let page = |incarnation: Incarnation| CachePage {
        incarnation: Some(incarnation),
        epoch: 1,
        next: 2,
        has_gap: false,
        parts: Vec::new(),
    };
    match outcome {
        CallOutcome::NoAnswer => {
            Err(StoreError::NoAnswer { reason: "no answer in time".to_owned() })
        }
        CallOutcome::OtherIncarnation => Ok(page(Incarnation(8))),
        CallOutcome::Page => Ok(page(EXPECTED_INCARNATION)),
    }
}
