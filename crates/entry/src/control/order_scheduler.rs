//! Brings engines to the weights wanted, while this router holds the lease.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::AppendAnswer;
use fulmargate_consortium::EngineClient;
use fulmargate_consortium::StoreClient;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::LeaseKeeper;
use fulmargate_dispatch::LeaseStep;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::OrderWave;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::WaveServer;
use fulmargate_dispatch::WaveTime;
use fulmargate_dispatch::WeightsTarget;
use fulmargate_names::EventKind;
use fulmargate_names::ModelName;
use indexmap::IndexSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::fleet_codec::encode_keyed_record;
use crate::control::fleet_watcher::FleetReader;
use crate::control::fleet_watcher::SharedFleetState;
use crate::control::order_run::OrderRun;
use crate::state::SharedState;
use crate::state::boot_now;

/// How often the desk looks for work; a version must be in place within seconds.
const IDLE_PACE: Duration = Duration::from_millis(100);
/// How often it looks while engines load; a load takes some 300 ms.
const BUSY_PACE: Duration = Duration::from_millis(25);
/// An append takes 4 ms, and 250 ms when the store is slow.
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Records that others wrote come within this time by the read that waits for them.
const MOVED_PAUSE: Duration = Duration::from_millis(100);

/// What the order runs share with the desk.
pub(crate) struct DeskState {
    pub(crate) lease: RefCell<LeaseKeeper>,
    /// Engines with an order under way.
    pub(crate) under_way: RefCell<IndexSet<ServerKey>>,
}

/// The desk.
pub(crate) struct OrderScheduler {
    state: Arc<SharedState>,
    store: StoreClient,
    engines: EngineClient,
    fleet_state: SharedFleetState,
    reader: FleetReader,
    desk: Rc<DeskState>,
    wave: OrderWave,
}

/// Weights that some engines lack.
struct OpenWork {
    model: ModelName,
    target: WeightsTarget,
    servers: Vec<WaveServer>,
}

impl OrderScheduler {
    /// A desk without the lease.
    pub(crate) fn new(
        state: Arc<SharedState>,
        store: StoreClient,
        fleet_state: SharedFleetState,
        reader: FleetReader,
    ) -> OrderScheduler {
        let host = state.settings.host.clone();
        let lease = LeaseKeeper::new(host, state.settings.bounds.lease());
        let desk = DeskState { lease: RefCell::new(lease), under_way: RefCell::default() };
        OrderScheduler {
            state,
            store,
            engines: EngineClient::new(),
            fleet_state,
            reader,
            desk: Rc::new(desk),
            wave: OrderWave::default(),
        }
    }

    /// Looks for work on and on.
    pub(crate) async fn run(self) {
        loop {
            let pause = match self.next_work() {
                Some(work) => self.work_on(work).await,
                None => IDLE_PACE,
            };
            sleep(pause).await;
        }
    }

    fn next_work(&self) -> Option<OpenWork> {
        let weights = self.state.weights.load_full();
        let mut open = weights.targets().map(|(model, target)| self.work_of(model, target));
        open.find(|work| work.servers.iter().any(|server| server.version < work.target.version))
    }

    fn work_of(&self, model: &ModelName, target: WeightsTarget) -> OpenWork {
        let under_way = self.desk.under_way.borrow();
        let book = self.state.book();
        let now = Instant::now();
        let table = self.state.table.load();
        let has_engines = |service| table.as_ref().is_some_and(|table| table.has_engines(service));
        let servers = book
            .states()
            .filter(|state| has_engines(&state.entry().service))
            .filter_map(|state| {
                Some(WaveServer {
                    key: state.key(),
                    name: state.entry().name.clone(),
                    zone: state.entry().zone.clone(),
                    version: state.confirmed_weights(model)?,
                    load: state.occupancy(now),
                    is_ordered: under_way.contains(&state.key()),
                    is_open: state.is_open(now),
                })
            })
            .collect();
        OpenWork { model: model.clone(), target, servers }
    }

