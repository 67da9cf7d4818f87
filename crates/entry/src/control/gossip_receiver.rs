//! Applies the messages of other routers to the shared state.

use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::SuspectReport;
use fulmargate_names::HostName;
use tokio::time::Instant;

use crate::state::SharedState;
use crate::state::boot_now;
use crate::telemetry::LimitSource;
use crate::telemetry::SuspectSource;
use crate::telemetry::log_learned_limit;
use crate::telemetry::log_mixed;
use crate::telemetry::log_suspect_changes;

/// Applies one message.
pub(crate) fn apply_gossip(state: &SharedState, gossip: &GossipMessage) {
    state.servers().apply_gossip(gossip, Instant::now());
    if let (Some(host), Some(report)) = (&gossip.host, &gossip.quotas) {
        state.quotas().receive(host, report, Instant::now());
    }
    if let (Some(host), Some(report)) = (&gossip.host, &gossip.limits) {
        let learned = state.servers().apply_limit_report(host, report, Instant::now());
        if !learned.is_empty() {
            state.fleet_record_change.notify_one();
        }
        learned.iter().for_each(|limit| log_learned_limit(state, limit, LimitSource::Gossip));
    }
    if let Some(host) = &gossip.host {
        apply_suspects(state, host, &gossip.suspects);
    }
    if let Some(host) = &gossip.host {
        apply_mixed_services(state, host, gossip.mixed_services.as_deref().unwrap_or_default());
    }
}

/// Another host has several software versions of these services in its list.
fn apply_mixed_services(state: &SharedState, host: &HostName, services: &[u64]) {
    for service in services {
        if state.versions().record_mixed(*service, boot_now()) {
            log_mixed(state, *service, Some(host));
            state.publish_bindings();
        }
    }
}

fn apply_suspects(state: &SharedState, host: &HostName, report: &SuspectReport) {
    if report.is_empty() {
        return;
    }
    let mut suspects = state.suspects();
    let changes = suspects.merge(host, report, Instant::now());
    let has_wanted_probes = suspects.has_wanted_probes();
    drop(suspects);
    if has_wanted_probes {
        state.suspect_wake.notify_one();
    }
    log_suspect_changes(state, &changes, SuspectSource::Gossip(host));
}
