//! Follows the fleet topic: members, the lease, requests that crash servers, limits that servers name, and ages of
//! weights.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_admission::StoredLimitSlot;
use fulmargate_consortium::KeyedRecord;
use fulmargate_consortium::ListedRecord;
use fulmargate_consortium::StoreClient;
use fulmargate_consortium::StoreError;
use fulmargate_consortium::decode_keyed;
use fulmargate_consortium::encode_keyed;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::FleetState;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::OwnerCandidate;
use fulmargate_dispatch::StoredSuspect;
use fulmargate_names::ConfigVersion;
use fulmargate_names::EventKind;
use fulmargate_names::LogOffset;
use indexmap::IndexMap;
use tokio::time::Instant;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::control::epoch_tracker::EpochTracker;
use crate::control::fleet_codec::decode_record;
use crate::control::fleet_codec::encode_keyed_record;
use crate::control::fleet_writer::unix_now;
use crate::control::log_source::LogSource;
use crate::control::own_records::OwnRecords;
use crate::control::store_retry::StoreRetry;
use crate::control::stored_weights::StoredWeights;
use crate::control::topic_listing::ListingStart;
use crate::control::topic_listing::ListingState;
use crate::control::topic_listing::TopicListing;
use crate::state::FleetView;
use crate::state::SharedState;
use crate::state::boot_now;
use crate::telemetry::LimitSource;
use crate::telemetry::SuspectSource;
use crate::telemetry::log_learned_limit;
use crate::telemetry::log_suspect_changes;

/// Long-poll wait of a read.
const POLL_WAIT: Duration = Duration::from_secs(3);
/// Added to the wait for the response timeout.
const RESPONSE_GRACE: Duration = Duration::from_millis(700);
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay after a read that returned records, so that hosts starting together don't wake every long
/// poll with each of their records.
const READ_BATCH_DELAY: Duration = Duration::from_millis(400);
/// Upper bound of that delay, per host in the fleet, while this host waits for another one's lease. A fixed delay would
/// keep all hosts from reading its release in the same moment.
const MAX_LEASE_READ_DELAY_PER_HOST: Duration = Duration::from_millis(8);
const MAX_LEASE_READ_DELAY: Duration = Duration::from_millis(800);

/// The fleet state, shared by the tasks of the control thread.
pub(crate) type SharedFleetState = Rc<RefCell<FleetState>>;

type SharedOwnRecords = Rc<RefCell<OwnRecords>>;

/// Applies the fleet topic to the fleet state.
#[derive(Clone)]
pub(crate) struct FleetReader {
    state: Arc<SharedState>,
    source: LogSource,
    fleet_state: SharedFleetState,
    own_records: SharedOwnRecords,
    epoch: Rc<RefCell<EpochTracker>>,
    /// The whole topic has to be listed before the next read: at the start, and after the store has
    /// dropped the records that follow.
    needs_listing: Rc<Cell<bool>>,
    /// The listing in progress, if a page of it failed.
    listing: Rc<Cell<Option<FleetListing>>>,
    lease_interest: Rc<Cell<LeaseInterest>>,
    stored_weights: Rc<StoredWeights>,
}

/// A listing of the fleet topic in progress.
struct FleetListing {
    pages: TopicListing,
    records: Vec<ListedFleetRecord>,
}

impl Default for FleetListing {
    fn default() -> FleetListing {
        FleetListing { pages: TopicListing::new(LogTopic::Fleet), records: Vec::new() }
    }
}

/// A record of a router, as listed.
struct ListedFleetRecord {
    offset: LogOffset,
    key: String,
    record: FleetRecord,
    /// Encoded with the key, as stored in the topic.
    bytes: Vec<u8>,
}

/// Whether this host has work for the holder of the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum LeaseInterest {
    /// There is none, or this host has the lease.
    #[default]
    None,
    /// It waits until another host's lease ends.
    Waiting,
}

/// Reads the fleet topic in a loop.
pub(crate) struct FleetWatcher {
    reader: FleetReader,
    retry: StoreRetry,
}

impl FleetWatcher {
    pub(crate) fn new(reader: FleetReader) -> FleetWatcher {
        FleetWatcher { reader, retry: StoreRetry::new("fleet") }
    }

