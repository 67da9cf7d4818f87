//! A planned stop.

use std::time::Duration;

use actix_web::dev::ServerHandle;
use fulmargate_names::EventKind;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::state::RouterPhase;
use crate::state::RouterState;

/// Readiness goes first, then what is open finishes, then the listeners close.
///
/// The balancer learns of it late and sends on for a while: a listener closed at once would refuse
/// those requests. So what comes in the lead time is still served.
pub(crate) async fn run(state: &RouterState, handles: &[ServerHandle]) {
    let kind = EventKind::StopBegun;
    tracing::info!(event = kind.number(), name = kind.name(), host = %state.host, open = state.open.open());
    state.phase.advance(RouterPhase::Leaving);
    sleep(Duration::from_millis(state.settings.stop_lead_ms)).await;
    state.phase.advance(RouterPhase::Closing);
    let grace = Duration::from_millis(state.settings.stop_grace_ms);
    let all_ended = timeout(grace, state.open.emptied()).await.is_ok();
    for handle in handles {
        handle.stop(true).await;
    }
    let kind = EventKind::StopEnded;
    tracing::info!(event = kind.number(), name = kind.name(), host = %state.host, all_ended);
}
