//! Snapshots and books shared by control and traffic.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use fulmargate_admission::QuotaConf;
use fulmargate_admission::QuotaTracker;
use fulmargate_dispatch::ConfigProof;
use fulmargate_dispatch::CrashConf;
use fulmargate_dispatch::CrashTracker;
use fulmargate_dispatch::HeldLease;
use fulmargate_dispatch::RepeatBudget;
use fulmargate_dispatch::RepeatConf;
use fulmargate_dispatch::RouteTable;
use fulmargate_dispatch::ServerBook;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::StoreEpoch;
use fulmargate_settings::EntryBounds;
use fulmargate_settings::EntrySettings;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::state::LoadingBoard;
use crate::state::boot_now;
use crate::telemetry::LineBudget;
use crate::traffic::WaitRoom;

/// Requests with a key are refused this much before the bound on taken keys, and none is refused for
/// want of a route this much before the bound on configurations: clocks of two hosts
/// drift apart by less than a thousandth, 5 ms in 5 s; the rest is allowance for a busy host.
const PROOF_MARGIN: Duration = Duration::from_millis(100);

/// Starts of a host are told apart by so many numbers.
const QUOTA_STARTS: u64 = 1 << 16;
/// Twice the longest pause between two reports of a router. One that is silent for longer keeps a part of
/// each quota.
const QUOTA_REACH_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Hosts are away for less when they are restarted or cut off.
const QUOTA_END_TIMEOUT: Duration = Duration::from_secs(60);

/// All that both threads use. Each lock is held for one short step.
pub(crate) struct SharedState {
    pub(crate) settings: EntrySettings,
    /// Drawn at each start.
    pub(crate) incarnation: Incarnation,
    /// The configuration in force.
    pub(crate) table: ArcSwapOption<RouteTable>,
    /// The weights wanted.
    pub(crate) weights: ArcSwap<WeightsTable>,
    /// Members and lease, for status.
    pub(crate) fleet: ArcSwap<FleetView>,
    /// Requests that callers wait for.
    pub(crate) open_requests: AtomicUsize,
    /// Connections of callers.
    pub(crate) open_connections: AtomicUsize,
    /// Crashes seen here, to be told to the other routers.
    pub(crate) crash_sender: UnboundedSender<CrashSighting>,
    /// Engines under order by this router, for the others.
    pub(crate) loading: LoadingBoard,
    /// Prompts that wait here for an engine.
    pub(crate) waiting: WaitRoom,
    /// The newest epoch of the store that an answer has shown.
    epoch: watch::Sender<StoreEpoch>,
    /// Bounds the log.
    pub(crate) lines: LineBudget,
    proof: Mutex<ConfigProof>,
    book: Mutex<ServerBook>,
    budget: Mutex<RepeatBudget>,
    quotas: Mutex<QuotaTracker>,
    crashes: Mutex<CrashTracker>,
}

/// What the routers' own topic says, for status.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetView {
    /// Hosts whose start was read.
    pub(crate) members: Vec<HostName>,
    /// The newest lease.
    pub(crate) lease: Option<HeldLease>,
}

/// A server that crashed while it ran a request.
#[derive(Clone, Debug)]
pub(crate) struct CrashSighting {
    /// Fingerprint of the request.
    pub(crate) print: u128,
    /// The server.
    pub(crate) server: Arc<ServerEntry>,
}

impl SharedState {
    /// Nothing is known yet.
    pub(crate) fn new(
        settings: EntrySettings,
        crash_sender: UnboundedSender<CrashSighting>,
    ) -> SharedState {
        let bounds = settings.bounds;
        let repeats = RepeatConf {
            ratio: bounds.repeat_ratio,
            slack: bounds.repeat_slack,
            window: bounds.repeat_window(),
        };
        let before = |bound: Duration| bound.saturating_sub(PROOF_MARGIN);
        let mut proof =
            ConfigProof::new(before(bounds.key_revoke()), before(bounds.config_apply()));
        // Until the routers' topic tells otherwise.
        proof.doubt(StoreEpoch(0), boot_now());
        let incarnation = Incarnation(uuid::Uuid::new_v4().as_u64_pair().0);
        let quotas = QuotaTracker::new(
            settings.host.clone(),
            (incarnation.0 % QUOTA_STARTS) as u16,
            quota_conf(&bounds),
        );
        SharedState {
            settings,
            incarnation,
            table: ArcSwapOption::empty(),
            weights: ArcSwap::default(),
            fleet: ArcSwap::default(),
            open_requests: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            crash_sender,
            loading: LoadingBoard::default(),
            waiting: WaitRoom::default(),
            epoch: watch::Sender::default(),
            lines: LineBudget::default(),
            proof: Mutex::new(proof),
            book: Mutex::default(),
            budget: Mutex::new(RepeatBudget::new(repeats, Instant::now())),
            quotas: Mutex::new(quotas),
            crashes: Mutex::new(CrashTracker::new(CrashConf::default())),
        }
    }

    /// An answer of the store has shown this epoch.
    pub(crate) fn note_epoch(&self, epoch: StoreEpoch) {
        self.epoch.send_if_modified(|newest| {
            let is_newer = *newest < epoch;
            *newest = epoch.max(*newest);
            is_newer
        });
    }

    /// Waits until an answer has shown a later epoch than this. A read that waits for records may have fallen
    /// silent when the store went away, and would tell of its return seconds after another call did.
    pub(crate) async fn epoch_after(&self, epoch: StoreEpoch) -> StoreEpoch {
        let mut newest = self.epoch.subscribe();
        match newest.wait_for(|newest| epoch < *newest).await {
            Ok(newest) => *newest,
            // The sender lives as long as this value.
            Err(_) => std::future::pending().await,
        }
    }

    /// The age of the proof that the configuration is the newest.
    pub(crate) fn proof(&self) -> MutexGuard<'_, ConfigProof> {
        lock(&self.proof)
    }

    /// Whether requests with a key may be admitted at this moment.
    pub(crate) fn admits_keys(&self) -> bool {
        self.proof().admits(boot_now())
    }

    /// Whether a request may be refused at this moment for want of a route or key.
    pub(crate) fn refuses_unknown(&self) -> bool {
        self.proof().refuses(boot_now())
    }

    /// Beliefs about servers.
    pub(crate) fn book(&self) -> MutexGuard<'_, ServerBook> {
        lock(&self.book)
    }

    /// The budget of repeats.
    pub(crate) fn budget(&self) -> MutexGuard<'_, RepeatBudget> {
        lock(&self.budget)
    }

    /// What teams may still use.
    pub(crate) fn quotas(&self) -> MutexGuard<'_, QuotaTracker> {
        lock(&self.quotas)
    }

    /// Requests that crash servers.
    pub(crate) fn crashes(&self) -> MutexGuard<'_, CrashTracker> {
        lock(&self.crashes)
    }
}

fn quota_conf(bounds: &EntryBounds) -> QuotaConf {
    QuotaConf {
        window: bounds.quota_window(),
        overage: bounds.quota_overage,
        slack: bounds.quota_slack,
        reach_timeout: QUOTA_REACH_TIMEOUT,
        end_timeout: QUOTA_END_TIMEOUT,
    }
}

/// A book is whole after each step, so that a thread that panicked leaves a usable one.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
