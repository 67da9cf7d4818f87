//! One run of a seed, from start to verdict.

use std::fs;
use std::io;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::BrokenPromise;
use crate::FaultPlan;
use crate::JudgedCount;
use crate::fault_player::play;
use crate::judge::RunEvidence;
use crate::judge::SoakJudge;
use crate::rough_clients;
use crate::rough_clients::play_rough_clients;
use crate::rough_clients::watch_memory;
use crate::router_process::ROUTER_MEMORY_MB;
use crate::soak_caller::SharedRecords;
use crate::soak_caller::SoakCaller;
use crate::soak_world::DESKS;
use crate::soak_world::ENGINES;
use crate::soak_world::SoakWorld;
use crate::soak_world::VERSION_ENGINES;
use crate::soak_world::WEIGHTS_ENGINES;
use crate::soak_world::lock;
use crate::version_caller::SharedStreams;
use crate::version_caller::VersionCaller;

/// Callers of each router.
const CALLERS: usize = 4;
/// The same where servers are to be crowded.
const CROWDING_CALLERS: usize = 20;
/// The same where series of weights are played, or one router takes all connections.
const WEIGHTS_CALLERS: usize = 8;
/// Callers of streams of several versions, for each router.
const VERSION_CALLERS: usize = 6;
/// Callers begin when the routers have read their configuration.
const START_PAUSE: Duration = Duration::from_millis(800);
/// After the last fault: a lease of 3 s runs out, another holder brings the engines up; a server that
/// was thought gone is tried again within 1.6 s.
const SETTLE_TIME: Duration = Duration::from_secs(6);
/// Requests that must all be served.
const CALM_TIME: Duration = Duration::from_secs(2);

/// Interval of the servers' heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// Servers whose answers pause as a link of a host becomes full: twice those that stream, which are cut
/// more often than plain calls are given up.
const PAUSED: [Range<usize>; 3] = [DESKS..DESKS + ENGINES, DESKS..DESKS + ENGINES, 0..DESKS];

/// What a run needs.
#[derive(Clone, Debug)]
pub struct SoakConf {
    /// The daemon's program.
    pub program: PathBuf,
    /// Folder for settings and logs of the run.
    pub folder: PathBuf,
    /// Time within which faults begin.
    pub length: Duration,
    /// What is drawn.
    pub kind: PlanKind,
    /// Whether routers are not disturbed while hosts are cut off and servers brittle, so that all of it is judged.
    pub is_calm: bool,
    /// Number of routers.
    pub routers: usize,
}

/// What a seed is drawn for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanKind {
    /// Any faults.
    Mixed,
    /// Any faults, and a key that is taken while a router is cut off from the store.
    CutOff,
    /// Any faults, and a store that comes back from copies of itself.
    Restore,
    /// Any faults, and servers that leave while routers are cut off from the store or paused.
    Departures,
    /// Any faults, and servers that name limits.
    Limits,
    /// Any faults, and responses that are framed and ended in all ways, also by the end of their server.
    ResponseEnds,
    /// Any faults, and links of hosts that are full while answers pause.
    FullLink,
    /// Any faults, and hosts that reach no server.
    HostCuts,
    /// Any faults, and requests that crash the servers which run them.
    CrashingRequests,
    /// Any faults, and parts of prompts that crash the engines which run them.
    CrashingParts,
    /// These, and hosts that reach no server.
    PartsBesideCuts,
    /// Requests that crash servers, and hosts that reach none.
    CrashesBesideCuts,
    /// Any faults, and servers that fall over when they reject too much, under more load.
    Brittle,
    /// Any faults, and a host that takes all new connections while servers are brittle.
    CrowdedHosts,
    /// Any faults, and engines of several software versions whose streams are taken up.
    Versions,
    /// Any faults, and clients that do not keep to the protocol, beside routers with little memory.
    RoughClients,
    /// Any faults, and entries that no server has written, before all routers are killed.
    ForeignEntries,
    /// Any faults, and series of weights versions while routers are stopped and killed.
    Weights,
}

/// How a run ended.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// What went wrong.
    pub plan: FaultPlan,
    /// Requests sent.
    pub requests: usize,
    /// Those that were answered well.
    pub served: usize,
    /// What could be judged.
    pub judged: JudgedCount,
    /// Promises that were not kept.
    pub broken: Vec<BrokenPromise>,
}

