//! Brings the operators' configuration into force.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_config::ConfigFold;
use fulmargate_names::EventKind;
use fulmargate_names::LogOffset;
use fulmargate_platform::LogClient;
use fulmargate_platform::LogTail;
use fulmargate_platform::LogTimeouts;
use fulmargate_platform::TailNews;
use tokio_util::sync::CancellationToken;

use crate::state::RouteTable;
use crate::state::RouterPhase;
use crate::state::RouterState;

const STREAM: &str = "config";
const LONG_POLL: Duration = Duration::from_secs(2);

/// Reads the configuration's stream and publishes each version.
pub(crate) async fn run(state: Arc<RouterState>, token: CancellationToken) {
    let client = LogClient::new(&state.settings.platform.log.to_string(), LogTimeouts::default());
    let mut tail = LogTail::new(client, STREAM, LogOffset(0), LONG_POLL);
    let mut fold = ConfigFold::new();
    loop {
        let news = tokio::select! {
            () = token.cancelled() => return,
            news = tail.next_news() => news,
        };
        match news {
            TailNews::Records(records) => {
                for record in &records {
                    let _gaps_come_as_news = fold.apply(record);
                }
            }
            TailNews::Gap { first, .. } => fold.skip_to(first),
            TailNews::Idle | TailNews::Failed(_) => {}
        }
        publish(&state, &fold);
    }
}

fn publish(state: &RouterState, fold: &ConfigFold) {
    let Some(document) = fold.document() else {
        return;
    };
    let before = state.routes.load_full();
    if before.as_ref().is_some_and(|table| fold.version() <= table.version) {
        return;
    }
    let table = RouteTable::build(fold.version(), Arc::clone(document), before.as_deref());
    state.routes.store(Some(Arc::new(table)));
    state.phase.advance(RouterPhase::Serving);
    let kind = EventKind::ConfigAccepted;
    tracing::info!(event = kind.number(), name = kind.name(), host = %state.host, version = %fold.version());
}
