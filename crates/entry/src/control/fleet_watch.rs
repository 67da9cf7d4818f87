//! The routers' own topic: who there is, who holds the lease, what crashes servers.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::KeyedRecord;
use fulmargate_consortium::ListedRecord;
use fulmargate_consortium::StoreClient;
use fulmargate_consortium::StoreError;
use fulmargate_consortium::join_keyed;
use fulmargate_consortium::split_keyed;
use fulmargate_dispatch::FleetFold;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogTopic;
use fulmargate_names::ConfigVersion;
use fulmargate_names::EventKind;
use fulmargate_names::LogOffset;
use indexmap::IndexMap;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::epoch_watch::EpochWatch;
use crate::control::fleet_codec::decode_record;
use crate::control::fleet_codec::keyed_record;
use crate::control::log_source::LogSource;
use crate::control::own_records::OwnRecords;
use crate::control::store_contact::StoreContact;
use crate::state::CrashSighting;
use crate::state::FleetView;
use crate::state::SharedState;
use crate::state::boot_now;

/// A read waits this long for a record.
const READ_WAIT: Duration = Duration::from_secs(3);
/// A read that waits is given up after this time more.
const READ_ALLOWANCE: Duration = Duration::from_millis(700);
/// An append takes 4 ms, and 250 ms when the store is slow.
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);
/// Crashes are told together: a server that crashes breaks all its requests at once.
const CRASH_PAUSE: Duration = Duration::from_millis(200);

/// After records were read the next read waits for so long. Hosts are started together, and each record by
/// itself would end the reads of all hosts: the store would be called by the square of their number. What is
/// read later by that is how to reach a new host, and who has crashed what; a lease is taken on condition of
/// the topic's end.
const BATCH_PAUSE: Duration = Duration::from_millis(400);

/// The fold, shared by the tasks of the control thread.
pub(crate) type SharedFold = Rc<RefCell<FleetFold>>;

type SharedRecords = Rc<RefCell<OwnRecords>>;

/// Reads the topic into the fold.
#[derive(Clone)]
pub(crate) struct FleetReader {
    state: Arc<SharedState>,
    source: LogSource,
    fold: SharedFold,
    own: SharedRecords,
    epoch: Rc<RefCell<EpochWatch>>,
    /// The whole topic is to be listed before anything is read on: at the start, and when the store no longer
    /// has what follows.
    is_unlisted: Rc<Cell<bool>>,
}

/// Reads the topic on and on and tells of crashes.
pub(crate) struct FleetWatch {
    reader: FleetReader,
    contact: StoreContact,
}

impl FleetWatch {
    /// Knows nothing yet.
    pub(crate) fn new(reader: FleetReader) -> FleetWatch {
        FleetWatch { reader, contact: StoreContact::new("fleet") }
    }

    /// Says that this router is there, reads on and on and tells of crashes.
    pub(crate) async fn run(mut self, crashes: UnboundedReceiver<CrashSighting>) {
        let store = self.reader.source.store().clone();
        actix_rt::spawn(tell_crashes(store, self.reader.own.clone(), crashes));
        loop {
            let longest = self.reader.source.longest_pause();
            match self.turn().await {
                Ok(()) => self.contact.held(),
                Err(err @ (StoreError::Deleted { .. } | StoreError::Restored { .. })) => {
                    self.reader.is_unlisted.set(true);
                    self.contact.begin_anew(&err, longest).await;
                }
                Err(err) => self.contact.lost(&err, longest).await,
            }
        }
    }

    /// What this host has to say comes before the read, which waits. A store that takes no records is read on
    /// all the same: the lease of another must be seen.
    async fn turn(&mut self) -> Result<(), StoreError> {
        if self.reader.is_unlisted.get() {
            self.reader.list().await?;
        }
        self.join();
        let written = self.write().await;
        if 0 < self.reader.read_on().await? {
            sleep(BATCH_PAUSE).await;
        }
        written
    }

    async fn write(&self) -> Result<(), StoreError> {
        write_missing(self.reader.source.store(), &self.reader.own).await?;
        self.note_restore().await
    }

