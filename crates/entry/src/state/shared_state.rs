//! Snapshots and lock-protected state shared by the control and traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use fulmargate_admission::QuotaConf;
use fulmargate_admission::QuotaTracker;
use fulmargate_admission::ServerLimits;
use fulmargate_dispatch::BindingTable;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::ConfigProof;
use fulmargate_dispatch::HeartbeatMark;
use fulmargate_dispatch::HeldLease;
use fulmargate_dispatch::OwnerCandidate;
use fulmargate_dispatch::RetryBudget;
use fulmargate_dispatch::RetryConf;
use fulmargate_dispatch::RouteHistory;
use fulmargate_dispatch::RouteTable;
use fulmargate_dispatch::ServerRegistry;
use fulmargate_dispatch::SuspectConf;
use fulmargate_dispatch::SuspectTable;
use fulmargate_dispatch::VersionTracker;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::StoreEpoch;
use fulmargate_settings::EntryBounds;
use fulmargate_settings::EntrySettings;
use indexmap::IndexMap;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::state::HeldMemory;
use crate::state::LoadingRegistry;
use crate::state::RouteDurations;
use crate::state::boot_now;
use crate::telemetry::LogRateLimiter;
use crate::traffic::HelperPool;
use crate::traffic::PromptQueue;

/// Safety margin subtracted from the bounds on key revocation and on configuration age. Covers clock drift
/// between hosts and scheduling delays. Clocks drift apart by less than a thousandth, 5 ms in 5 s; the rest
/// is for the delays.
const PROOF_EXPIRY_MARGIN: Duration = Duration::from_millis(100);

/// Number of distinct start identifiers that the quota protocol uses for one host.
const QUOTA_START_ID_COUNT: u64 = 1 << 16;
/// Span over which a server's rate limit is kept. The bucket of a limit of many requests a second holds a
/// sixteenth of what the limit grants in this time.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Requests beyond the rate that routers may send in this span. The bucket of a limit of few requests a second
/// holds three tenths of them, little more than one request.
const LIMIT_SLACK: f64 = 4.0;
/// A router that sends no usage report for this long counts as unreachable, and a part of each quota stays
/// reserved for it. Twice the longest report interval.
const QUOTA_REACH_TIMEOUT: Duration = Duration::from_millis(1_200);
/// An unreachable router counts as terminated after this time. Longer than a restart or a network
/// partition usually takes.
const QUOTA_END_TIMEOUT: Duration = Duration::from_secs(60);

/// State used by both threads. Locks are held only briefly.
pub(crate) struct SharedState {
    pub(crate) settings: EntrySettings,
    /// Random identifier of this process start.
    pub(crate) incarnation: Incarnation,
    /// The active configuration; none until one has been loaded.
    pub(crate) table: ArcSwapOption<RouteTable>,
    /// The target weights version of each model.
    pub(crate) weights: ArcSwap<WeightsTable>,
    /// Held while the weights table is changed.
    weights_lock: Mutex<()>,
    /// Up to where the server list is read; none before the first listing.
    pub(crate) server_list: ArcSwapOption<ServerListEnd>,
    /// Members and lease, shown on the status page.
    pub(crate) fleet: ArcSwap<FleetView>,
    /// When a planned stop ends the requests in progress; set once it was requested.
    pub(crate) stop_end: OnceLock<Instant>,
    /// Requests whose response has not started.
    pub(crate) open_requests: AtomicUsize,
    /// Open connections from callers.
    pub(crate) open_connections: AtomicUsize,
    /// What callers' connections and requests hold.
    pub(crate) held_memory: HeldMemory,
    /// What response bodies hold that are being read whole.
    pub(crate) answer_memory: HeldMemory,
    /// What requests of other hosts hold.
    pub(crate) forward_memory: HeldMemory,
    /// Wakes the writer of the fleet topic.
    pub(crate) fleet_record_change: Notify,
    /// Wakes the writer of the ages of weights.
    pub(crate) weights_change: Notify,
    /// Wakes the task that tries servers for other hosts.
    pub(crate) suspect_wake: Notify,
    /// Wakes the sender of gossip before its interval is over, as there is new evidence on a crash or a new claim.
    pub(crate) crash_evidence_change: Notify,
    /// Wakes requests that wait for the first connection attempt of a check.
    pub(crate) suspect_probed: Notify,
    /// Engines that are loading weights on this router's order.
    pub(crate) loading: LoadingRegistry,
    /// Prompts that are queued for an engine.
    pub(crate) prompt_queue: PromptQueue,
    /// Connections to hosts that send requests for this one.
    pub(crate) helpers: HelperPool,
    /// Requests of other hosts in progress.
    pub(crate) forwarded_requests: AtomicUsize,
    /// Number of times that a service came into reach or went out of it.
    pub(crate) reach_changes: watch::Sender<u64>,
    /// Wakes the prober when connections have failed.
    pub(crate) prober_wake: Notify,
    /// Wakes the publisher of records of streams.
    pub(crate) binding_change: Notify,
    /// Wakes the writer of records of streams to the store.
    pub(crate) binding_store_change: Notify,
    /// Number of the newest read of these records that a request waits for, and of the newest that has ended.
    wanted_binding_read: watch::Sender<u64>,
    ended_binding_read: watch::Sender<u64>,
    /// The newest store epoch seen in any response of the store.
    epoch: watch::Sender<StoreEpoch>,
    pub(crate) log_limiter: LogRateLimiter,
    proof: Mutex<ConfigProof>,
    servers: Mutex<ServerRegistry>,
    retry_budget: Mutex<RetryBudget>,
    durations: Mutex<RouteDurations>,
    quotas: Mutex<QuotaTracker>,
    suspects: Mutex<SuspectTable>,
    /// Locked before `servers` where both are.
    versions: Mutex<VersionTracker>,
    bindings: Mutex<BindingTable>,
    route_history: Mutex<RouteHistory>,
}

