//! Log lines about requests that crash servers.

use fulmargate_dispatch::CrashProof;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::SuspectChange;
use fulmargate_dispatch::SuspectKind;
use fulmargate_names::EventKind;
use fulmargate_names::HostName;
use tokio::time::Instant;

use crate::state::SharedState;
use crate::telemetry::count_suspect_change;

/// How this host learned of a crash.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SuspectSource<'a> {
    /// Its own check.
    Check,
    /// A message of another host.
    Gossip(&'a HostName),
    /// The store.
    Store,
}

impl SuspectSource<'_> {
    fn label(self) -> &'static str {
        match self {
            SuspectSource::Check => "check",
            SuspectSource::Gossip(_) => "gossip",
            SuspectSource::Store => "store",
        }
    }
}

/// Logs crashes that count against requests and parts.
pub(crate) fn log_suspect_changes(
    state: &SharedState,
    changes: &[SuspectChange],
    source: SuspectSource<'_>,
) {
    for change in changes {
        let kind = match (change.kind, change.is_convicted) {
            (SuspectKind::Request, true) => EventKind::RequestConvicted,
            (SuspectKind::Request, false) => EventKind::RequestSuspected,
            (SuspectKind::Part, true) => EventKind::PartConvicted,
            (SuspectKind::Part, false) => EventKind::PartSuspected,
        };
        count_suspect_change(source.label(), change);
        if !state.log_limiter.allows(kind, Instant::now()) {
            continue;
        }
        let from = match source {
            SuspectSource::Gossip(host) => Some(host.as_str()),
            SuspectSource::Check | SuspectSource::Store => None,
        };
        let hex = format!("{:032x}", change.fingerprint);
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            print = (change.kind == SuspectKind::Request).then(|| hex.clone()),
            part = (change.kind == SuspectKind::Part).then_some(hex),
            server = server_label(state, change.server),
            is_confirmed = change.proof == CrashProof::Confirmed,
            count = change.crashes,
            source = source.label(),
            from,
            age_ms = change.age.as_millis() as u64,
        );
    }
}

/// Names of servers; the key in hexadecimal of one that is no longer listed.
pub(crate) fn server_label(state: &SharedState, server: ServerKey) -> String {
    let servers = state.servers();
    let name = servers.state(server).map(|server| server.entry().name.as_str().to_owned());
    name.unwrap_or_else(|| format!("{:016x}", server.0))
}
