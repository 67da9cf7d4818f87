//! The deployment of a run: store, servers and routers, with a proxy before each.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmargate_consortium_stand::ConfigText;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::FakeStore;
use fulmargate_consortium_stand::HostLink;
use fulmargate_consortium_stand::LinkCut;
use fulmargate_consortium_stand::LoopbackProxy;
use fulmargate_consortium_stand::ServerFall;
use fulmargate_consortium_stand::ServerMode;
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::sync::Mutex as TaskMutex;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::FaultPlan;
use crate::crashing_caller::CRASH_RULE;
use crate::fault_log::FaultLog;
use crate::rough_clients::MemoryExcess;
use crate::router_process::RouterProcess;
use crate::router_process::RouterSpec;
use crate::router_process::STOP_GRACE;

/// Servers of the plain service.
pub(crate) const DESKS: usize = 3;
/// Engines.
pub(crate) const ENGINES: usize = 3;
/// Further engines where several software versions are played, so that two servers of each may serve.
pub(crate) const VERSION_ENGINES: usize = 3;
/// Further engines where series of weights are played, so that a rollout takes several rounds.
pub(crate) const WEIGHTS_ENGINES: usize = 3;
/// Further engines where parts of prompts crash them.
pub(crate) const PART_ENGINES: usize = 6;
/// Time that engines take to load weights there.
const LOAD_TIME: Duration = Duration::from_millis(700);
/// Weights of new engines.
const FIRST_WEIGHTS: u64 = 1;
/// Software version of the first servers.
const FIRST_VERSION: u32 = 1;
/// A process that should end by itself is given this much more than its grace.
const STOP_ALLOWANCE: Duration = Duration::from_secs(4);

/// Key that operators take away.
pub(crate) const TAKEN_KEY: &str = "k-gone";
/// Key of a team that shares nothing.
pub(crate) const ISOLATED_KEY: &str = "k-walled";
/// Key of a team that shares.
pub(crate) const SHARED_KEY: &str = "k-red";

/// A server with a proxy for each router before it, all at the same port.
#[derive(Clone)]
pub(crate) struct SoakServer {
    pub(crate) stand: FakeServer,
    pub(crate) proxies: Vec<LoopbackProxy>,
    pub(crate) service: &'static str,
    /// Its place in the list; its successor has the same.
    pub(crate) place: usize,
    /// Its software version.
    pub(crate) version: u32,
    pub(crate) listed: Instant,
    /// When the store had its word that it leaves.
    pub(crate) left: Option<Instant>,
    /// Whether it left by the removal of its entry.
    pub(crate) is_removed: bool,
}

/// A planned stop as it went.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlannedStop {
    pub(crate) router: usize,
    pub(crate) start: usize,
    pub(crate) from: Instant,
    pub(crate) until: Instant,
    /// Whether it ended by itself, without an error.
    pub(crate) is_clean: bool,
}

/// A limit that a server named, and what came.
#[derive(Clone, Debug)]
pub(crate) struct SeenLimit {
    pub(crate) server: String,
    /// Requests a second.
    pub(crate) rate: f64,
    /// The most requests in any judged span.
    pub(crate) most: usize,
}

/// Falls of the servers of a service while they were brittle.
#[derive(Clone, Debug)]
pub(crate) struct BrittleTime {
    /// Rejections in a second that a server survives.
    pub(crate) rejections_per_s: u32,
    pub(crate) servers: usize,
    pub(crate) falls: Vec<ServerFall>,
}

/// A router, its proxies and its process.
pub(crate) struct SoakRouter {
    pub(crate) callers: LoopbackProxy,
    pub(crate) store: LoopbackProxy,
    /// To the store and to the servers.
    pub(crate) link: HostLink,
    spec: RouterSpec,
    /// Restarts come one after the other.
    restart: TaskMutex<()>,
    process: Mutex<Option<Arc<RouterProcess>>>,
    start: AtomicUsize,
}

/// What operators have written.
#[derive(Clone, Debug)]
pub(crate) struct OperatorWord {
    pub(crate) config: ConfigText,
    /// Routes added, by number, and when the store had them.
    pub(crate) routes: Vec<(u64, Instant)>,
    pub(crate) key_taken: Option<Instant>,
    /// The newest weights version.
    pub(crate) weights: u64,
    pub(crate) named: Vec<NamedWeights>,
}

/// A weights version that operators have named.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NamedWeights {
    pub(crate) version: u64,
    /// When the store first had it.
    pub(crate) at: Instant,
}

