//! Does what a plan says.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use fulmargate_consortium_stand::BrittleRule;
use fulmargate_consortium_stand::ConfigText;
use fulmargate_consortium_stand::FakeServer;
use fulmargate_consortium_stand::LinkFault;
use fulmargate_consortium_stand::LinkLoad;
use fulmargate_consortium_stand::LoopbackProxy;
use fulmargate_consortium_stand::OrderHandling;
use fulmargate_consortium_stand::ServerMode;
use fulmargate_consortium_stand::StoreFault;
use futures_util::future::join_all;
use nix::sys::signal::Signal;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::FaultPlan;
use crate::FaultStep;
use crate::LinkPlace;
use crate::RouterSignal;
use crate::SoakFault;
use crate::crashing_caller::play_crashing_request;
use crate::crashing_part_caller::play_crashing_part;
use crate::foreign_plan::write_foreign_entries;
use crate::soak_world::BrittleTime;
use crate::soak_world::DESKS;
use crate::soak_world::SeenLimit;
use crate::soak_world::SoakWorld;
use crate::soak_world::TAKEN_KEY;

/// How long the store is away before it comes back from a copy.
const STORE_AWAY: Duration = Duration::from_millis(400);
/// Time after the first response with a limit from which it is judged, and the span over which it is.
const LIMIT_LEARNING_TIME: Duration = Duration::from_millis(500);
pub(crate) const LIMIT_SPAN: Duration = Duration::from_secs(4);
/// Requests that a brittle server takes at the same time: its slots in the list.
const BRITTLE_ROOM: usize = 8;
/// Time after which routers that are in touch know that servers are brittle.
const BRITTLE_LEARNING_TIME: Duration = Duration::from_secs(3);
/// Operators and servers write again so long after its return.
const WRITE_AGAIN: Duration = Duration::from_millis(500);

/// Plays all steps, each at its time, also while others last.
pub(crate) async fn play(world: &Arc<SoakWorld>, plan: &FaultPlan) -> io::Result<()> {
    let begun = Instant::now();
    let steps = plan.steps.iter().map(|step| async move {
        sleep_until(begun + step.at).await;
        let place = world.log.begin(step.fault);
        let done = do_step(world, step).await;
        world.log.end(place);
        done
    });
    join_all(steps).await.into_iter().collect()
}