/// Content of the routers' fleet topic.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetView {
    /// Hosts that have announced their start.
    pub(crate) members: Vec<HostName>,
    /// The addresses at which they listen for other routers.
    pub(crate) addresses: IndexMap<HostName, SocketAddr>,
    /// Hosts that have started recently, whose messages may not have arrived yet.
    pub(crate) new_hosts: Vec<OwnerCandidate>,
    /// The most recent lease.
    pub(crate) lease: Option<HeldLease>,
}

/// Up to where the servers' topic is read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerListEnd {
    /// The end of what was read.
    pub(crate) end: HeartbeatMark,
    /// A time at which the topic did not extend beyond that.
    pub(crate) as_of: BootTime,
}

impl SharedState {
    /// Creates the state without a configuration, servers or quotas.
    pub(crate) fn new(settings: EntrySettings) -> SharedState {
        let bounds = settings.bounds;
        let retry_conf = RetryConf {
            ratio: bounds.repeat_ratio,
            slack: bounds.repeat_slack,
            window: bounds.repeat_window(),
        };
        let before = |bound: Duration| bound.saturating_sub(PROOF_EXPIRY_MARGIN);
        let mut proof =
            ConfigProof::new(before(bounds.key_revoke()), before(bounds.config_apply()));
        // The store may have been restored from a backup while this process did not run. Reads are untrusted
        // for a grace period unless the fleet topic shows that nothing was lost.
        proof.mark_untrusted(StoreEpoch(0), boot_now());
        let incarnation = Incarnation(uuid::Uuid::new_v4().as_u64_pair().0);
        let start_id = (incarnation.0 % QUOTA_START_ID_COUNT) as u16;
        let quotas = QuotaTracker::new(settings.host.clone(), start_id, quota_conf(&bounds));
        let limits = ServerLimits::new(settings.host.clone(), start_id, limit_conf());
        let suspects = SuspectTable::new(settings.host.clone(), SuspectConf::default());
        let held_memory = HeldMemory::for_callers(settings.memory_mb);
        let forward_memory = HeldMemory::for_forwards(settings.memory_mb);
        SharedState {
            settings,
            incarnation,
            table: ArcSwapOption::empty(),
            weights: ArcSwap::default(),
            weights_lock: Mutex::default(),
            server_list: ArcSwapOption::empty(),
            fleet: ArcSwap::default(),
            stop_end: OnceLock::new(),
            open_requests: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            held_memory,
            answer_memory: HeldMemory::for_answers(),
            forward_memory,
            fleet_record_change: Notify::new(),
            weights_change: Notify::new(),
            suspect_wake: Notify::new(),
            crash_evidence_change: Notify::new(),
            suspect_probed: Notify::new(),
            loading: LoadingRegistry::default(),
            prompt_queue: PromptQueue::default(),
            helpers: HelperPool::default(),
            forwarded_requests: AtomicUsize::new(0),
            reach_changes: watch::Sender::default(),
            prober_wake: Notify::new(),
            binding_change: Notify::new(),
            binding_store_change: Notify::new(),
            wanted_binding_read: watch::Sender::default(),
            ended_binding_read: watch::Sender::default(),
            epoch: watch::Sender::default(),
            log_limiter: LogRateLimiter::default(),
            proof: Mutex::new(proof),
            servers: Mutex::new(ServerRegistry::with_limits(limits)),
            durations: Mutex::default(),
            retry_budget: Mutex::new(RetryBudget::new(retry_conf, Instant::now())),
            quotas: Mutex::new(quotas),
            suspects: Mutex::new(suspects),
            versions: Mutex::default(),
            bindings: Mutex::default(),
            route_history: Mutex::default(),
        }
    }

    /// Records a store epoch seen in a response.
    pub(crate) fn record_epoch(&self, epoch: StoreEpoch) {
        self.epoch.send_if_modified(|newest| {
            let is_newer = *newest < epoch;
            *newest = epoch.max(*newest);
            is_newer
        });
    }

    /// Waits until any response of the store carries an epoch later than `epoch`. A long poll that still waits on a
    /// dead connection to the store can then be abandoned at once.
    pub(crate) async fn epoch_after(&self, epoch: StoreEpoch) -> StoreEpoch {
        let mut newest = self.epoch.subscribe();
        match newest.wait_for(|newest| epoch < *newest).await {
            Ok(newest) => *newest,
            // Unreachable: `self` owns the sender.
            Err(_) => std::future::pending().await,
        }
    }