/// All of it.
pub(crate) struct SoakWorld {
    pub(crate) store: FakeStore,
    pub(crate) routers: Vec<SoakRouter>,
    pub(crate) log: FaultLog,
    servers: Mutex<Vec<SoakServer>>,
    retired: Mutex<Vec<SoakServer>>,
    word: Mutex<OperatorWord>,
    stops: Mutex<Vec<PlannedStop>>,
    limits: Mutex<Vec<SeenLimit>>,
    /// Prompts without a crashing part that were rejected for one.
    refused_sound: Mutex<Vec<String>>,
    brittle_times: Mutex<Vec<BrittleTime>>,
    excesses: Mutex<Vec<MemoryExcess>>,
    /// Whether engines run several software versions, and mark their events with them.
    pub(crate) has_versions: bool,
    /// Whether one router takes all new connections for a while.
    pub(crate) has_crowds: bool,
    /// Whether operators name series of weights, and engines take time to load them.
    pub(crate) has_weights: bool,
    /// How the links of each router's host to servers are cut.
    cuts: Mutex<Vec<Option<LinkCut>>>,
    /// The router that all new connections go to, if any.
    crowded: Mutex<Option<usize>>,
    started: AtomicUsize,
}

impl SoakWorld {
    /// Starts all.
    pub(crate) async fn start(
        plan: &FaultPlan,
        program: &Path,
        folder: PathBuf,
        memory_mb: u64,
    ) -> io::Result<SoakWorld> {
        let store = FakeStore::start().await?;
        let config = first_config();
        store.put_config(&config);
        let word = OperatorWord {
            config,
            routes: Vec::new(),
            key_taken: None,
            weights: FIRST_WEIGHTS,
            named: Vec::new(),
        };
        let mut routers = Vec::new();
        for number in 0..plan.routers {
            let link = HostLink::default();
            let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let view = Some(store.start_view(plan.servers_at(number)).await?);
            let store_link = LoopbackProxy::start_on(any, view, link.clone()).await?;
            let spec = RouterSpec {
                program: program.to_owned(),
                folder: folder.clone(),
                host: format!("host-{number}"),
                store: store_link.address,
                few_hosts: plan.few_hosts,
                memory_mb,
                weights_bound: plan.weights_bound,
                lease: plan.lease,
            };
            let callers = LoopbackProxy::start(None).await?;
            routers.push(SoakRouter {
                callers,
                store: store_link,
                link,
                spec,
                restart: TaskMutex::new(()),
                process: Mutex::new(None),
                start: AtomicUsize::new(0),
            });
        }
        let world = SoakWorld {
            store,
            routers,
            log: FaultLog::default(),
            servers: Mutex::default(),
            retired: Mutex::default(),
            word: Mutex::new(word),
            stops: Mutex::default(),
            limits: Mutex::default(),
            refused_sound: Mutex::default(),
            brittle_times: Mutex::default(),
            excesses: Mutex::default(),
            has_versions: plan.has_versions(),
            has_crowds: plan.has_crowds(),
            has_weights: plan.has_weights(),
            cuts: Mutex::new(vec![None; plan.routers]),
            crowded: Mutex::default(),
            started: AtomicUsize::new(0),
        };
        let extra_engines = match (world.has_versions, world.has_weights) {
            (true, _) => VERSION_ENGINES,
            (_, true) => WEIGHTS_ENGINES,
            _ if plan.has_crashing_parts() => PART_ENGINES,
            _ => 0,
        };
        for number in 0..DESKS + ENGINES + extra_engines {
            let service = if number < DESKS { "desk" } else { "engines" };
            let server = world.start_server(service, number, FIRST_VERSION, FIRST_WEIGHTS).await?;
            lock(&world.servers).push(server);
        }
        for router in &world.routers {
            router.start_process().await?;
        }
        Ok(world)
    }

    async fn start_server(
        &self,
        service: &'static str,
        place: usize,
        version: u32,
        weights: u64,
    ) -> io::Result<SoakServer> {
        let number = self.started.fetch_add(1, Ordering::Relaxed);
        let stand = FakeServer::start(&format!("{service}-{number}"), ServerMode::Echo).await?;
        stand.set_crash(Some(CRASH_RULE));
        if self.has_versions {
            stand.set_software(&format!("v{version}"));
        }
        stand.set_first_weights(weights);
        if self.has_weights {
            stand.set_load_time(LOAD_TIME);
        }
        let mut proxies: Vec<LoopbackProxy> = Vec::new();
        for (number, router) in self.routers.iter().enumerate() {
            let port = proxies.first().map_or(0, |first| first.address.port());
            let address = SocketAddr::from((loopback(number), port));
            let target = Some(stand.address);
            proxies.push(LoopbackProxy::start_on(address, target, router.link.clone()).await?);
        }
        for (proxy, cut) in proxies.iter().zip(lock(&self.cuts).iter()) {
            LinkCut::apply(*cut, proxy);
        }
        let server = SoakServer {
            stand,
            proxies,
            service,
            place,
            version,
            listed: Instant::now(),
            left: None,
            is_removed: false,
        };
        self.list(&server, "ready");
        Ok(server)
    }

