//! Announcements of engines that are loading weights.

use std::time::Duration;

use fulmargate_dispatch::LoadingStage;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use tokio::time::advance;

use super::LoadingRegistry;

const ENGINE: ServerKey = ServerKey(7);
const VERSION: WeightsVersion = WeightsVersion(3);

struct AnnounceCase {
    name: &'static str,
    /// Time between two messages.
    interval_ms: u64,
    /// Messages that announce the end of the load.
    announced: usize,
}

const CASES: &[AnnounceCase] = &[
    AnnounceCase { name: "small fleet", interval_ms: 30, announced: 19 },
    AnnounceCase { name: "messages sent early", interval_ms: 120, announced: 4 },
    AnnounceCase { name: "large fleet", interval_ms: 600, announced: 2 },
    AnnounceCase { name: "late messages", interval_ms: 900, announced: 2 },
];

/// Guards against a finished load that no message announces because messages are further apart than
/// the notice's TTL: other routers then keep avoiding the engine.
#[tokio::test(start_paused = true)]
async fn finished_load_is_announced_at_any_message_interval() {
    for case in CASES {
        for end in [LoadingStage::Loaded, LoadingStage::Failed] {
            assert_eq!(
                count_announcements(case, end).await,
                case.announced,
                "{}: {end:?}",
                case.name
            );
        }
    }
}

/// Finishes a load and counts the messages that announce its end.
async fn count_announcements(case: &AnnounceCase, end: LoadingStage) -> usize {
    const MESSAGES: usize = 40;
    let registry = LoadingRegistry::default();
    registry.start(ENGINE, &ModelName::new("model-1"), VERSION);
    match end {
        LoadingStage::Loaded => registry.finish(ENGINE, VERSION),
        _ => registry.abandon(ENGINE),
    }
    let mut announced = 0;
    for _ in 0..MESSAGES {
        advance(Duration::from_millis(case.interval_ms)).await;
        announced += registry.notices().iter().filter(|notice| notice.stage == end).count();
    }
    announced
}