    /// Registers this router, then reads the topic until it is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            let max_delay = self.reader.source.max_retry_delay();
            match self.run_once().await {
                Ok(()) => self.retry.succeeded(),
                Err(err @ (StoreError::Deleted { .. } | StoreError::Restored { .. })) => {
                    self.reader.needs_listing.set(true);
                    self.reader.listing.take();
                    self.retry.back_off_relisting(&err, max_delay).await;
                }
                Err(err) => self.retry.back_off(&err, max_delay).await,
            }
        }
    }

    /// Writes this host's records before the long poll. A failed write doesn't prevent the read:
    /// leases of other hosts must still be seen.
    async fn run_once(&mut self) -> Result<(), StoreError> {
        if self.reader.needs_listing.get() {
            self.reader.relist().await?;
        }
        self.register();
        let write_result = self.publish_records().await;
        if 0 < self.reader.read_next().await? {
            sleep(self.reader.batch_delay()).await;
        }
        write_result
    }

    async fn publish_records(&self) -> Result<(), StoreError> {
        append_missing(self.reader.source.store(), &self.reader.own_records).await?;
        self.publish_restore().await
    }

    /// Adds the membership record of this router, unless it has been added.
    fn register(&self) {
        let mut own_records = self.reader.own_records.borrow_mut();
        if own_records.has_joined() {
            return;
        }
        own_records.put(&FleetRecord::Joined {
            host: self.reader.state.settings.host.clone(),
            incarnation: self.reader.state.incarnation,
            address: self.reader.state.settings.peers,
            zone: self.reader.state.settings.zone.clone(),
            link_kbps: self.reader.state.settings.link_kbps(),
            epoch: self.reader.fleet_state.borrow().end().epoch,
        });
    }

    /// After a restore from a backup, appends a record with the version of the active
    /// configuration, and later one which says that operators have had time to rewrite lost
    /// records. Hosts that start after the restore learn from them whether the restored
    /// configuration is the newest.
    async fn publish_restore(&self) -> Result<(), StoreError> {
        let Some(record) = self.pending_restore_record() else { return Ok(()) };
        let record = encode_keyed_record(&record)?;
        let store = self.reader.source.store();
        store.append(LogTopic::Fleet, None, &[record], APPEND_TIMEOUT).await.map(|_| ())
    }

    fn pending_restore_record(&self) -> Option<FleetRecord> {
        let fleet_state = self.reader.fleet_state.borrow();
        if !fleet_state.is_restore_pending() || !self.reader.source.is_reader() {
            return None;
        }
        let proof = *self.reader.state.proof();
        let is_settled = !proof.is_untrusted(boot_now());
        // A host that started after the restore only knows the restored configuration.
        if !is_settled && !self.reader.epoch.borrow().has_advanced() {
            return None;
        }
        let config = proof.active_version();
        let is_recorded =
            fleet_state.restore_report().is_some_and(|report| config <= report.config);
        let is_due = config != ConfigVersion(0) && (!is_recorded || is_settled);
        is_due.then(|| FleetRecord::Restored { epoch: fleet_state.end().epoch, config, is_settled })
    }
}

impl FleetReader {
    pub(crate) fn new(
        state: Arc<SharedState>,
        source: LogSource,
        fleet_state: SharedFleetState,
        stored_weights: Rc<StoredWeights>,
    ) -> FleetReader {
        let epoch = Rc::new(RefCell::new(EpochTracker::new(state.clone(), "fleet")));
        let (own_records, needs_listing) = (SharedOwnRecords::default(), Rc::new(Cell::new(true)));
        let lease_interest = Rc::default();
        FleetReader {
            state,
            source,
            fleet_state,
            own_records,
            epoch,
            needs_listing,
            listing: Rc::default(),
            stored_weights,
            lease_interest,
        }
    }

    pub(crate) fn set_lease_interest(&self, interest: LeaseInterest) {
        self.lease_interest.set(interest);
    }

    /// Delay after a read that returned records.
    fn batch_delay(&self) -> Duration {
        if self.lease_interest.get() == LeaseInterest::None {
            return READ_BATCH_DELAY;
        }
        let fleet_state = self.fleet_state.borrow();
        let max_delay = MAX_LEASE_READ_DELAY_PER_HOST * fleet_state.host_count() as u32;
        let draw = format!("{}/{}", self.state.settings.host, fleet_state.end().offset);
        let fraction = xxh3_64(draw.as_bytes()) as f64 / u64::MAX as f64;
        max_delay.min(MAX_LEASE_READ_DELAY).mul_f64(fraction)
    }

