//! Logs changes of the server list.

use std::time::Duration;

use fulmargate_dispatch::EntryRemoval;
use fulmargate_dispatch::LapseEnd;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerStage;
use fulmargate_dispatch::ServerTable;
use fulmargate_names::EventKind;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_names::SoftwareVersion;
use indexmap::IndexMap;

/// How the router learned that an entry was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RemovalSource {
    /// A record without a value.
    Record,
    /// The entry is missing in a full list.
    List,
}

/// The last logged state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownServer {
    stage: ServerStage,
    incarnation: Option<Incarnation>,
    is_silent: bool,
}

/// The server list as last logged.
#[derive(Debug, Default)]
pub(crate) struct ServerLog {
    known: IndexMap<ServerName, KnownServer>,
    /// Why servers that are still known will be missing in the table.
    causes: IndexMap<ServerName, &'static str>,
}

impl ServerLog {
    /// Logs the end of an outage of the store or of a zone reader.
    pub(crate) fn log_outage_end(&self) {
        let kind = EventKind::ServersLapsed;
        let servers = self.known.len();
        tracing::warn!(event = kind.number(), name = kind.name(), servers);
    }

    /// Records a removed entry, and logs it if the table keeps it.
    pub(crate) fn record_removal(
        &mut self,
        server: &ServerName,
        removal: EntryRemoval,
        source: RemovalSource,
    ) {
        let source = source_label(source);
        match removal {
            EntryRemoval::Unlisted => {}
            EntryRemoval::Dropped => {
                self.causes.insert(server.clone(), source);
            }
            EntryRemoval::Lapsed { grace } => log_lapsed(server, source, grace),
        }
    }

    /// Records why a lapsed entry was dropped.
    pub(crate) fn record_expiry(&mut self, server: ServerName, end: LapseEnd) {
        let cause = match end {
            LapseEnd::LaterHeartbeats => "later_heartbeats",
            LapseEnd::GraceOver => "grace_over",
        };
        self.causes.insert(server, cause);
    }

    /// Logs the differences to the table as it was last logged.
    pub(crate) fn log_changes(&mut self, table: &ServerTable) {
        let mut known = IndexMap::new();
        for entry in table.entries() {
            let is_silent = table.is_silent(&entry.name);
            let (stage, incarnation) = (entry.stage, entry.incarnation);
            known.insert(entry.name.clone(), KnownServer { stage, incarnation, is_silent });
            let previous = self.known.get(&entry.name);
            if let Some(kind) = change_kind(previous, entry) {
                log_entry(kind, entry);
            }
            if is_silent && previous.is_some_and(|previous| !previous.is_silent) {
                log_entry(EventKind::ServerSilent, entry);
            }
        }
        for server in self.known.keys().filter(|name| !known.contains_key(*name)) {
            let kind = EventKind::ServerGone;
            let cause = self.causes.get(server);
            tracing::info!(event = kind.number(), name = kind.name(), %server, cause);
        }
        self.known = known;
        self.causes.clear();
    }
}

fn change_kind(previous: Option<&KnownServer>, entry: &ServerEntry) -> Option<EventKind> {
    match (previous, entry.stage) {
        (None, ServerStage::Ready) => Some(EventKind::ServerListed),
        (Some(previous), _) if previous.incarnation != entry.incarnation => {
            Some(EventKind::ServerRestarted)
        }
        (Some(previous), ServerStage::Draining) if previous.stage == ServerStage::Ready => {
            Some(EventKind::ServerLeaving)
        }
        _ => None,
    }
}

fn log_entry(kind: EventKind, entry: &ServerEntry) {
    tracing::info!(
        event = kind.number(),
        name = kind.name(),
        server = %entry.name,
        service = %entry.service,
        version = entry.version.as_ref().map(SoftwareVersion::as_str),
        zone = %entry.zone,
        address = %entry.address,
        started_ms = entry.incarnation.map(|incarnation| incarnation.0),
    );
}

fn log_lapsed(server: &ServerName, source: &'static str, grace: Duration) {
    let kind = EventKind::ServerLapsed;
    let grace_ms = grace.as_millis() as u64;
    tracing::info!(event = kind.number(), name = kind.name(), %server, source, grace_ms);
}

fn source_label(source: RemovalSource) -> &'static str {
    match source {
        RemovalSource::Record => "record",
        RemovalSource::List => "list",
    }
}