    /// Takes or keeps the lease and gives the next orders. Returns how long to wait.
    async fn work_on(&self, work: OpenWork) -> Duration {
        if !self.fleet_state.borrow().is_read() {
            return IDLE_PACE;
        }
        let now = boot_now();
        let kbps = self.state.settings.link_kbps();
        let rank = self.state.book().link_rank(kbps, Instant::now());
        let step = {
            let fleet_state = self.fleet_state.borrow();
            self.desk.lease.borrow().step(&fleet_state, work.target.learned, rank, now)
        };
        match step {
            LeaseStep::Act => {
                self.give_orders(&work);
                BUSY_PACE
            }
            LeaseStep::Append { at } => {
                self.take_lease(at).await;
                BUSY_PACE
            }
            LeaseStep::Wait(wait) => wait.clamp(BUSY_PACE, IDLE_PACE),
        }
    }

    /// The append counts from before it was sent. If its answer is lost, the record is read back
    /// like another's and renewed with a number that is known.
    async fn take_lease(&self, at: LogPosition) {
        let record = FleetRecord::Lease {
            host: self.state.settings.host.clone(),
            incarnation: self.state.incarnation,
            epoch: at.epoch,
        };
        let bytes = match encode_keyed_record(&record) {
            Ok(bytes) => bytes,
            Err(err) => {
                tracing::error!("a lease record cannot be written: {err}");
                return;
            }
        };
        let sent = boot_now();
        let topic = LogTopic::Fleet;
        match self.store.append(topic, Some(at), &[bytes], APPEND_TIMEOUT).await {
            Ok(AppendAnswer::Written(position)) => self.hold(position, &record, sent),
            Ok(AppendAnswer::Moved) => self.look_again(at, "the topic moved on").await,
            // It may have been written.
            Err(err) => self.look_again(at, &err.to_string()).await,
        }
    }

    /// Waits until the topic is read beyond what the append rested on. Another try before that would
    /// fail like the last one.
    async fn look_again(&self, at: LogPosition, reason: &str) {
        self.tell_lost(reason);
        sleep(MOVED_PAUSE).await;
        if at < self.fleet_state.borrow().end() {
            return;
        }
        if let Err(err) = self.reader.catch_up().await {
            self.tell_lost(&err.to_string());
        }
    }

    fn hold(&self, position: LogPosition, record: &FleetRecord, sent: BootTime) {
        let mut fleet_state = self.fleet_state.borrow_mut();
        // The reader may be behind; it applies this record again, which changes nothing.
        if fleet_state.end() == position {
            fleet_state.apply(position.offset, record, sent);
        }
        let fence = position.fence();
        self.desk.lease.borrow_mut().appended(fence, sent);
        let taken = EventKind::LeaseTaken;
        tracing::info!(event = taken.number(), name = taken.name(), %fence);
    }

    fn tell_lost(&self, reason: &str) {
        let lost = EventKind::LeaseLost;
        tracing::info!(event = lost.number(), name = lost.name(), reason);
    }

    fn give_orders(&self, work: &OpenWork) {
        let wave = WaveTime {
            age: boot_now().since(work.target.learned),
            bound: self.state.settings.bounds.weights(),
        };
        for key in self.wave.next(&work.servers, work.target.version, wave) {
            let entry = self.state.book().state(key).map(|state| state.entry().clone());
            let Some(entry) = entry else { continue };
            self.desk.under_way.borrow_mut().insert(key);
            self.state.book().order_given(key, Instant::now());
            self.state.loading.begin(key, &work.model, work.target.version);
            let run = OrderRun {
                state: self.state.clone(),
                engines: self.engines.clone(),
                desk: self.desk.clone(),
                entry,
                model: work.model.clone(),
            };
            actix_rt::spawn(run.run());
        }
    }
}