    /// Reads the newest record of each key. After an error, the next call goes on with the page that failed.
    async fn relist(&self) -> Result<(), StoreError> {
        let mut listing = self.listing.take().unwrap_or_default();
        let result = self.read_listing(&mut listing).await;
        if !matches!(result, Ok(_) | Err(StoreError::Restored { .. })) {
            self.listing.set(Some(listing));
            return result.map(|_| ());
        }
        let end = result?.end;
        self.epoch.borrow_mut().record_listing(end.epoch)?;
        self.fleet_state.borrow_mut().begin_epoch(end.epoch, boot_now());
        let mut records = listing.records;
        // Records written during paging are read next, from the end of the first page.
        records.retain(|record| record.offset < end.offset);
        records.sort_by_key(|record| record.offset);
        let listed_keys: Vec<&str> = records.iter().map(|record| record.key.as_str()).collect();
        self.state.suspects().reconcile_stored(&listed_keys, Instant::now());
        let is_stored = |slot| listed_keys.contains(&limits_key(slot).as_str());
        self.state.servers().retain_stored_limits(is_stored);
        let mut by_key = IndexMap::new();
        for ListedFleetRecord { offset, key, record, bytes } in records {
            self.apply_record(offset, record);
            by_key.insert(key, bytes);
        }
        self.fleet_state.borrow_mut().skip_to(end.offset);
        self.own_records.borrow_mut().reconcile(&by_key);
        self.needs_listing.set(false);
        self.publish();
        Ok(())
    }

    /// Reads all pages that are left. What is no record of a router is dropped at once.
    async fn read_listing(&self, listing: &mut FleetListing) -> Result<ListingStart, StoreError> {
        loop {
            let page = self.source.next_page(&mut listing.pages).await?;
            for ListedRecord { offset, record: KeyedRecord { key, value } } in page.records {
                let value = value.unwrap_or_default();
                match decode_record(&value) {
                    Ok(record) => {
                        let bytes = encode_keyed(&key, &value)?;
                        listing.records.push(ListedFleetRecord { offset, key, record, bytes });
                    }
                    Err(err) => self.log_unreadable(offset, &err.to_string()),
                }
            }
            if page.state != ListingState::Continues {
                return Ok(page.start);
            }
        }
    }

    /// Waits for records and applies them. Returns their number.
    async fn read_next(&self) -> Result<usize, StoreError> {
        let from = self.fleet_state.borrow().end();
        let page = self.source.read(LogTopic::Fleet, from, POLL_WAIT, RESPONSE_GRACE).await?;
        self.apply_records(from, &page.records);
        Ok(page.records.len())
    }

    /// Reads and applies the records that the store has now, without waiting for the pending long
    /// poll, whose connection may be dead.
    pub(crate) async fn catch_up(&self) -> Result<(), StoreError> {
        let from = self.fleet_state.borrow().end();
        let (topic, grace) = (LogTopic::Fleet, RESPONSE_GRACE);
        match self.source.read_store(topic, from, Duration::ZERO, grace).await {
            Ok(page) => self.apply_records(from, &page.records),
            Err(StoreError::Deleted { .. } | StoreError::Restored { .. }) => self.relist().await?,
            Err(err) => return Err(err),
        }
        Ok(())
    }

    fn apply_records(&self, from: LogPosition, records: &[Vec<u8>]) {
        // The topic may have been listed in another epoch meanwhile.
        if from.epoch != self.fleet_state.borrow().end().epoch {
            return;
        }
        for (record, offset) in records.iter().zip(from.offset.0..) {
            let offset = LogOffset(offset);
            match decode_keyed(record) {
                Ok(record) => self.apply(offset, &record),
                Err(err) => self.skip_unreadable(offset, &err.to_string()),
            }
        }
        self.publish();
    }