/// Runs a seed. Logs stay in the folder if a promise was broken.
pub async fn run_seed(seed: u64, conf: &SoakConf) -> io::Result<SoakReport> {
    let routers = conf.routers;
    let mixed = FaultPlan::draw(seed, routers, DESKS + ENGINES, conf.length);
    let plan = match conf.kind {
        PlanKind::Mixed | PlanKind::RoughClients => mixed,
        PlanKind::CutOff => mixed.with_cut_off(routers),
        PlanKind::Restore => mixed.with_restores(routers, conf.length),
        PlanKind::Departures => mixed.with_departures(routers, DESKS + ENGINES, conf.length),
        PlanKind::Limits => mixed.with_limits(DESKS + ENGINES, conf.length),
        PlanKind::ResponseEnds => mixed.with_response_ends(DESKS, ENGINES, conf.length),
        PlanKind::HostCuts => mixed.with_host_cuts(routers, conf.length),
        PlanKind::CrashingRequests => mixed.with_crashing_requests(conf.length),
        PlanKind::CrashesBesideCuts => {
            mixed.with_host_cuts(routers, conf.length).with_crashing_requests(conf.length)
        }
        PlanKind::CrashingParts => mixed.with_crashing_parts(conf.length),
        PlanKind::PartsBesideCuts => {
            mixed.with_host_cuts(routers, conf.length).with_crashing_parts(conf.length)
        }
        PlanKind::Brittle => mixed.with_brittle_servers(conf.length),
        PlanKind::CrowdedHosts => {
            let others = if conf.is_calm { mixed.without_disturbances() } else { mixed };
            others.with_crowded_hosts(routers, conf.length)
        }
        PlanKind::Versions => {
            let engines = DESKS..DESKS + ENGINES + VERSION_ENGINES;
            mixed.with_versions(engines, conf.length)
        }
        PlanKind::Weights => {
            let engines = DESKS..DESKS + ENGINES + WEIGHTS_ENGINES;
            let others = if conf.is_calm { mixed.without_disturbances() } else { mixed };
            others.with_weights(engines, conf.length)
        }
        PlanKind::ForeignEntries => mixed.with_foreign_entries(conf.length),
        PlanKind::FullLink => mixed.with_full_links(routers, &PAUSED, conf.length),
    };
    let plan = if conf.is_calm { plan.with_calm_times() } else { plan };
    let folder = conf.folder.join(format!("seed-{seed}"));
    fs::create_dir_all(&folder)?;
    let memory_mb = match conf.kind {
        PlanKind::RoughClients => rough_clients::ROUTER_MEMORY_MB,
        _ => ROUTER_MEMORY_MB,
    };
    let world = SoakWorld::start(&plan, &conf.program, folder.clone(), memory_mb).await?;
    let world = Arc::new(world);
    sleep(START_PAUSE).await;
    let records = SharedRecords::default();
    let stop = watch::Sender::new(false);
    let callers_per_router = match conf.kind {
        PlanKind::Brittle => CROWDING_CALLERS,
        PlanKind::Weights | PlanKind::CrowdedHosts => WEIGHTS_CALLERS,
        _ => CALLERS,
    };
    let callers = start_callers(&world, &records, seed, callers_per_router, &stop);
    let streams = SharedStreams::default();
    let version_callers = start_version_callers(&world, &streams, seed, &stop);
    // Seeds of the other kinds were found without heartbeats.
    let mut heartbeats = JoinSet::new();
    if matches!(
        conf.kind,
        PlanKind::Departures
            | PlanKind::ResponseEnds
            | PlanKind::Versions
            | PlanKind::Weights
            | PlanKind::ForeignEntries
    ) {
        heartbeats.spawn(write_heartbeats(world.clone()));
    }
    let mut crowds = JoinSet::new();
    let mut memory = JoinSet::new();
    if conf.kind == PlanKind::RoughClients {
        crowds.spawn(play_rough_clients(world.clone(), seed));
        memory.spawn(watch_memory(world.clone()));
    }
    play(&world, &plan).await?;
    crowds.shutdown().await;
    sleep(SETTLE_TIME).await;
    let recovered = Instant::now();
    sleep(CALM_TIME).await;
    stop.send_replace(true);
    join_all(callers).await;
    join_all(version_callers).await;
    heartbeats.shutdown().await;
    memory.shutdown().await;
    let records = std::mem::take(&mut *lock(&records));
    let served = records.iter().filter(|record| record.is_served()).count();
    let requests = records.len();
    let evidence = RunEvidence {
        records,
        streams: std::mem::take(&mut *lock(&streams)),
        routers,
        servers: world.all_servers(),
        spans: world.log.spans(),
        stops: world.stops(),
        limits: world.limits(),
        refused_sound: world.refused_sound(),
        brittle_times: world.brittle_times(),
        excesses: world.excesses(),
        word: world.word().clone(),
        weights_bound: plan.weights_bound,
        recovered,
    };
    let (broken, judged) = SoakJudge::judge(&evidence);
    drop(world);
    if broken.is_empty() {
        fs::remove_dir_all(&folder)?;
    }
    Ok(SoakReport { plan, requests, served, judged, broken })
}

async fn write_heartbeats(world: Arc<SoakWorld>) {
    loop {
        sleep(HEARTBEAT_INTERVAL).await;
        world.write_heartbeats();
    }
}

/// Callers that take up their streams, if engines run several software versions.
fn start_version_callers(
    world: &Arc<SoakWorld>,
    streams: &SharedStreams,
    seed: u64,
    stop: &watch::Sender<bool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let count = if world.has_versions { VERSION_CALLERS * world.routers.len() } else { 0 };
    let caller = |number: usize| VersionCaller {
        world: world.clone(),
        streams: streams.clone(),
        number,
        seed,
    };
    (0..count).map(|number| tokio::spawn(caller(number).run(stop.subscribe()))).collect()
}

fn start_callers(
    world: &Arc<SoakWorld>,
    records: &SharedRecords,
    seed: u64,
    callers_per_router: usize,
    stop: &watch::Sender<bool>,
) -> Vec<tokio::task::JoinHandle<()>> {
    let caller = |number: usize| SoakCaller {
        world: world.clone(),
        records: records.clone(),
        router: number % world.routers.len(),
        number,
        seed,
    };
    let start = |number: usize| tokio::spawn(caller(number).run(stop.subscribe()));
    (0..callers_per_router * world.routers.len()).map(start).collect()
}
