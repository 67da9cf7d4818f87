//! Log lines about software versions.

use fulmargate_dispatch::service_key;
use fulmargate_names::EventKind;
use fulmargate_names::HostName;
use tokio::time::Instant;

use crate::state::SharedState;

/// Logs that a service has servers of several software versions, by this host's list or by a message of another host.
pub(crate) fn log_mixed(state: &SharedState, service: u64, from: Option<&HostName>) {
    let kind = EventKind::ServiceMixed;
    if !state.log_limiter.allows(kind, Instant::now()) {
        return;
    }
    let servers = state.servers();
    let mut versions: Vec<String> = Vec::new();
    let mut names: Vec<String> = Vec::new();
    for server in servers.states() {
        let entry = server.entry();
        if service_key(entry.service.as_str()) == service {
            names.push(entry.service.to_string());
            versions.push(entry.version.as_ref().map_or("-".to_owned(), ToString::to_string));
        }
    }
    drop(servers);
    versions.sort_unstable();
    versions.dedup();
    tracing::info!(
        event = kind.number(),
        name = kind.name(),
        service = names.first(),
        versions = versions.join(","),
        from = from.map(HostName::as_str),
        streams = state.bindings().len(),
    );
}
