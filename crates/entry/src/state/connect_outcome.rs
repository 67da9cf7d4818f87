//! Records the outcomes of connection attempts, and logs when this host suspects its own network.

use std::sync::Arc;

use fulmargate_dispatch::ConnectOutcome;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::SuspicionChange;
use fulmargate_names::EventKind;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tokio::time::sleep_until;

use crate::state::SharedState;
use crate::telemetry::count_connect;
use crate::telemetry::count_local_network_suspicion;

/// Records the outcome of a connection attempt to the server. Both threads call this.
pub(crate) fn note_connect(state: &Arc<SharedState>, server: ServerKey, end: ConnectOutcome) {
    count_connect(end.name());
    let now = Instant::now();
    let mut servers = state.book();
    servers.tried(server, end, now);
    let change = servers.reach_news(now);
    drop(servers);
    let Some(change) = change else { return };
    log_reachability(state, change);
    if matches!(change, SuspicionChange::Doubted(_)) {
        spawn_local(wait_for_recovery(state.clone()));
    }
}

/// Logs the end of the suspicion even if no further connection is attempted.
async fn wait_for_recovery(state: Arc<SharedState>) {
    loop {
        let now = Instant::now();
        let end = state.book().doubt_end(now);
        let Some(end) = end else { break };
        sleep_until(end).await;
    }
    let change = state.book().reach_news(Instant::now());
    if let Some(change) = change {
        log_reachability(&state, change);
    }
}

fn log_reachability(state: &SharedState, change: SuspicionChange) {
    let kind = match change {
        SuspicionChange::Doubted(_) => EventKind::OwnReachDoubted,
        SuspicionChange::Restored(..) => EventKind::OwnReachRestored,
    };
    if kind == EventKind::OwnReachDoubted {
        count_local_network_suspicion();
    }
    if !state.lines.allows(kind, Instant::now()) {
        return;
    }
    match change {
        SuspicionChange::Doubted(count) => {
            tracing::warn!(
                event = kind.number(),
                name = kind.name(),
                silent = count.silent,
                heard = count.heard,
            );
        }
        SuspicionChange::Restored(count, duration) => {
            tracing::info!(
                event = kind.number(),
                name = kind.name(),
                silent = count.silent,
                heard = count.heard,
                for_ms = duration.as_millis() as u64,
            );
        }
    }
}
