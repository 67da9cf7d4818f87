//! Follows the list of backend servers.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::KeyedRecord;
use fulmargate_consortium::StoreError;
use fulmargate_consortium::decode_server;
use fulmargate_consortium::split_keyed;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::ServerStage;
use fulmargate_dispatch::ServerTable;
use fulmargate_names::EventKind;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::epoch_watch::EpochWatch;
use crate::control::log_source::LogSource;
use crate::control::store_contact::StoreContact;
use crate::state::SharedState;
use crate::state::boot_now;

/// Pause between reads. All servers write about once a second, so a read that waited for a record
/// would return some 20 times a second on each host. A server that drains must get nothing new
/// within 2 s: pause, timeout and repeat stay below that.
const READ_PACE: Duration = Duration::from_millis(700);
/// The store's answers take 4 ms, and 250 ms when it is slow.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// What was last told of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KnownServer {
    stage: ServerStage,
    incarnation: Option<Incarnation>,
}

/// Keeps the table of servers and hands it to the book.
pub(crate) struct ServerWatch {
    state: Arc<SharedState>,
    source: LogSource,
    contact: StoreContact,
    table: ServerTable,
    known: IndexMap<ServerName, KnownServer>,
    next: Option<LogPosition>,
    epoch: EpochWatch,
}

impl ServerWatch {
    /// Knows nothing yet.
    pub(crate) fn new(state: Arc<SharedState>, source: LogSource) -> ServerWatch {
        let epoch = EpochWatch::new(state.clone(), "servers");
        ServerWatch {
            state,
            source,
            contact: StoreContact::new("servers"),
            table: ServerTable::default(),
            known: IndexMap::new(),
            next: None,
            epoch,
        }
    }

    /// Reads on and on.
    pub(crate) async fn run(mut self) {
        loop {
            let result = match self.next {
                Some(from) => self.read_on(from).await,
                None => self.read_all().await,
            };
            match result {
                Ok(is_all) => {
                    self.contact.held();
                    self.publish();
                    if is_all {
                        sleep(READ_PACE).await;
                    }
                }
                Err(err @ (StoreError::Deleted { .. } | StoreError::Restored { .. })) => {
                    self.next = None;
                    self.contact.begin_anew(&err, self.source.longest_pause()).await;
                }
                Err(err) => self.contact.lost(&err, self.source.longest_pause()).await,
            }
        }
    }

    /// Returns whether all records were read.
    async fn read_on(&mut self, from: LogPosition) -> Result<bool, StoreError> {
        let topic = LogTopic::Servers;
        let page = self.source.read(topic, from, Duration::ZERO, READ_TIMEOUT).await?;
        self.note_contact(page.proven.unwrap_or_else(boot_now));
        for record in &page.records {
            match split_keyed(record) {
                Ok(record) => self.apply(&record),
                Err(err) => self.tell_unusable(&err.to_string()),
            }
        }
        self.next = Some(from.after(page.records.len()));
        Ok(page.proven.is_some())
    }

    async fn read_all(&mut self) -> Result<bool, StoreError> {
        let newest = self.source.read_newest(LogTopic::Servers).await?;
        self.note_contact(newest.sent);
        if self.epoch.listed(newest.end.epoch)? {
            self.table.restored(boot_now());
        }
        let names = newest.records.iter().map(|listed| ServerName::new(&listed.record.key));
        let listed: IndexSet<ServerName> = names.collect();
        for listed in &newest.records {
            self.apply_listed(&listed.record);
        }
        self.table.retain_listed(&listed, boot_now());
        self.next = Some(newest.end);
        Ok(true)
    }

    fn note_contact(&mut self, sent: BootTime) {
        if self.table.contact(sent, boot_now()) {
            let kind = EventKind::ServersLapsed;
            let servers = self.known.len();
            tracing::warn!(event = kind.number(), name = kind.name(), servers);
        }
    }

    fn apply(&mut self, record: &KeyedRecord) {
        let name = ServerName::new(&record.key);
        let Some(value) = &record.value else {
            self.table.remove(&name, boot_now());
            return;
        };
        match decode_server(&record.key, value) {
            Ok(entry) => {
                if !self.table.put(entry) {
                    self.tell_unusable(&format!("an earlier start of {name} speaks"));
                }
            }
            Err(err) => self.tell_unusable(&err.to_string()),
        }
    }

    fn apply_listed(&mut self, record: &KeyedRecord) {
        let Some(value) = &record.value else { return };
        match decode_server(&record.key, value) {
            Ok(entry) => {
                let name = entry.name.clone();
                if !self.table.put_listed(entry, boot_now()) {
                    self.tell_unusable(&format!(
                        "{name} has left, or an earlier start of it speaks"
                    ));
                }
            }
            Err(err) => self.tell_unusable(&err.to_string()),
        }
    }

    /// Others may write to the list as often as they like, so that these lines are bounded.
    fn tell_unusable(&self, reason: &str) {
        let kind = EventKind::ServerEntryUnusable;
        if self.state.lines.allows(kind, Instant::now()) {
            tracing::warn!(event = kind.number(), name = kind.name(), reason);
        }
    }

    fn publish(&mut self) {
        self.table.expire(boot_now());
        self.state.book().sync(&self.table.usable(), Instant::now());
        self.tell_changes();
    }

    fn tell_changes(&mut self) {
        let mut known = IndexMap::new();
        for entry in self.table.entries() {
            let server = KnownServer { stage: entry.stage, incarnation: entry.incarnation };
            known.insert(entry.name.clone(), server);
            let kind = match (self.known.get(&entry.name), entry.stage) {
                (None, ServerStage::Ready) => EventKind::ServerListed,
                (Some(before), _) if before.incarnation != entry.incarnation => {
                    EventKind::ServerRestarted
                }
                (Some(before), ServerStage::Draining) if before.stage == ServerStage::Ready => {
                    EventKind::ServerLeaving
                }
                _ => continue,
            };
            tracing::info!(
                event = kind.number(),
                name = kind.name(),
                server = %entry.name,
                service = %entry.service,
                zone = %entry.zone,
                address = %entry.address,
                started_ms = entry.incarnation.map(|incarnation| incarnation.0),
            );
        }
        for name in self.known.keys().filter(|name| !known.contains_key(*name)) {
            let kind = EventKind::ServerGone;
            tracing::info!(event = kind.number(), name = kind.name(), server = %name);
        }
        self.known = known;
    }
}