    /// Writes a server's entry.
    fn list(&self, server: &SoakServer, state: &str) {
        let (name, address) = (&server.stand.name, server.proxies[0].address);
        if self.has_weights && server.service == "engines" {
            return self.store.put_engine(name, address, state, server.stand.weights());
        }
        let version = json!(format!("v{}", server.version));
        self.store.put_server_of(name, server.service, address, state, &version);
    }

    /// Cuts the links of a router's host to all servers, or mends them.
    pub(crate) fn cut_host(&self, router: usize, cut: Option<LinkCut>) {
        lock(&self.cuts)[router] = cut;
        let servers = self.all_servers();
        servers.iter().for_each(|server| LinkCut::apply(cut, &server.proxies[router]));
    }

    /// New connections go to this router from now on, or to each caller's own again.
    pub(crate) fn crowd(&self, router: Option<usize>) {
        *lock(&self.crowded) = router;
    }

    /// The router that all new connections go to, if any.
    pub(crate) fn crowded(&self) -> Option<usize> {
        *lock(&self.crowded)
    }

    /// Keeps how often brittle servers fell.
    pub(crate) fn record_brittle_time(&self, time: BrittleTime) {
        lock(&self.brittle_times).push(time);
    }

    /// All times in which servers were brittle.
    pub(crate) fn brittle_times(&self) -> Vec<BrittleTime> {
        lock(&self.brittle_times).clone()
    }

    /// Keeps that a router took more memory than it may.
    pub(crate) fn record_excess(&self, excess: MemoryExcess) {
        lock(&self.excesses).push(excess);
    }

    /// All of these times.
    pub(crate) fn excesses(&self) -> Vec<MemoryExcess> {
        lock(&self.excesses).clone()
    }

    /// Keeps what came to a server that named a limit.
    pub(crate) fn record_limit(&self, limit: SeenLimit) {
        lock(&self.limits).push(limit);
    }

    /// Keeps the id of a prompt that was rejected for a part which it does not hold.
    pub(crate) fn record_refused_sound(&self, id: String) {
        lock(&self.refused_sound).push(id);
    }

    /// All of them so far.
    pub(crate) fn refused_sound(&self) -> Vec<String> {
        lock(&self.refused_sound).clone()
    }

    /// All limits so far.
    pub(crate) fn limits(&self) -> Vec<SeenLimit> {
        lock(&self.limits).clone()
    }

    /// A server that is there now.
    pub(crate) fn server(&self, number: usize) -> SoakServer {
        lock(&self.servers)[number].clone()
    }

    /// All servers that there ever were.
    pub(crate) fn all_servers(&self) -> Vec<SoakServer> {
        let retired = lock(&self.retired).clone();
        retired.into_iter().chain(lock(&self.servers).iter().cloned()).collect()
    }

    /// The server says that it leaves; another takes its place in the list.
    pub(crate) async fn replace_server(&self, number: usize) -> io::Result<()> {
        let version = self.server(number).version;
        self.upgrade_server(number, version).await
    }

    /// The same with a software version for its successor.
    pub(crate) async fn upgrade_server(&self, number: usize, version: u32) -> io::Result<()> {
        let mut old = self.server(number);
        let new = self.start_server(old.service, number, version, FIRST_WEIGHTS).await?;
        self.list(&old, "draining");
        old.left = Some(Instant::now());
        lock(&self.servers)[number] = new;
        lock(&self.retired).push(old);
        Ok(())
    }

    /// The server's entry is removed, as of one that leaves without a notice; another takes its place.
    pub(crate) async fn remove_server(&self, number: usize) -> io::Result<()> {
        let mut old = self.server(number);
        let new = self.start_server(old.service, number, old.version, FIRST_WEIGHTS).await?;
        lock(&self.servers)[number] = new;
        // After the exchange, so that no heartbeat of the old server follows its removal.
        self.store.remove_server(&old.stand.name);
        old.left = Some(Instant::now());
        old.is_removed = true;
        lock(&self.retired).push(old);
        Ok(())
    }

    /// The server's process is killed, another takes its place, and its entry expires after this time. Where engines
    /// take time to load weights, the other one has the weights of the killed one.
    pub(crate) async fn kill_server(&self, number: usize, expires: Duration) -> io::Result<()> {
        let mut old = self.server(number);
        let weights = if self.has_weights { old.stand.weights() } else { FIRST_WEIGHTS };
        let new = self.start_server(old.service, number, old.version, weights).await?;
        old.proxies.iter().for_each(LoopbackProxy::close);
        old.stand.kill().await;
        old.left = Some(Instant::now());
        old.is_removed = true;
        lock(&self.servers)[number] = new;
        let name = old.stand.name.clone();
        lock(&self.retired).push(old);
        sleep(expires).await;
        self.store.remove_server(&name);
        Ok(())
    }

