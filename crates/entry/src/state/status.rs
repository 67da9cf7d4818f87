//! The status report of the daemon.

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::EntryStatus;
use fulmargate_dispatch::HeldLease;
use fulmargate_dispatch::LeaseStatus;
use fulmargate_dispatch::ServerState;
use fulmargate_dispatch::ServerStatus;
use fulmargate_dispatch::WantedWeights;
use tokio::time::Instant;

use crate::state::SharedState;
use crate::state::boot_now;

/// Returns the current status for operators.
///
/// Each lock is taken in a separate statement: a guard created inside the struct literal would live until
/// the end of the literal, and the next lock of the same mutex would deadlock.
pub(crate) fn entry_status(state: &SharedState) -> EntryStatus {
    let now = boot_now();
    let proof_age = state.proof().age(now);
    let admits_keys = state.admits_keys();
    let live_peers = state.servers().live_peers(Instant::now());
    let servers = server_statuses(state);
    let suspects = state.suspects().overview(Instant::now());
    let fleet = state.fleet.load();
    let weights = state.weights.load();
    let targets = weights.targets().map(|(model, version)| WantedWeights {
        model: model.clone(),
        version,
        age_ms: weights.target_age(model, now).map(|age| age.as_millis() as u64),
    });
    let held_lease = fleet.lease.as_ref().filter(|lease| !lease.is_released);
    EntryStatus {
        host: state.settings.host.clone(),
        zone: state.settings.zone.clone(),
        config_version: state.table.load().as_ref().map(|table| table.version()),
        config_proof_ms: proof_age.map(|age| age.as_millis() as u64),
        admits_keys,
        weights: targets.collect(),
        members: fleet.members.clone(),
        heard: live_peers,
        lease: held_lease.map(|lease| lease_status(lease, now)),
        servers,
        suspects,
    }
}

fn lease_status(lease: &HeldLease, now: BootTime) -> LeaseStatus {
    LeaseStatus {
        host: lease.host.clone(),
        fence: lease.fence,
        age_ms: now.since(lease.seen).as_millis() as u64,
    }
}

fn server_statuses(state: &SharedState) -> Vec<ServerStatus> {
    let now = Instant::now();
    let tracked = state.servers();
    let status = |server: &ServerState| {
        let entry = server.entry();
        let models = entry.models.keys();
        ServerStatus {
            server: entry.name.clone(),
            service: entry.service.clone(),
            zone: entry.zone.clone(),
            version: entry.version.clone(),
            is_open: server.is_open(now),
            open: tracked.open_at(entry.key()),
            failure_share: server.failure_share(now),
            weights: models
                .filter_map(|model| Some((model.clone(), server.weights(model)?)))
                .collect(),
        }
    };
    tracked.states().map(status).collect()
}
