//! Follows the list of backend servers.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_admission::LearnedLimit;
use fulmargate_consortium::KeyedRecord;
use fulmargate_consortium::StoreError;
use fulmargate_consortium::decode_keyed;
use fulmargate_consortium::decode_server;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::HeartbeatMark;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::ServerTable;
use fulmargate_names::EventKind;
use fulmargate_names::ServerName;
use indexmap::IndexSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::epoch_tracker::EpochTracker;
use crate::control::log_source::LogSource;
use crate::control::log_source::SourcePage;
use crate::control::server_log::RemovalSource;
use crate::control::server_log::ServerLog;
use crate::control::store_retry::StoreRetry;
use crate::control::stored_weights::StoredWeights;
use crate::control::topic_listing::ListedPage;
use crate::control::topic_listing::ListingState;
use crate::control::topic_listing::TopicListing;
use crate::state::ServerListEnd;
use crate::state::SharedState;
use crate::state::boot_now;
use crate::telemetry::LimitSource;
use crate::telemetry::log_learned_limit;
use crate::telemetry::log_mixed;

/// Delay between reads. Servers write often, so that a long poll would return almost at once.
/// Delay, timeout and retry together must stay below 2 s, within which a draining server must stop
/// receiving requests.
const READ_INTERVAL: Duration = Duration::from_millis(700);
const READ_TIMEOUT: Duration = Duration::from_millis(600);
/// Servers write their entries again within so many heartbeats, if they are alive.
const FOUND_WITHIN_HEARTBEATS: u32 = 3;

/// A listing in progress. What is written meanwhile is read as well, so that a long listing, or one that cannot be
/// completed, delays the use of no server by more than its next heartbeat.
struct ServerListing {
    pages: TopicListing,
    /// Servers of the table that were listed, or have been written since the listing began.
    found: IndexSet<ServerName>,
    /// When a listing that stalled ends: all live servers have been written again by then.
    ends_at: Option<BootTime>,
}

impl ServerListing {
    fn new() -> ServerListing {
        let pages = TopicListing::new(LogTopic::Servers);
        ServerListing { pages, found: IndexSet::new(), ends_at: None }
    }
}

/// Maintains the server table and publishes it to the shared state.
pub(crate) struct ServerWatcher {
    state: Arc<SharedState>,
    source: LogSource,
    table: ServerTable,
    log: ServerLog,
    /// Position of the next read; `None` until the first page of a listing has told the end of the topic.
    next: Option<LogPosition>,
    listing: Option<ServerListing>,
    /// Send time of the newest read that reached the end of the topic.
    complete_as_of: Option<BootTime>,
    epoch: EpochTracker,
    stored_weights: Rc<StoredWeights>,
}

impl ServerWatcher {
    pub(crate) fn new(
        state: Arc<SharedState>,
        source: LogSource,
        stored_weights: Rc<StoredWeights>,
    ) -> ServerWatcher {
        let epoch = EpochTracker::new(state.clone(), "servers");
        ServerWatcher {
            state,
            source,
            table: ServerTable::default(),
            log: ServerLog::default(),
            next: None,
            listing: Some(ServerListing::new()),
            complete_as_of: None,
            epoch,
            stored_weights,
        }
    }

    /// Reads the topic in a loop.
    pub(crate) async fn run(mut self) {
        let mut retry = StoreRetry::new("servers");
        let source = self.source.clone();
        loop {
            let sent = boot_now();
            match self.read_once().await {
                Ok(is_complete) => {
                    retry.succeeded();
                    if is_complete {
                        self.expire_during(sleep(READ_INTERVAL)).await;
                    }
                }
                Err(err @ (StoreError::Deleted { .. } | StoreError::Restored { .. })) => {
                    self.next = None;
                    self.listing = Some(ServerListing::new());
                    let back_off = retry.back_off_relisting(&err, source.max_retry_delay());
                    self.expire_during(back_off).await;
                }
                Err(err) => {
                    self.table.record_failure(sent);
                    self.expire_during(retry.back_off(&err, source.max_retry_delay())).await;
                }
            }
        }
    }

    /// Reads a page of the listing in progress, if any, and what was written since it began. Returns whether all was
    /// read.
    async fn read_once(&mut self) -> Result<bool, StoreError> {
        let listed = self.read_listing_page().await;
        self.publish();
        let Some(from) = self.next else { return listed.map(|()| false) };
        let source = self.source.clone();
        let read = source.read(LogTopic::Servers, from, Duration::ZERO, READ_TIMEOUT);
        let page = self.expire_during(read).await?;
        let is_complete = self.apply_next(from, &page);
        self.publish();
        self.publish_end();
        listed?;
        let is_listing = self.listing.as_ref().is_some_and(|listing| listing.ends_at.is_none());
        Ok(is_complete && !is_listing)
    }

    async fn read_listing_page(&mut self) -> Result<(), StoreError> {
        let Some(mut listing) = self.listing.take() else { return Ok(()) };
        if let Some(ends_at) = listing.ends_at {
            self.listing = Some(listing);
            if ends_at <= boot_now() {
                self.end_listing();
            }
            return Ok(());
        }
        let source = self.source.clone();
        let result = self.expire_during(source.next_page(&mut listing.pages)).await;
        self.listing = Some(listing);
        self.apply_listed_page(&result?)
    }

    /// Runs `work` and drops lapsed entries meanwhile: a slow read must not prolong their use.
    async fn expire_during<T>(&mut self, work: impl Future<Output = T>) -> T {
        let mut work = std::pin::pin!(work);
        loop {
            let Some(expires_at) = self.table.next_expiry() else { return work.await };
            let remaining = expires_at.since(boot_now());
            tokio::select! {
                biased;
                result = &mut work => return result,
                () = sleep(remaining) => self.publish(),
            }
        }
    }

