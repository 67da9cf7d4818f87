//! Records the outcomes of connection attempts, and logs suspected local network faults.

use std::sync::Arc;

use fulmargate_dispatch::ConnectOutcome;
use fulmargate_dispatch::ReachChange;
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
pub(crate) fn record_connect_outcome(
    state: &Arc<SharedState>,
    server: ServerKey,
    outcome: ConnectOutcome,
) {
    count_connect(outcome.name());
    let now = Instant::now();
    let mut servers = state.servers();
    servers.record_connect(server, outcome, now);
    let change = servers.take_suspicion_change(now);
    let reach_changes = servers.take_reach_changes();
    let needs_probes = outcome != ConnectOutcome::Reached && servers.needs_probes(now);
    drop(servers);
    if needs_probes {
        state.prober_wake.notify_one();
    }
    reach_changes.iter().for_each(|change| log_reach_change(state, change));
    if !reach_changes.is_empty() {
        state.reach_changes.send_modify(|changes| *changes += 1);
        state.prompt_queue.wake();
    }
    let Some(change) = change else { return };
    log_suspicion_change(state, change);
    if matches!(change, SuspicionChange::Started(_)) {
        spawn_local(log_suspicion_end(state.clone()));
    }
}

/// Logs the end of a suspected local network fault even if no further connection is attempted.
async fn log_suspicion_end(state: Arc<SharedState>) {
    loop {
        let now = Instant::now();
        let end = state.servers().suspicion_end(now);
        let Some(end) = end else { break };
        sleep_until(end).await;
    }
    let change = state.servers().take_suspicion_change(Instant::now());
    if let Some(change) = change {
        log_suspicion_change(&state, change);
    }
}

fn log_reach_change(state: &SharedState, change: &ReachChange) {
    let now = Instant::now();
    let kind = match change.ended_after {
        None => EventKind::ServiceUnreached,
        Some(_) => EventKind::ServiceReached,
    };
    if !state.log_limiter.allows(kind, now) {
        return;
    }
    let helpers = state.servers().helper_count(&change.service, now);
    let evidence = change.evidence;
    tracing::warn!(
        event = kind.number(),
        name = kind.name(),
        service = %change.service,
        failed = evidence.failed,
        listed = evidence.listed,
        outcome = evidence.outcome.name(),
        evidence_ms = evidence.age.as_millis() as u64,
        helpers,
        for_ms = change.ended_after.map(|time| time.as_millis() as u64),
    );
}

fn log_suspicion_change(state: &SharedState, change: SuspicionChange) {
    let kind = match change {
        SuspicionChange::Started(_) => EventKind::OwnReachDoubted,
        SuspicionChange::Ended(..) => EventKind::OwnReachRestored,
    };
    if kind == EventKind::OwnReachDoubted {
        count_local_network_suspicion();
    }
    if !state.log_limiter.allows(kind, Instant::now()) {
        return;
    }
    match change {
        SuspicionChange::Started(count) => {
            tracing::warn!(
                event = kind.number(),
                name = kind.name(),
                silent = count.unresponsive,
                heard = count.responsive,
            );
        }
        SuspicionChange::Ended(count, duration) => {
            tracing::info!(
                event = kind.number(),
                name = kind.name(),
                silent = count.unresponsive,
                heard = count.responsive,
                for_ms = duration.as_millis() as u64,
            );
        }
    }
}
