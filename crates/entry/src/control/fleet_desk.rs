//! The routers' own topic: who there is, who holds the lease, what crashes servers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::StoreClient;
use fulmargate_consortium::StoreError;
use fulmargate_dispatch::FleetFold;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::LogTopic;
use fulmargate_names::EventKind;
use fulmargate_names::LogOffset;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::fleet_codec::decode_record;
use crate::control::fleet_codec::encode_record;
use crate::control::log_source::LogSource;
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

/// The fold, shared by the tasks of the control thread.
pub(crate) type SharedFold = Rc<RefCell<FleetFold>>;

/// Reads the topic into the fold.
#[derive(Clone)]
pub(crate) struct FleetReader {
    state: Arc<SharedState>,
    source: LogSource,
    fold: SharedFold,
}

/// Reads the topic on and on and tells of crashes.
pub(crate) struct FleetDesk {
    reader: FleetReader,
    contact: StoreContact,
}

impl FleetDesk {
    /// Knows nothing yet.
    pub(crate) fn new(reader: FleetReader) -> FleetDesk {
        FleetDesk { reader, contact: StoreContact::new("fleet") }
    }

    /// Says that this router is there, then reads on and tells of crashes.
    pub(crate) async fn run(mut self, crashes: UnboundedReceiver<CrashSighting>) {
        self.join().await;
        actix_rt::spawn(tell_crashes(self.reader.source.store().clone(), crashes));
        loop {
            match self.reader.read_on().await {
                Ok(()) => self.contact.held(),
                Err(StoreError::Deleted { first }) => self.reader.skip_to(first),
                Err(err) => self.contact.lost(&err, self.reader.source.longest_pause()).await,
            }
        }
    }

    /// The others share the budget of repeats with this router. A record that is written twice
    /// counts once.
    async fn join(&mut self) {
        let record = FleetRecord::Joined {
            host: self.reader.state.settings.host.clone(),
            incarnation: self.reader.state.incarnation,
            address: self.reader.state.settings.peers,
        };
        loop {
            match append_records(self.reader.source.store(), std::slice::from_ref(&record)).await {
                Ok(()) => return,
                Err(err) => self.contact.lost(&err, self.reader.source.longest_pause()).await,
            }
        }
    }
}

impl FleetReader {
    /// A reader into this fold.
    pub(crate) fn new(state: Arc<SharedState>, source: LogSource, fold: SharedFold) -> FleetReader {
        FleetReader { state, source, fold }
    }

    /// Waits for records and takes them in.
    async fn read_on(&self) -> Result<(), StoreError> {
        let from = self.fold.borrow().end();
        let page = self.source.read(LogTopic::Fleet, from, READ_WAIT, READ_ALLOWANCE).await?;
        self.take_in(from, &page.records);
        Ok(())
    }

    /// Takes in what the store has now, on a call of its own: one that waits may have fallen silent.
    /// Without it a router that had lost the answer to its own append took seconds to see it, and
    /// tried again 30 times a second.
    pub(crate) async fn catch_up(&self) -> Result<(), StoreError> {
        let from = self.fold.borrow().end();
        let (topic, allowance) = (LogTopic::Fleet, READ_ALLOWANCE);
        let page = self.source.read_store(topic, from, Duration::ZERO, allowance).await?;
        self.take_in(from, &page.records);
        Ok(())
    }

    /// Records before this one are deleted.
    fn skip_to(&self, first: LogOffset) {
        self.fold.borrow_mut().skip_to(first);
    }

    fn take_in(&self, from: LogOffset, records: &[Vec<u8>]) {
        for (record, offset) in records.iter().zip(from.0..) {
            self.apply(LogOffset(offset), record);
        }
        let fold = self.fold.borrow();
        self.state.budget().set_hosts(fold.hosts());
        let members = fold.members().map(|(host, _)| host.clone()).collect();
        let view = FleetView { members, lease: fold.lease().cloned() };
        self.state.fleet.store(Arc::new(view));
    }

    fn apply(&self, offset: LogOffset, bytes: &[u8]) {
        if offset < self.fold.borrow().end() {
            return;
        }
        let record = match decode_record(bytes) {
            Ok(record) => record,
            Err(err) => {
                let unreadable = EventKind::PeerUnreadable;
                tracing::warn!(event = unreadable.number(), name = unreadable.name(), %offset, reason = %err);
                self.fold.borrow_mut().skip_to(LogOffset(offset.0 + 1));
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
}

async fn tell_crashes(client: StoreClient, mut crashes: UnboundedReceiver<CrashSighting>) {
    while let Some(first) = crashes.recv().await {
        sleep(CRASH_PAUSE).await;
        let mut records = vec![crash_record(first)];
        while let Ok(next) = crashes.try_recv() {
            records.push(crash_record(next));
        }
        // Written twice is harmless; not written means that others learn of it by their own loss.
        if let Err(err) = append_records(&client, &records).await {
            let kind = EventKind::LogOut;
            tracing::warn!(event = kind.number(), name = kind.name(), topic = "fleet", reason = %err);
        }
    }
}

fn crash_record(sighting: CrashSighting) -> FleetRecord {
    let CrashSighting { print, server } = sighting;
    FleetRecord::Crash { print, server: server.name.clone(), start: server.key() }
}

async fn append_records(client: &StoreClient, records: &[FleetRecord]) -> Result<(), StoreError> {
    let mut bytes = Vec::new();
    for record in records {
        match encode_record(record) {
            Ok(encoded) => bytes.push(encoded),
            Err(err) => tracing::error!("a record cannot be written: {err}"),
        }
    }
    client.append(LogTopic::Fleet, None, &bytes, APPEND_TIMEOUT).await.map(|_| ())
}
