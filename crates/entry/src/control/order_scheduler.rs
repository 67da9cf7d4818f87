//! Orders engines to load the target weights while this router holds the lease.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium::AppendResult;
use fulmargate_consortium::EngineClient;
use fulmargate_consortium::StoreClient;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::LeaseKeeper;
use fulmargate_dispatch::LeaseStep;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogTopic;
use fulmargate_dispatch::RolloutEngine;
use fulmargate_dispatch::RolloutPlan;
use fulmargate_dispatch::RolloutTime;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::EventKind;
use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use indexmap::IndexSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::control::fleet_codec::encode_keyed_record;
use crate::control::fleet_watcher::FleetReader;
use crate::control::fleet_watcher::SharedFleetState;
use crate::control::order_task::OrderTask;
use crate::state::SharedState;
use crate::state::boot_now;

/// Interval at which the scheduler looks for pending rollouts, and upper bound of its other delays.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of scheduling steps while this router holds the lease or is about to take it.
const BUSY_INTERVAL: Duration = Duration::from_millis(25);
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Delay before reading the records of other hosts after a failed append; the pending long poll
/// usually returns them.
const CONFLICT_READ_DELAY: Duration = Duration::from_millis(100);

/// State shared with the order tasks.
pub(crate) struct SchedulerState {
    pub(crate) lease: RefCell<LeaseKeeper>,
    /// Engines with an order in progress.
    pub(crate) in_progress: RefCell<IndexSet<ServerKey>>,
}

/// Schedules the orders of a weights rollout.
pub(crate) struct OrderScheduler {
    state: Arc<SharedState>,
    store: StoreClient,
    engines: EngineClient,
    fleet_state: SharedFleetState,
    reader: FleetReader,
    shared: Rc<SchedulerState>,
    rollout_plan: RolloutPlan,
}

/// A weights target that some engines have not loaded.
struct PendingRollout {
    model: ModelName,
    target: WeightsVersion,
    /// Upper bound of the time since the target was named.
    age: Duration,
    servers: Vec<RolloutEngine>,
}

impl OrderScheduler {
    pub(crate) fn new(
        state: Arc<SharedState>,
        store: StoreClient,
        fleet_state: SharedFleetState,
        reader: FleetReader,
    ) -> OrderScheduler {
        let host = state.settings.host.clone();
        let lease = LeaseKeeper::new(host, state.settings.bounds.lease());
        let shared = SchedulerState { lease: RefCell::new(lease), in_progress: RefCell::default() };
        OrderScheduler {
            state,
            store,
            engines: EngineClient::new(),
            fleet_state,
            reader,
            shared: Rc::new(shared),
            rollout_plan: RolloutPlan::default(),
        }
    }

    /// State shared with other tasks.
    pub(crate) fn shared(&self) -> Rc<SchedulerState> {
        self.shared.clone()
    }

    /// Looks for pending rollouts in a loop.
    pub(crate) async fn run(self) {
        loop {
            let delay = match self.next_rollout() {
                Some(rollout) => self.advance(rollout).await,
                None => POLL_INTERVAL,
            };
            sleep(delay).await;
        }
    }

    fn next_rollout(&self) -> Option<PendingRollout> {
        let weights = self.state.weights.load_full();
        let mut rollouts = weights.targets().map(|(model, target)| {
            let age = weights.target_age(model, boot_now()).unwrap_or(Duration::MAX);
            self.rollout_for(model, target, age)
        });
        rollouts
            .find(|rollout| rollout.servers.iter().any(|server| server.version < rollout.target))
    }

    fn rollout_for(
        &self,
        model: &ModelName,
        target: WeightsVersion,
        age: Duration,
    ) -> PendingRollout {
        let in_progress = self.shared.in_progress.borrow();
        let servers = self.state.servers();
        let now = Instant::now();
        let table = self.state.table.load();
        let has_engines = |service| table.as_ref().is_some_and(|table| table.has_engines(service));
        let servers = servers
            .states()
            .filter(|state| has_engines(&state.entry().service))
            .filter_map(|state| {
                Some(RolloutEngine {
                    key: state.key(),
                    name: state.entry().name.clone(),
                    zone: state.entry().zone.clone(),
                    version: state.confirmed_weights(model)?,
                    load: state.occupancy(now),
                    is_ordered: in_progress.contains(&state.key()),
                    is_reachable: state.is_open(now),
                })
            })
            .collect();
        PendingRollout { model: model.clone(), target, age, servers }
    }