    /// The others share the budget of repeats with this router.
    fn join(&self) {
        let mut own = self.reader.own.borrow_mut();
        if own.has_joined() {
            return;
        }
        own.put(&FleetRecord::Joined {
            host: self.reader.state.settings.host.clone(),
            incarnation: self.reader.state.incarnation,
            address: self.reader.state.settings.peers,
            zone: self.reader.state.settings.zone.clone(),
            link_kbps: self.reader.state.settings.link_kbps(),
            epoch: self.reader.fold.borrow().end().epoch,
        });
    }

    /// After the store has come back from a copy, hosts that start take what they find for the newest, and
    /// serve keys that were taken away. Those that read the store tell them which configuration was in force,
    /// and later that operators have had time to write again what was lost.
    async fn note_restore(&self) -> Result<(), StoreError> {
        let Some(record) = self.due_note() else { return Ok(()) };
        let record = keyed_record(&record)?;
        let store = self.reader.source.store();
        store.append(LogTopic::Fleet, None, &[record], APPEND_TIMEOUT).await.map(|_| ())
    }

    fn due_note(&self) -> Option<FleetRecord> {
        let fold = self.reader.fold.borrow();
        if !fold.is_restored_lately() || !self.reader.source.is_reader() {
            return None;
        }
        let proof = *self.reader.state.proof();
        let is_settled = !proof.is_doubted(boot_now());
        // A host that has just started knows no more than the store does.
        if !is_settled && !self.reader.epoch.borrow().has_risen() {
            return None;
        }
        let config = proof.in_force();
        let is_said = fold.restore_note().is_some_and(|note| config <= note.config);
        let is_due = config != ConfigVersion(0) && (!is_said || is_settled);
        is_due.then(|| FleetRecord::Restored { epoch: fold.end().epoch, config, is_settled })
    }
}

impl FleetReader {
    /// A reader into this fold.
    pub(crate) fn new(state: Arc<SharedState>, source: LogSource, fold: SharedFold) -> FleetReader {
        let epoch = Rc::new(RefCell::new(EpochWatch::new(state.clone(), "fleet")));
        let (own, is_unlisted) = (SharedRecords::default(), Rc::new(Cell::new(true)));
        FleetReader { state, source, fold, own, epoch, is_unlisted }
    }

    /// Lists the newest record of each key.
    async fn list(&self) -> Result<(), StoreError> {
        let newest = self.source.read_newest(LogTopic::Fleet).await?;
        let end = newest.end;
        self.epoch.borrow_mut().listed(end.epoch)?;
        self.fold.borrow_mut().begin_epoch(end.epoch, boot_now());
        let mut records = newest.records;
        // What was written while pages came is read on from the end of the first.
        records.retain(|listed| listed.offset < end.offset);
        records.sort_by_key(|listed| listed.offset);
        let mut by_key = IndexMap::new();
        for ListedRecord { offset, record } in records {
            self.apply(offset, &record);
            let bytes = join_keyed(&record.key, record.value.as_deref().unwrap_or_default())?;
            by_key.insert(record.key, bytes);
        }
        self.fold.borrow_mut().skip_to(end.offset);
        self.own.borrow_mut().compare(&by_key);
        self.is_unlisted.set(false);
        self.publish();
        Ok(())
    }

    /// Waits for records and takes them in. Returns how many there were.
    async fn read_on(&self) -> Result<usize, StoreError> {
        let from = self.fold.borrow().end();
        let page = self.source.read(LogTopic::Fleet, from, READ_WAIT, READ_ALLOWANCE).await?;
        self.take_in(from, &page.records);
        Ok(page.records.len())
    }

    /// Takes in what the store has now, on a call of its own: one that waits may have fallen silent.
    /// Without it a router that had lost the answer to its own append took seconds to see it, and
    /// tried again and again meanwhile.
    pub(crate) async fn catch_up(&self) -> Result<(), StoreError> {
        let from = self.fold.borrow().end();
        let (topic, allowance) = (LogTopic::Fleet, READ_ALLOWANCE);
        match self.source.read_store(topic, from, Duration::ZERO, allowance).await {
            Ok(page) => self.take_in(from, &page.records),
            Err(StoreError::Deleted { .. } | StoreError::Restored { .. }) => self.list().await?,
            Err(err) => return Err(err),
        }
        Ok(())
    }