    /// Another server takes the place of one that has crashed, unless it has one already. Returns the name of the
    /// crashed one, whose entry expires later.
    pub(crate) async fn succeed_crashed(
        &self,
        place: usize,
        name: &str,
    ) -> io::Result<Option<String>> {
        let mut old = self.server(place);
        if old.stand.name != name {
            return Ok(None);
        }
        let new = self.start_server(old.service, place, old.version, FIRST_WEIGHTS).await?;
        old.left = Some(Instant::now());
        old.is_removed = true;
        lock(&self.servers)[place] = new;
        lock(&self.retired).push(old);
        Ok(Some(name.to_owned()))
    }

    /// Writes the current servers' entries again.
    pub(crate) fn write_heartbeats(&self) {
        let servers = lock(&self.servers);
        servers.iter().for_each(|server| self.list(server, "ready"));
    }

    /// Operators name a version that is newer by this number, or the newest one again.
    pub(crate) fn name_weights(&self, step: u64) {
        let mut word = self.word();
        word.weights += step;
        let version = word.weights;
        self.store.publish_weights(version);
        if 0 < step {
            word.named.push(NamedWeights { version, at: Instant::now() });
        }
    }

    /// Operators and servers write again what the store may have lost.
    pub(crate) fn write_again(&self) {
        let word = self.word().clone();
        self.store.put_config(&word.config);
        self.store.publish_weights(word.weights);
        for server in self.all_servers() {
            if server.is_removed {
                self.store.remove_server(&server.stand.name);
                continue;
            }
            let stage = if server.left.is_some() { "draining" } else { "ready" };
            self.list(&server, stage);
        }
    }

    /// What operators have written.
    pub(crate) fn word(&self) -> MutexGuard<'_, OperatorWord> {
        lock(&self.word)
    }

    /// Planned stops so far.
    pub(crate) fn stops(&self) -> Vec<PlannedStop> {
        lock(&self.stops).clone()
    }

    /// Kills a router's process and starts another after a pause.
    pub(crate) async fn kill(&self, router: usize, pause: Duration) -> io::Result<()> {
        let router = &self.routers[router];
        let _restart = router.restart.lock().await;
        router.callers.set_target(None);
        if let Some(old) = router.take_process() {
            old.end();
        }
        sleep(pause).await;
        router.start_process().await
    }

    /// Stops a router's process as planned and starts another.
    pub(crate) async fn terminate(&self, number: usize) -> io::Result<()> {
        let router = &self.routers[number];
        let _restart = router.restart.lock().await;
        let old = lock(&router.process).clone();
        if let Some(old) = old {
            let (start, from) = (router.start(), Instant::now());
            old.signal(Signal::SIGTERM)?;
            let status = old.ended(STOP_GRACE + STOP_ALLOWANCE).await;
            let is_clean = status.is_some_and(|status| status.success());
            let until = Instant::now();
            lock(&self.stops).push(PlannedStop { router: number, start, from, until, is_clean });
            router.take_process();
        }
        router.start_process().await
    }

    /// Sends a signal to a router's process, if there is one.
    pub(crate) fn signal(&self, router: usize, signal: Signal) -> io::Result<()> {
        let process = lock(&self.routers[router].process).clone();
        process.map_or(Ok(()), |process| process.signal(signal))
    }
}

impl SoakRouter {
    /// Number of the process that runs, or ran last.
    pub(crate) fn start(&self) -> usize {
        self.start.load(Ordering::Relaxed)
    }

    async fn start_process(&self) -> io::Result<()> {
        let start = self.start.fetch_add(1, Ordering::Relaxed) + 1;
        let new = RouterProcess::start(&self.spec, start).await?;
        self.callers.set_target(Some(new.callers));
        *lock(&self.process) = Some(Arc::new(new));
        Ok(())
    }

    /// The process that runs, if any.
    pub(crate) fn process(&self) -> Option<Arc<RouterProcess>> {
        lock(&self.process).clone()
    }

    fn take_process(&self) -> Option<Arc<RouterProcess>> {
        lock(&self.process).take()
    }
}

fn first_config() -> ConfigText {
    let mut single = ConfigText::route("/single/", "stream", "engines");
    single["resumable"] = json!(false);
    ConfigText {
        version: 1,
        routes: vec![
            ConfigText::route("/look/", "idempotent", "desk"),
            ConfigText::route("/charge/", "non_idempotent", "desk"),
            ConfigText::route("/chat/", "stream", "engines"),
            single,
        ],
        teams: vec![("red", SHARED_KEY), ("walled", ISOLATED_KEY), ("gone", TAKEN_KEY)],
        isolated: vec!["walled"],
        quotas: Vec::new(),
    }
}

/// The address of loopback at which a router with a link of its own finds the servers.
pub(crate) fn loopback(router: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, 1 + router as u8)
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
