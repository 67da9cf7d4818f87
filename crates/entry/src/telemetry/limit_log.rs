//! Log lines about the rate limits that servers name.

use fulmargate_admission::LearnedLimit;
use fulmargate_admission::LimitChange;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::EventKind;
use tokio::time::Instant;

use crate::state::SharedState;

/// Logs a limit that a response changed.
pub(crate) fn log_named_limit(state: &SharedState, server: &ServerEntry, change: LimitChange) {
    log_change(state, server, change, "response", 0);
}

/// Logs a limit that was learned from another router.
pub(crate) fn log_learned_limit(state: &SharedState, limit: &LearnedLimit) {
    let entry = state.servers().state(ServerKey(limit.server)).map(|server| server.entry().clone());
    let Some(server) = entry else { return };
    log_change(state, &server, limit.change, "gossip", limit.age.as_millis() as u64);
}

/// Logs that a response names a limit that cannot be read.
pub(crate) fn log_unreadable_limit(state: &SharedState, server: &ServerEntry) {
    let kind = EventKind::ServerLimitUnreadable;
    if state.log_limiter.allows(kind, Instant::now()) {
        tracing::warn!(event = kind.number(), name = kind.name(), server = %server.name);
    }
}

fn log_change(
    state: &SharedState,
    server: &ServerEntry,
    change: LimitChange,
    source: &'static str,
    age_ms: u64,
) {
    let kind = EventKind::ServerLimitChanged;
    if !state.log_limiter.allows(kind, Instant::now()) {
        return;
    }
    tracing::info!(
        event = kind.number(),
        name = kind.name(),
        server = %server.name,
        limit = change.current,
        previous = change.previous,
        source,
        age_ms,
    );
}
