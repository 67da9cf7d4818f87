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
use fulmargate_dispatch::ServerKey;
use fulmargate_names::EventKind;
use fulmargate_names::FencingNumber;
use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::control::fleet_codec::encode_keyed_record;
use crate::control::fleet_watcher::FleetReader;
use crate::control::fleet_watcher::LeaseInterest;
use crate::control::fleet_watcher::SharedFleetState;
use crate::control::order_task::ORDER_SETTLE_TIME;
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

/// Time for which other engines go before one whose order has failed.
const FAILURE_PERIOD: Duration = Duration::from_secs(1);

/// How long a stopping holder waits for the answers to its orders. Engines answer within milliseconds; without an
/// answer the lease is left to expire, since the order may still arrive.
const ORDER_WAIT: Duration = Duration::from_millis(200);
const ORDER_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Attempts to append the release. Another one follows when a record of another host came first.
const MAX_RELEASE_ATTEMPTS: usize = 5;

/// State shared with the order tasks.
pub(crate) struct SchedulerState {
    pub(crate) lease: RefCell<LeaseKeeper>,
    /// Engines with an order in progress.
    pub(crate) in_progress: RefCell<IndexSet<ServerKey>>,
    /// Engines whose last order has failed, and when.
    pub(crate) failures: RefCell<IndexMap<ServerKey, Instant>>,
    /// Engines that have not answered an order, and when it was sent.
    pub(crate) unanswered: RefCell<IndexMap<ServerKey, BootTime>>,
}

impl SchedulerState {
    /// Records an order that is sent now. Engines that are gone are forgotten.
    pub(crate) fn record_order(&self, engine: ServerKey, sent: BootTime) {
        let mut unanswered = self.unanswered.borrow_mut();
        unanswered.retain(|_, earlier| sent.since(*earlier) < ORDER_SETTLE_TIME);
        unanswered.insert(engine, sent);
    }
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
        let shared = SchedulerState {
            lease: RefCell::new(lease),
            in_progress: RefCell::default(),
            failures: RefCell::default(),
            unanswered: RefCell::default(),
        };
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

    /// Looks for pending rollouts until this router stops, and gives the lease up then.
    pub(crate) async fn run(self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            let delay = match self.next_rollout() {
                Some(rollout) => self.advance(rollout).await,
                None => {
                    self.reader.set_lease_interest(LeaseInterest::None);
                    POLL_INTERVAL
                }
            };
            tokio::select! {
                () = stop.cancelled() => {}
                () = sleep(delay) => {}
            }
        }
        self.release_lease().await;
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
        let (now, boot_now) = (Instant::now(), boot_now());
        let mut failures = self.shared.failures.borrow_mut();
        failures.retain(|_, failed_at| now.duration_since(*failed_at) < FAILURE_PERIOD);
        let weights = self.state.weights.load();
        let table = self.state.table.load();
        let has_engines = |service| table.as_ref().is_some_and(|table| table.has_engines(service));
        let servers = servers
            .states()
            .filter(|state| has_engines(&state.entry().service))
            .filter_map(|state| {
                let version = state.confirmed_weights(model)?;
                Some(RolloutEngine {
                    key: state.key(),
                    name: state.entry().name.clone(),
                    zone: state.entry().zone.clone(),
                    version,
                    outdated_for: weights.outdated_for(model, version, boot_now),
                    load: state.occupancy(now),
                    is_ordered: in_progress.contains(&state.key()),
                    is_reachable: state.is_open(now),
                    has_failed: failures.contains_key(&state.key()),
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
        self.reader.set_lease_interest(match step {
            LeaseStep::Wait(_) => LeaseInterest::Waiting,
            LeaseStep::Act | LeaseStep::Append { .. } => LeaseInterest::None,
        });
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

    /// Ends this router's orders and gives its lease up, so that another host goes on without waiting for the expiry.
    async fn release_lease(&self) {
        let dropped = self.shared.lease.borrow_mut().drop_lease();
        // The answer to its append may have been lost.
        if dropped.is_none() && self.next_release().is_none() {
            return;
        }
        if !self.have_orders_ended().await {
            self.log_lease_lost("not released: an engine has not answered an order");
            return;
        }
        for _ in 0..MAX_RELEASE_ATTEMPTS {
            if self.try_release(dropped).await {
                return;
            }
            if let Err(err) = self.reader.catch_up().await {
                self.log_lease_lost(&err.to_string());
            }
        }
    }

    /// Waits for the answers to the orders that were sent. No further ones are sent without a lease.
    async fn have_orders_ended(&self) -> bool {
        let deadline = Instant::now() + ORDER_WAIT;
        loop {
            let now = boot_now();
            let is_settled = |sent: &BootTime| ORDER_SETTLE_TIME <= now.since(*sent);
            if self.shared.unanswered.borrow().values().all(is_settled) {
                return true;
            }
            if deadline <= Instant::now() {
                return false;
            }
            sleep(ORDER_POLL_INTERVAL).await;
        }
    }

    /// Appends the release of the lease that was dropped. Returns false if the topic must be read before another
    /// attempt: the lease was not read back yet, the topic's end has moved, or the answer was lost.
    async fn try_release(&self, dropped: Option<FencingNumber>) -> bool {
        let newest = self.fleet_state.borrow().lease().map(|lease| lease.fence);
        if newest < dropped {
            return false;
        }
        // Another host has taken it, or an earlier attempt was accepted.
        let (Some(fence), Some((at, record))) = (newest, self.next_release()) else { return true };
        let encoded = match encode_keyed_record(&record) {
            Ok(encoded) => encoded,
            Err(err) => {
                tracing::error!("could not encode a lease record: {err}");
                return true;
            }
        };
        let result = self.store.append(LogTopic::Fleet, Some(at), &[encoded], APPEND_TIMEOUT).await;
        if !matches!(result, Ok(AppendResult::Written(_))) {
            return false;
        }
        let kind = EventKind::LeaseReleased;
        tracing::info!(event = kind.number(), name = kind.name(), %fence);
        true
    }

    fn next_release(&self) -> Option<(LogPosition, FleetRecord)> {
        let (host, incarnation) = (&self.state.settings.host, self.state.incarnation);
        self.fleet_state.borrow().lease_release(host, incarnation)
    }

    fn log_lease_lost(&self, reason: &str) {
        let kind = EventKind::LeaseLost;
        tracing::info!(event = kind.number(), name = kind.name(), reason);
    }

    fn start_orders(&self, rollout: &PendingRollout) {
        let bound = self.state.settings.bounds.weights();
        for key in self.rollout_plan.next(&rollout.servers, rollout.target, bound) {
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