    fn publish(&self) {
        let fleet_state = self.fleet_state.borrow();
        self.state.retry_budget().set_hosts(fleet_state.host_count());
        let hosts = || fleet_state.fleet_hosts(boot_now()).map(|(host, _)| (host.host, host.zone));
        self.state.quotas().set_routers(hosts(), Instant::now());
        self.state.servers().set_limit_routers(hosts(), Instant::now());
        let members = fleet_state.members().map(|(host, _)| host.clone()).collect();
        let addresses = fleet_state.members().map(|(host, address)| (host.clone(), *address));
        let addresses = addresses.collect();
        let new_hosts = fleet_state.fleet_hosts(boot_now()).filter(|(_, is_new)| *is_new);
        let new_hosts = new_hosts
            .map(|(host, _)| OwnerCandidate { host: host.host, zone: host.zone })
            .collect();
        let lease = fleet_state.lease().cloned();
        let view = FleetView { members, addresses, new_hosts, lease };
        self.state.fleet.store(Arc::new(view));
        let mut proof = self.state.proof();
        if let Some(report) = fleet_state.restore_report() {
            proof.observe_version(report.config);
        }
        // Not after a restore seen by this process: reads stay untrusted until operators have
        // written a configuration or the grace period is over.
        if !fleet_state.is_restore_pending() && !self.epoch.borrow().has_advanced() {
            proof.mark_trusted(fleet_state.end().epoch);
        }
    }

    fn apply(&self, offset: LogOffset, keyed: &KeyedRecord) {
        if offset < self.fleet_state.borrow().end().offset {
            return;
        }
        match decode_record(keyed.value.as_deref().unwrap_or_default()) {
            Ok(record) => self.apply_record(offset, record),
            Err(err) => self.skip_unreadable(offset, &err.to_string()),
        }
    }

    fn apply_record(&self, offset: LogOffset, record: FleetRecord) {
        if offset < self.fleet_state.borrow().end().offset {
            return;
        }
        self.fleet_state.borrow_mut().apply(offset, &record, boot_now());
        self.apply_suspects(&record);
        match record {
            FleetRecord::Limits { slot, entries } => {
                self.apply_limits(&StoredLimitSlot { slot, entries });
            }
            FleetRecord::Weights(record) => self.stored_weights.record_read(record),
            _ => {}
        }
    }

    fn apply_limits(&self, slot: &StoredLimitSlot) {
        let now = Instant::now();
        let mut servers = self.state.servers();
        servers.read_stored_limits(slot, now);
        let limits = servers.apply_stored_limits(now);
        drop(servers);
        limits.iter().for_each(|limit| log_learned_limit(&self.state, limit, LimitSource::Store));
    }

    /// Applies evidence on requests and parts that crash servers.
    fn apply_suspects(&self, record: &FleetRecord) {
        let (now, unix_now) = (Instant::now(), unix_now());
        let changes = match record {
            FleetRecord::Suspects { slot, entries } => {
                self.state.suspects().apply_stored(*slot, entries, unix_now, now)
            }
            FleetRecord::SuspectParts { slot, entries } => {
                self.state.suspects().apply_stored_parts(*slot, entries, unix_now, now)
            }
            FleetRecord::Crash { print, start, .. } => {
                let entry = StoredSuspect {
                    fingerprint: *print,
                    crashes: vec![*start],
                    cleared: Vec::new(),
                    last_crash_s: unix_now.as_secs(),
                };
                self.state.suspects().merge_stored(&entry, unix_now, now)
            }
            _ => return,
        };
        log_suspect_changes(&self.state, &changes, SuspectSource::Store);
    }

    /// Skips a record that can't be decoded.
    fn skip_unreadable(&self, offset: LogOffset, reason: &str) {
        self.log_unreadable(offset, reason);
        self.fleet_state.borrow_mut().skip_to(LogOffset(offset.0 + 1));
    }

    /// Rate-limited, since anybody may append any number of records.
    fn log_unreadable(&self, offset: LogOffset, reason: &str) {
        let kind = EventKind::PeerUnreadable;
        if self.state.log_limiter.allows(kind, Instant::now()) {
            tracing::warn!(event = kind.number(), name = kind.name(), %offset, reason);
        }
    }
}

fn limits_key(slot: u8) -> String {
    FleetRecord::Limits { slot, entries: Vec::new() }.key()
}

async fn append_missing(
    client: &StoreClient,
    own_records: &SharedOwnRecords,
) -> Result<(), StoreError> {
    let missing = own_records.borrow().missing();
    if missing.is_empty() {
        return Ok(());
    }
    client.append(LogTopic::Fleet, None, &missing, APPEND_TIMEOUT).await?;
    own_records.borrow_mut().mark_written(&missing);
    Ok(())
}