    /// Changes a copy of the weights table and publishes it. Changes made at the same time follow each other.
    pub(crate) fn change_weights<T>(&self, change: impl FnOnce(&mut WeightsTable) -> T) -> T {
        let _change = lock(&self.weights_lock);
        let mut weights = (**self.weights.load()).clone();
        let result = change(&mut weights);
        self.weights.store(Arc::new(weights));
        self.weights_change.notify_one();
        result
    }

    /// Publishes where the streams of this host began, as they may begin at several versions or services now.
    pub(crate) fn publish_bindings(&self) {
        if self.bindings().publish_all(Instant::now()) {
            self.binding_change.notify_one();
        }
    }

    /// Has the store's records of streams read, and waits for a read that begins after this call.
    pub(crate) async fn read_stored_bindings(&self, max_wait: Duration) {
        let mut ended = self.ended_binding_read.subscribe();
        let mut number = 0;
        self.wanted_binding_read.send_modify(|wanted| {
            *wanted += 1;
            number = *wanted;
        });
        if timeout(max_wait, ended.wait_for(|ended| number <= *ended)).await.is_err() {
            tracing::debug!("the store's records of streams were not read in time");
        }
    }

    /// Waits until a read of the records is wanted. Returns its number.
    pub(crate) async fn next_binding_read(&self) -> u64 {
        let ended = *self.ended_binding_read.borrow();
        let mut wanted = self.wanted_binding_read.subscribe();
        match wanted.wait_for(|wanted| ended < *wanted).await {
            Ok(wanted) => *wanted,
            // Unreachable: `self` owns the sender.
            Err(_) => std::future::pending().await,
        }
    }

    /// Records that a read of the records has ended.
    pub(crate) fn record_binding_read(&self, number: u64) {
        self.ended_binding_read.send_replace(number);
    }

    /// Software versions of the servers.
    pub(crate) fn versions(&self) -> MutexGuard<'_, VersionTracker> {
        lock(&self.versions)
    }

    /// Where streams began.
    pub(crate) fn bindings(&self) -> MutexGuard<'_, BindingTable> {
        lock(&self.bindings)
    }

    /// Services that routes have led to.
    pub(crate) fn route_history(&self) -> MutexGuard<'_, RouteHistory> {
        lock(&self.route_history)
    }

    /// Tracks when the configuration was last confirmed to be the newest.
    pub(crate) fn proof(&self) -> MutexGuard<'_, ConfigProof> {
        lock(&self.proof)
    }

    /// Returns whether requests with an API key may be admitted now.
    pub(crate) fn admits_keys(&self) -> bool {
        self.proof().admits(boot_now())
    }

    /// Returns whether a request with an unknown route or key may be rejected now.
    pub(crate) fn may_reject_unknown(&self) -> bool {
        self.proof().may_reject(boot_now())
    }

    /// Load, health and weights of the backend servers.
    pub(crate) fn servers(&self) -> MutexGuard<'_, ServerRegistry> {
        lock(&self.servers)
    }

    /// The retry budget.
    pub(crate) fn retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        lock(&self.retry_budget)
    }

    /// How long requests of each route take.
    pub(crate) fn durations(&self) -> MutexGuard<'_, RouteDurations> {
        lock(&self.durations)
    }

    /// Whether a request that is to be answered by `deadline` can be completed here: always, unless this host stops.
    pub(crate) fn can_complete(&self, route: &str, deadline: Instant) -> bool {
        let Some(end) = self.stop_end.get() else { return true };
        let now = Instant::now();
        let expected = self.durations().expected(route, now);
        expected.map_or(deadline, |took| deadline.min(now + took)) <= *end
    }

    /// The teams' quotas.
    pub(crate) fn quotas(&self) -> MutexGuard<'_, QuotaTracker> {
        lock(&self.quotas)
    }

    /// Requests that are suspected or known to crash servers.
    pub(crate) fn suspects(&self) -> MutexGuard<'_, SuspectTable> {
        lock(&self.suspects)
    }
}

fn quota_conf(bounds: &EntryBounds) -> QuotaConf {
    QuotaConf {
        window: bounds.quota_window(),
        overage: bounds.quota_overage,
        slack: bounds.quota_slack,
        report_delay: Duration::ZERO,
        reach_timeout: QUOTA_REACH_TIMEOUT,
        end_timeout: QUOTA_END_TIMEOUT,
    }
}

/// Sharing of the rate limits that servers name.
fn limit_conf() -> QuotaConf {
    QuotaConf {
        window: LIMIT_WINDOW,
        overage: 0.0,
        slack: LIMIT_SLACK,
        report_delay: Duration::ZERO,
        reach_timeout: QUOTA_REACH_TIMEOUT,
        end_timeout: QUOTA_END_TIMEOUT,
    }
}

/// Ignores poisoning: every operation leaves the value consistent, so it is usable after a panic.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