    /// Returns whether all records were read.
    fn apply_next(&mut self, from: LogPosition, page: &SourcePage) -> bool {
        self.record_response(page.complete_as_of.unwrap_or_else(boot_now));
        for record in &page.records {
            match decode_keyed(record) {
                Ok(record) => self.apply(&record),
                Err(err) => self.log_unusable_entry(&err.to_string()),
            }
        }
        self.next = Some(from.after(page.records.len()));
        if self.listing.is_none() {
            self.complete_as_of = page.complete_as_of.or(self.complete_as_of);
        }
        page.complete_as_of.is_some()
    }

    fn apply_listed_page(&mut self, page: &ListedPage) -> Result<(), StoreError> {
        self.record_response(page.sent);
        if self.next.is_none() {
            if self.epoch.record_listing(page.start.end.epoch)? {
                self.table.restored(boot_now());
            }
            self.next = Some(page.start.end);
        }
        for listed in &page.records {
            self.apply_listed(&listed.record);
        }
        match page.state {
            ListingState::Continues => {}
            ListingState::Complete => {
                self.end_listing();
                self.complete_as_of = Some(page.start.sent);
            }
            ListingState::Stalled => {
                let heartbeats = self.state.settings.bounds.heartbeat() * FOUND_WITHIN_HEARTBEATS;
                if let Some(listing) = &mut self.listing {
                    listing.ends_at = Some(boot_now().after(heartbeats));
                }
            }
        }
        Ok(())
    }

    /// Removes the servers that were neither listed nor written since the listing began.
    fn end_listing(&mut self) {
        let Some(listing) = self.listing.take() else { return };
        for (name, removal) in self.table.retain_listed(&listing.found, boot_now()) {
            self.log.record_removal(&name, removal, RemovalSource::List);
        }
    }

    fn record_found(&mut self, name: &ServerName) {
        if let Some(listing) = &mut self.listing {
            listing.found.insert(name.clone());
        }
    }

    /// Records a response of the store or a zone reader, and logs the end of an outage.
    fn record_response(&mut self, sent: BootTime) {
        if self.table.record_response(sent, boot_now()) {
            self.log.log_outage_end();
        }
    }

    fn apply(&mut self, record: &KeyedRecord) {
        let name = ServerName::new(&record.key);
        let Some(value) = &record.value else {
            let removal = self.table.remove(&name, boot_now());
            self.log.record_removal(&name, removal, RemovalSource::Record);
            return;
        };
        match decode_server(&record.key, value) {
            Ok(entry) => {
                if self.table.put(entry) {
                    self.record_found(&name);
                } else {
                    self.log_unusable_entry(&format!(
                        "entry from an earlier incarnation of {name}"
                    ));
                }
            }
            Err(err) => self.log_unusable_entry(&err.to_string()),
        }
    }

    fn apply_listed(&mut self, record: &KeyedRecord) {
        let Some(value) = &record.value else { return };
        let name = ServerName::new(&record.key);
        match decode_server(&record.key, value) {
            Ok(entry) => {
                if !self.table.put_listed(entry, boot_now()) {
                    self.log_unusable_entry(&format!(
                        "{name} was removed, or the entry is from an earlier incarnation"
                    ));
                }
            }
            Err(err) => self.log_unusable_entry(&err.to_string()),
        }
        // An entry that cannot be read leaves the one before in force.
        if self.table.contains(&name) {
            self.record_found(&name);
        }
    }

    /// Rate-limited, since any number of invalid entries may be appended.
    fn log_unusable_entry(&self, reason: &str) {
        let kind = EventKind::ServerEntryUnusable;
        if self.state.log_limiter.allows(kind, Instant::now()) {
            tracing::warn!(event = kind.number(), name = kind.name(), reason);
        }
    }

    fn publish(&mut self) {
        for (name, end) in self.table.expire(boot_now()) {
            self.log.record_expiry(name, end);
        }
        let limits = self.apply_list();
        limits.iter().for_each(|limit| log_learned_limit(&self.state, limit, LimitSource::Store));
        self.log.log_changes(&self.table);
    }

    /// Publishes up to where the topic is read, and how many servers it lists there.
    fn publish_end(&self) {
        let (Some(next), Some(as_of)) = (self.next, self.complete_as_of) else { return };
        let is_live = |name| !self.table.is_lapsed(name) && !self.table.is_silent(name);
        let listed = self.table.entries().filter(|entry| is_live(&entry.name));
        let (epoch, offset, servers) = (next.epoch, next.offset, listed.count() as u64);
        let end = HeartbeatMark { epoch, offset, servers };
        self.state.server_list.store(Some(Arc::new(ServerListEnd { end, as_of })));
        self.stored_weights.apply_pending();
    }

    /// Applies list, versions and stored limits at once, before another thread sends a request to a new server.
    fn apply_list(&mut self) -> Vec<LearnedLimit> {
        let (now, boot_now) = (Instant::now(), boot_now());
        let mut versions = self.state.versions();
        let before = versions.mixed_services();
        let entries = self.table.entries().map(Arc::as_ref);
        versions.sync(entries, self.complete_as_of, boot_now);
        let mixed = versions.mixed_services();
        let mut servers = self.state.servers();
        servers.sync(&self.table.usable(), now);
        servers.set_draining(self.table.draining());
        servers.apply_versions(&versions, boot_now);
        let limits = servers.apply_stored_limits(now);
        drop(servers);
        drop(versions);
        for service in mixed.iter().filter(|service| !before.contains(service)) {
            log_mixed(&self.state, *service, None);
            self.state.publish_bindings();
        }
        limits
    }
}