    fn take_in(&self, from: LogPosition, records: &[Vec<u8>]) {
        // The topic may have been listed in another epoch meanwhile.
        if from.epoch != self.fold.borrow().end().epoch {
            return;
        }
        for (record, offset) in records.iter().zip(from.offset.0..) {
            let offset = LogOffset(offset);
            match split_keyed(record) {
                Ok(record) => self.apply(offset, &record),
                Err(err) => self.pass_over(offset, &err.to_string()),
            }
        }
        self.publish();
    }

    fn publish(&self) {
        let fold = self.fold.borrow();
        self.state.budget().set_hosts(fold.hosts());
        let hosts = fold.fleet_hosts(boot_now()).map(|(host, _)| (host.host, host.zone));
        self.state.quotas().set_routers(hosts, Instant::now());
        let members = fold.members().map(|(host, _)| host.clone()).collect();
        let view = FleetView { members, lease: fold.lease().cloned() };
        self.state.fleet.store(Arc::new(view));
        let mut proof = self.state.proof();
        if let Some(note) = fold.restore_note() {
            proof.note_known(note.config);
        }
        // Only what this router was told when it started: a rise that it has seen itself is doubted until
        // operators write, or have had time to.
        if !fold.is_restored_lately() && !self.epoch.borrow().has_risen() {
            proof.settle(fold.end().epoch);
        }
    }

    fn apply(&self, offset: LogOffset, keyed: &KeyedRecord) {
        if offset < self.fold.borrow().end().offset {
            return;
        }
        let record = match decode_record(keyed.value.as_deref().unwrap_or_default()) {
            Ok(record) => record,
            Err(err) => {
                self.pass_over(offset, &err.to_string());
                return;
            }
        };
        self.fold.borrow_mut().apply(offset, &record, boot_now());
        if let FleetRecord::Crash { print, server, start } = &record {
            let mut crashes = self.state.crashes();
            crashes.note(*print, *start, Instant::now());
            let (count, is_convicted) = (crashes.count(*print), crashes.is_convicted(*print));
            drop(crashes);
            let kind = match is_convicted {
                true => EventKind::RequestConvicted,
                false => EventKind::RequestSuspected,
            };
            let print = format!("{print:032x}");
            tracing::info!(event = kind.number(), name = kind.name(), print, %server, count);
        }
    }

    /// A record that cannot be read is left out.
    fn pass_over(&self, offset: LogOffset, reason: &str) {
        let unreadable = EventKind::PeerUnreadable;
        tracing::warn!(event = unreadable.number(), name = unreadable.name(), %offset, reason);
        self.fold.borrow_mut().skip_to(LogOffset(offset.0 + 1));
    }
}

async fn tell_crashes(
    client: StoreClient,
    own: SharedRecords,
    mut crashes: UnboundedReceiver<CrashSighting>,
) {
    while let Some(first) = crashes.recv().await {
        sleep(CRASH_PAUSE).await;
        own.borrow_mut().put(&crash_record(first));
        while let Ok(next) = crashes.try_recv() {
            own.borrow_mut().put(&crash_record(next));
        }
        // Written twice is harmless; what could not be written is tried again after the next read.
        if let Err(err) = write_missing(&client, &own).await {
            let kind = EventKind::LogOut;
            tracing::warn!(event = kind.number(), name = kind.name(), topic = "fleet", reason = %err);
        }
    }
}

fn crash_record(sighting: CrashSighting) -> FleetRecord {
    let CrashSighting { print, server } = sighting;
    FleetRecord::Crash { print, server: server.name.clone(), start: server.key() }
}

async fn write_missing(client: &StoreClient, own: &SharedRecords) -> Result<(), StoreError> {
    let missing = own.borrow().missing();
    if missing.is_empty() {
        return Ok(());
    }
    client.append(LogTopic::Fleet, None, &missing, APPEND_TIMEOUT).await?;
    own.borrow_mut().written(&missing);
    Ok(())
}
