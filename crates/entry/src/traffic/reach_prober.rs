//! Probes servers of services that this host does not reach.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::ServerEntry;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::state::SharedState;
use crate::traffic::server_connection::ServerConnection;

/// Interval of probes. Also the `Retry-After` of a request that cannot be forwarded.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// After this time probes are rarer, as servers may be down for good.
const LONG_OUTAGE: Duration = Duration::from_secs(20);
const LONG_OUTAGE_INTERVAL: Duration = Duration::from_millis(600);

/// Opens connections to servers while a service is out of reach or partly so, so that no caller's request has to try
/// whether they are back. Never returns.
pub(crate) async fn run_prober(state: Arc<SharedState>) {
    loop {
        state.prober_wake.notified().await;
        let started = Instant::now();
        while state.servers().needs_probes(Instant::now()) {
            probe_servers(&state).await;
            let is_long = LONG_OUTAGE <= started.elapsed();
            sleep(if is_long { LONG_OUTAGE_INTERVAL } else { PROBE_INTERVAL }).await;
        }
    }
}

async fn probe_servers(state: &Arc<SharedState>) {
    let servers = state.servers().next_probes(Instant::now());
    let mut probes = JoinSet::new();
    for server in servers {
        probes.spawn_local(probe_server(state.clone(), server));
    }
    probes.join_all().await;
}

async fn probe_server(state: Arc<SharedState>, server: Arc<ServerEntry>) {
    if ServerConnection::connect_to_server(&state, &server).await.is_ok() {
        state.servers().record_probe_reached(server.key());
        state.prompt_queue.wake();
    }
}
