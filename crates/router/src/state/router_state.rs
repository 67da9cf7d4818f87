//! What traffic threads share with the control thread.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use arc_swap::ArcSwapOption;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::RequestId;
use fulmargate_names::ZoneName;
use fulmargate_relay::TokenSecrets;
use fulmargate_settings::RouterSettings;

use crate::state::OpenCount;
use crate::state::PhaseCell;
use crate::state::RouteTable;

/// What traffic threads share with the control thread. Nothing here is locked across a request.
pub(crate) struct RouterState {
    pub(crate) host: HostName,
    pub(crate) zone: ZoneName,
    pub(crate) incarnation: Incarnation,
    pub(crate) settings: RouterSettings,
    pub(crate) secrets: TokenSecrets,
    pub(crate) routes: ArcSwapOption<RouteTable>,
    pub(crate) phase: PhaseCell,
    pub(crate) open: OpenCount,
    attempts: AtomicU64,
    started: Instant,
}

impl RouterState {
    pub(crate) fn new(
        settings: RouterSettings,
        incarnation: Incarnation,
        secrets: TokenSecrets,
    ) -> Arc<RouterState> {
        Arc::new(RouterState {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            incarnation,
            secrets,
            routes: ArcSwapOption::empty(),
            phase: PhaseCell::default(),
            open: OpenCount::default(),
            attempts: AtomicU64::new(0),
            started: Instant::now(),
            settings,
        })
    }

    /// A new attempt's id. Callers may send one request id twice, also to two routers; the
    /// incarnation and a count make each attempt's id its own, so that a crossed answer shows.
    pub(crate) fn attempt_id(&self, request_id: &RequestId) -> String {
        let count = self.attempts.fetch_add(1, Ordering::Relaxed);
        format!("{request_id}.{:x}-{count:x}", self.incarnation.0)
    }

    /// Milliseconds since the router's start.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}
