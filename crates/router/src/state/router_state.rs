//! What traffic threads share with the control thread.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use actix::Addr;
use arc_swap::ArcSwapOption;
use fulmargate_admission::CrashDetector;
use fulmargate_admission::HealthConf;
use fulmargate_admission::HealthRegistry;
use fulmargate_admission::LimiterConf;
use fulmargate_admission::RetryBudget;
use fulmargate_admission::RetryConf;
use fulmargate_admission::ServerResult;
use fulmargate_admission::SuspectConf;
use fulmargate_admission::TeamLimiter;
use fulmargate_ledger::ClaimHandle;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::RequestId;
use fulmargate_names::ServerName;
use fulmargate_names::ZoneName;
use fulmargate_peers::PeerCounters;
use fulmargate_relay::TokenSecrets;
use fulmargate_settings::RouterSettings;
use sha2::Digest;
use sha2::Sha256;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::control::ControlActor;
use crate::control::HealthTold;
use crate::control::ServerLife;
use crate::control::ServerTrouble;
use crate::state::BodyMemory;
use crate::state::OpenCount;
use crate::state::PhaseCell;
use crate::state::RouteTable;
use crate::state::ServerRoute;

/// How long a request waits for a configuration at a router that has just started.
const START_PATIENCE: Duration = Duration::from_secs(1);

/// What traffic threads share with the control thread. Nothing here is locked across a request.
pub(crate) struct RouterState {
    pub(crate) host: HostName,
    pub(crate) zone: ZoneName,
    pub(crate) incarnation: Incarnation,
    pub(crate) settings: RouterSettings,
    pub(crate) secrets: TokenSecrets,
    pub(crate) routes: ArcSwapOption<RouteTable>,
    pub(crate) phase: PhaseCell,
    pub(crate) open: OpenCount,
    pub(crate) body_memory: BodyMemory,
    pub(crate) budget: RetryBudget,
    pub(crate) limiter: TeamLimiter,
    pub(crate) health: HealthRegistry,
    pub(crate) suspects: Arc<CrashDetector>,
    pub(crate) claims: ClaimHandle,
    pub(crate) control: Addr<ControlActor>,
    /// Bytes exchanged with other routers, by kind.
    pub(crate) peer_bytes: Arc<PeerCounters>,
    /// Seed of the fingerprints of requests, shared by all routers and kept from callers.
    pub(crate) print_seed: u64,
    /// Turns true with the first table of routes.
    ready: watch::Sender<bool>,
    attempts: AtomicU64,
    started: Instant,
}

impl RouterState {
    pub(crate) fn new(
        settings: RouterSettings,
        incarnation: Incarnation,
        secrets: TokenSecrets,
        claims: ClaimHandle,
        control: Addr<ControlActor>,
        peer_bytes: Arc<PeerCounters>,
    ) -> Arc<RouterState> {
        Arc::new(RouterState {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            incarnation,
            secrets,
            routes: ArcSwapOption::empty(),
            phase: PhaseCell::default(),
            open: OpenCount::default(),
            body_memory: BodyMemory::new(settings.callers.body_memory_bytes),
            budget: RetryBudget::new(RetryConf::default()),
            health: HealthRegistry::new(HealthConf::default()),
            limiter: TeamLimiter::new(settings.host.clone(), LimiterConf::default()),
            suspects: CrashDetector::new(SuspectConf::default()),
            claims,
            control,
            peer_bytes,
            print_seed: print_seed(&settings),
            ready: watch::Sender::new(false),
            attempts: AtomicU64::new(0),
            started: Instant::now(),
            settings,
        })
    }

    /// Publishes a table of routes; gives back the one before.
    pub(crate) fn publish(&self, table: RouteTable) -> Option<Arc<RouteTable>> {
        let before = self.routes.swap(Some(Arc::new(table)));
        self.ready.send_replace(true);
        before
    }

    /// The table in force. A router that has just started waits a moment for its first one: its
    /// peers or the log send it within a few round trips, and a refusal would make a restart show.
    pub(crate) async fn table_soon(&self) -> Option<Arc<RouteTable>> {
        let table = self.routes.load_full();
        if table.is_some() {
            return table;
        }
        let mut ready = self.ready.subscribe();
        let _none_came_in_time =
            timeout(START_PATIENCE, ready.wait_for(|is_ready| *is_ready)).await;
        self.routes.load_full()
    }

    /// A new attempt's id. Callers may send one request id twice, also to two routers; the
    /// incarnation and a count make each attempt's id its own, so that a crossed answer shows.
    pub(crate) fn attempt_id(&self, request_id: &RequestId) -> String {
        let count = self.attempts.fetch_add(1, Ordering::Relaxed);
        format!("{request_id}.{:x}-{count:x}", self.incarnation.0)
    }

    /// Milliseconds since the router's start.
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Seconds since the router's start.
    pub(crate) fn uptime_s(&self) -> u64 {
        self.started.elapsed().as_secs()
    }

    /// Takes in what an attempt says of its server.
    pub(crate) fn note_result(&self, server: &ServerRoute, result: ServerResult) {
        let incarnation = server.incarnation();
        let incarnation = (0 < incarnation.0).then_some(incarnation);
        let now = tokio::time::Instant::now();
        let news = self.health.record_result(&server.name, incarnation, result, now);
        if !news.is_empty() {
            self.control.do_send(HealthTold { news });
        }
    }

    /// Tells control that a connection to a server broke or could not be made.
    pub(crate) fn tell_trouble(&self, server: &ServerName) {
        self.control.do_send(ServerTrouble { server: server.clone() });
    }

    /// Tells control which incarnation of a server answered.
    pub(crate) fn tell_life(
        &self,
        server: &ServerName,
        incarnation: Incarnation,
        is_leaving: bool,
    ) {
        self.control.do_send(ServerLife { server: server.clone(), incarnation, is_leaving });
    }
}

/// From the oldest of the shared secrets: while secrets are rotated, hosts differ in the newest.
fn print_seed(settings: &RouterSettings) -> u64 {
    let secret = settings.stream_secrets.last().map_or("", String::as_str);
    let digest =
        Sha256::new().chain_update(b"fulmargate fingerprint 1\0").chain_update(secret).finalize();
    let mut seed = [0; 8];
    seed.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(seed)
}
