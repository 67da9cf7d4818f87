//! What the other routers are told of engines that load.

use std::time::Duration;

use fulmargate_dispatch::LoadingStage;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use tokio::time::advance;

use super::LoadingBoard;

const ENGINE: ServerKey = ServerKey(7);
const VERSION: WeightsVersion = WeightsVersion(3);

struct ToldCase {
    name: &'static str,
    /// The pause before each message, in milliseconds.
    pause_ms: u64,
    /// Messages in which the end of the load is named.
    told: usize,
}

const CASES: &[ToldCase] = &[
    ToldCase { name: "messages of a small fleet", pause_ms: 30, told: 19 },
    ToldCase { name: "messages before their turn", pause_ms: 120, told: 4 },
    ToldCase { name: "messages in their turn, in a large fleet", pause_ms: 600, told: 2 },
    ToldCase { name: "a message that is late", pause_ms: 900, told: 2 },
];

/// Requests leave an engine alone whose new weights are in place, for up to 2.5 s.
/// The next message to the other routers went out 600 ms after the load had ended; by then the notice of
/// it was too old to be told, and no message had named it.
/// Each end of a load is named twice at least, and then until it is 600 ms old.
#[tokio::test(start_paused = true)]
async fn the_end_of_a_load_is_told_at_any_pace() {
    for case in CASES {
        for end in [LoadingStage::InPlace, LoadingStage::GivenUp] {
            assert_eq!(messages_with(case, end).await, case.told, "{}: {end:?}", case.name);
        }
    }
}

/// Plays a load to its end and counts the messages after it that name the end.
async fn messages_with(case: &ToldCase, end: LoadingStage) -> usize {
    const MESSAGES: usize = 40;
    let board = LoadingBoard::default();
    board.begin(ENGINE, &ModelName::new("model-1"), VERSION);
    match end {
        LoadingStage::InPlace => board.done(ENGINE, VERSION),
        _ => board.give_up(ENGINE),
    }
    let mut told = 0;
    for _ in 0..MESSAGES {
        advance(Duration::from_millis(case.pause_ms)).await;
        told += board.notices().iter().filter(|notice| notice.stage == end).count();
    }
    told
}