async fn do_step(world: &SoakWorld, step: &FaultStep) -> io::Result<()> {
    match step.fault {
        SoakFault::Link(place, fault) => {
            let proxies = proxies(world, place);
            proxies.iter().for_each(|proxy| proxy.set_fault(fault));
            sleep(step.lasts).await;
            proxies.iter().for_each(|proxy| proxy.set_fault(LinkFault::None));
        }
        SoakFault::FullLink(router) => {
            let link = &world.routers[router].link;
            link.set_load(LinkLoad::Full);
            sleep(step.lasts).await;
            link.set_load(LinkLoad::Free);
        }
        SoakFault::Signal(router, RouterSignal::Pause) => {
            world.signal(router, Signal::SIGSTOP)?;
            sleep(step.lasts).await;
            world.signal(router, Signal::SIGCONT)?;
        }
        SoakFault::Signal(router, RouterSignal::HangUp) => {
            world.signal(router, Signal::SIGHUP)?;
        }
        SoakFault::Signal(router, RouterSignal::Kill) => world.kill(router, step.lasts).await?,
        SoakFault::Signal(router, RouterSignal::Terminate) => world.terminate(router).await?,
        SoakFault::KillAll => {
            let kills = (0..world.routers.len()).map(|router| world.kill(router, step.lasts));
            join_all(kills).await.into_iter().collect::<io::Result<()>>()?;
        }
        SoakFault::Store(fault) => {
            world.store.set_fault(fault);
            sleep(step.lasts).await;
            world.store.set_fault(StoreFault::None);
        }
        SoakFault::ForgetHistory => world.store.delete_history(),
        SoakFault::RestoreStore => {
            let copy = world.store.copy();
            sleep(step.lasts).await;
            world.store.go_back_to(&copy);
            sleep(STORE_AWAY).await;
            world.store.come_back();
            sleep(WRITE_AGAIN).await;
            world.write_again();
        }
        SoakFault::Server(number, mode) => {
            let server = world.server(number);
            server.stand.set_mode(mode);
            sleep(step.lasts).await;
            server.stand.set_mode(ServerMode::Echo);
        }
        SoakFault::ServerLimit(number, tenths) => {
            let stand = world.server(number).stand;
            let rate = f64::from(tenths) / 10.0;
            stand.set_limit(Some(&rate.to_string()));
            sleep(step.lasts).await;
            let log = stand.arrivals().after_limit(LIMIT_LEARNING_TIME);
            let most = log.max_in(LIMIT_SPAN);
            world.record_limit(SeenLimit { server: stand.name.clone(), rate, most });
            stand.set_limit(None);
        }
        SoakFault::CutHost(router, cut) => {
            world.cut_host(router, Some(cut));
            sleep(step.lasts).await;
            world.cut_host(router, None);
        }
        SoakFault::Brittle(rejections_per_s) => {
            play_brittle(world, rejections_per_s, step.lasts).await;
        }
        SoakFault::CrowdHost(router) => {
            world.crowd(Some(router));
            sleep(step.lasts).await;
            world.crowd(None);
        }
        SoakFault::CrashingRequest(number) => {
            play_crashing_request(world, number, step.lasts).await?;
        }
        SoakFault::CrashingPart(number) => {
            play_crashing_part(world, number, step.lasts).await?;
        }
        SoakFault::ReplaceServer(number) => world.replace_server(number).await?,
        SoakFault::Upgrade(number, version) => world.upgrade_server(number, version).await?,
        SoakFault::RemoveServer(number) => world.remove_server(number).await?,
        SoakFault::KillServer(number) => world.kill_server(number, step.lasts).await?,
        SoakFault::AddRoute => add_route(world),
        SoakFault::TakeKey => take_key(world),
        SoakFault::NameWeights => world.name_weights(1),
        SoakFault::NameVersion(step) => world.name_weights(step),
        SoakFault::ForeignEntries(number, shape) => write_foreign_entries(world, number, shape),
        SoakFault::EngineOrders(number, handling) => {
            let stand = world.server(number).stand;
            stand.set_order_handling(handling);
            sleep(step.lasts).await;
            stand.set_order_handling(OrderHandling::Answered);
        }
    }
    Ok(())
}

/// Makes the servers of the plain service brittle and slow, and counts their falls once routers know of it.
async fn play_brittle(world: &SoakWorld, rejections_per_s: u32, lasts: Duration) {
    let rule = BrittleRule { rejections_per_s, room: BRITTLE_ROOM };
    let desks: Vec<_> = (0..DESKS).map(|number| world.server(number).stand).collect();
    for desk in &desks {
        desk.set_mode(ServerMode::PausedEcho);
        desk.set_brittle(Some(rule));
    }
    let judged_from = Instant::now() + BRITTLE_LEARNING_TIME;
    sleep(lasts).await;
    let falls = desks.iter().flat_map(FakeServer::falls);
    let falls = falls.filter(|fall| judged_from <= fall.at).collect();
    let servers = desks.len();
    world.record_brittle_time(BrittleTime { rejections_per_s, servers, falls });
    for desk in &desks {
        desk.set_brittle(None);
        desk.set_mode(ServerMode::Echo);
    }
}

fn proxies(world: &SoakWorld, place: LinkPlace) -> Vec<LoopbackProxy> {
    match place {
        LinkPlace::Callers(router) => vec![world.routers[router].callers.clone()],
        LinkPlace::Store(router) => vec![world.routers[router].store.clone()],
        LinkPlace::Server(number) => world.server(number).proxies,
    }
}

fn add_route(world: &SoakWorld) {
    let mut word = world.word();
    word.config.version += 2;
    let version = word.config.version;
    let route = ConfigText::route(&format!("/new-{version}/"), "idempotent", "desk");
    word.config.routes.push(route);
    world.store.put_config(&word.config);
    word.routes.push((version, Instant::now()));
}

fn take_key(world: &SoakWorld) {
    let mut word = world.word();
    if word.key_taken.is_some() {
        return;
    }
    word.config.version += 2;
    word.config.teams.retain(|(_, key)| *key != TAKEN_KEY);
    world.store.put_config(&word.config);
    word.key_taken = Some(Instant::now());
}