    /// Acquires or renews the lease and starts the next orders. Returns the delay before the next
    /// step.
    async fn advance(&self, rollout: PendingRollout) -> Duration {
        if !self.fleet_state.borrow().is_read() || self.reaches_no_engine() {
            return POLL_INTERVAL;
        }
        let now = boot_now();
        let link_kbps = self.state.settings.link_kbps();
        let link_rank = self.state.servers().link_rank(link_kbps, Instant::now());
        let step = {
            let fleet_state = self.fleet_state.borrow();
            self.shared.lease.borrow().step(&fleet_state, now.before(rollout.age), link_rank, now)
        };
        match step {
            LeaseStep::Act => {
                self.start_orders(&rollout);
                BUSY_INTERVAL
            }
            LeaseStep::Append { at } => {
                self.append_lease(at).await;
                BUSY_INTERVAL
            }
            LeaseStep::Wait(wait) => wait.clamp(BUSY_INTERVAL, POLL_INTERVAL),
        }
    }

    /// Whether other hosts reach engines and this one does not. It then lets the lease lapse, so that one of them takes
    /// it.
    fn reaches_no_engine(&self) -> bool {
        let table = self.state.table.load();
        let Some(table) = table.as_ref() else { return false };
        let servers = self.state.servers();
        let now = Instant::now();
        let mut engine_services =
            table.services().filter(|service| table.has_engines(&service.name)).peekable();
        engine_services.peek().is_some()
            && engine_services.all(|service| servers.is_out_of_reach(&service.name, now))
    }

    /// Appends a lease record. The lease counts from before the append was sent. If the response is
    /// lost, the record is read back and renewed.
    async fn append_lease(&self, at: LogPosition) {
        let record = FleetRecord::Lease {
            host: self.state.settings.host.clone(),
            incarnation: self.state.incarnation,
            epoch: at.epoch,
        };
        let encoded = match encode_keyed_record(&record) {
            Ok(encoded) => encoded,
            Err(err) => {
                tracing::error!("could not encode a lease record: {err}");
                return;
            }
        };
        let sent = boot_now();
        let topic = LogTopic::Fleet;
        match self.store.append(topic, Some(at), &[encoded], APPEND_TIMEOUT).await {
            Ok(AppendResult::Written(position)) => self.record_lease(position, &record, sent),
            Ok(AppendResult::Conflict) => self.catch_up_beyond(at, "topic end has moved").await,
            // The record may have been written.
            Err(err) => self.catch_up_beyond(at, &err.to_string()).await,
        }
    }

    /// Waits until the topic is read beyond the position of a failed append. A retry before that
    /// would fail again.
    async fn catch_up_beyond(&self, at: LogPosition, reason: &str) {
        self.log_lease_lost(reason);
        sleep(CONFLICT_READ_DELAY).await;
        if at < self.fleet_state.borrow().end() {
            return;
        }
        if let Err(err) = self.reader.catch_up().await {
            self.log_lease_lost(&err.to_string());
        }
    }

    fn record_lease(&self, position: LogPosition, record: &FleetRecord, sent: BootTime) {
        let mut fleet_state = self.fleet_state.borrow_mut();
        // If the reader is behind, it applies this record again, which has no effect.
        if fleet_state.end() == position {
            fleet_state.apply(position.offset, record, sent);
        }
        let fence = position.fence();
        self.shared.lease.borrow_mut().record_append(fence, sent);
        let kind = EventKind::LeaseTaken;
        tracing::info!(event = kind.number(), name = kind.name(), %fence);
    }

    fn log_lease_lost(&self, reason: &str) {
        let kind = EventKind::LeaseLost;
        tracing::info!(event = kind.number(), name = kind.name(), reason);
    }

    fn start_orders(&self, rollout: &PendingRollout) {
        let time = RolloutTime { age: rollout.age, bound: self.state.settings.bounds.weights() };
        for key in self.rollout_plan.next(&rollout.servers, rollout.target, time) {
            let entry = self.state.servers().state(key).map(|state| state.entry().clone());
            let Some(entry) = entry else { continue };
            self.shared.in_progress.borrow_mut().insert(key);
            self.state.servers().record_weights_order(key, Instant::now());
            self.state.loading.start(key, &rollout.model, rollout.target);
            let task = OrderTask {
                state: self.state.clone(),
                engines: self.engines.clone(),
                shared: self.shared.clone(),
                entry,
                model: rollout.model.clone(),
            };
            actix_rt::spawn(task.run());
        }
    }
}
