//! Log lines about the rate limits that servers name.

use fulmargate_admission::LearnedLimit;
use fulmargate_admission::LimitChange;
use fulmargate_dispatch::DivisionChange;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::EventKind;
use fulmargate_names::RequestId;
use tokio::time::Instant;

use crate::state::SharedState;

/// Where a limit was learned.
#[derive(Clone, Copy, Debug)]
pub(crate) enum LimitSource {
    Response,
    Gossip,
    Store,
}

impl LimitSource {
    fn label(self) -> &'static str {
        match self {
            LimitSource::Response => "response",
            LimitSource::Gossip => "gossip",
            LimitSource::Store => "store",
        }
    }
}

/// Logs a limit that a response changed.
pub(crate) fn log_named_limit(state: &SharedState, server: &ServerEntry, change: LimitChange) {
    log_change(state, server, change, LimitSource::Response, 0);
}

/// Logs a limit that was learned from another router or from the store.
pub(crate) fn log_learned_limit(state: &SharedState, limit: &LearnedLimit, source: LimitSource) {
    let entry = state.servers().state(ServerKey(limit.server)).map(|server| server.entry().clone());
    let Some(server) = entry else { return };
    log_change(state, &server, limit.change, source, limit.age.as_millis() as u64);
}

/// Logs that a response names a limit that cannot be read.
pub(crate) fn log_unreadable_limit(state: &SharedState, server: &ServerEntry) {
    let kind = EventKind::ServerLimitUnreadable;
    if state.log_limiter.allows(kind, Instant::now()) {
        tracing::warn!(event = kind.number(), name = kind.name(), server = %server.name);
    }
}

/// Logs that the servers of a service became brittle, that their bound changed, or that they no longer are.
pub(crate) fn log_brittle(state: &SharedState, server: &ServerEntry, change: LimitChange) {
    let kind = EventKind::ServiceBrittle;
    if !state.log_limiter.allows(kind, Instant::now()) {
        return;
    }
    tracing::info!(
        event = kind.number(),
        name = kind.name(),
        service = %server.service,
        server = %server.name,
        rejections_per_s = change.current,
        previous = change.previous,
    );
}

/// Logs that a brittle server rejected a request for want of room.
pub(crate) fn log_brittle_rejection(state: &SharedState, id: &RequestId, server: &ServerEntry) {
    let Some(bound) = state.servers().brittle_rate(&server.service) else { return };
    let kind = EventKind::BrittleRejection;
    if !state.log_limiter.allows(kind, Instant::now()) {
        return;
    }
    let open = state.servers().open_at(server.key());
    tracing::info!(
        event = kind.number(),
        name = kind.name(),
        %id,
        server = %server.name,
        rejections_per_s = bound,
        open,
        slots = server.slots,
    );
}

fn log_change(
    state: &SharedState,
    server: &ServerEntry,
    change: LimitChange,
    source: LimitSource,
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
        source = source.label(),
        age_ms,
    );
}

/// Logs that the slots of brittle servers are divided by demand from now on, or equally again.
pub(crate) fn log_division(state: &SharedState, change: &DivisionChange) {
    let kind = EventKind::SlotsDivided;
    if state.log_limiter.allows(kind, Instant::now()) {
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            service = %change.service,
            by_demand = change.is_by_demand,
            largest_share = change.largest_share,
            own_rate = change.own_rate,
            routers = change.routers,
        );
    }
}
