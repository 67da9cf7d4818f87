//! Callers whose request crashes the servers that run it.

use std::io;
use std::time::Duration;

use fulmargate_consortium_stand::CallerChannel;
use fulmargate_consortium_stand::CallerRequest;
use fulmargate_consortium_stand::CrashEnd;
use fulmargate_consortium_stand::CrashRule;
use fulmargate_consortium_stand::LoopbackProxy;
use futures_util::future::join_all;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::soak_world::DESKS;
use crate::soak_world::SHARED_KEY;
use crate::soak_world::SoakWorld;

/// How servers crash.
pub(crate) const CRASH_RULE: CrashRule =
    CrashRule { marker: "/crash-", delay: Duration::from_millis(30), end: CrashEnd::BeforeHead };
/// Callers that send the same request at the same time.
const CALLERS: usize = 3;
const RESEND_PAUSE: Duration = Duration::from_millis(100);
const PATIENCE: Duration = Duration::from_millis(1_500);
/// How often servers are watched.
const WATCH_INTERVAL: Duration = Duration::from_millis(2);
/// Time after which another server takes the place of one that has crashed.
pub(crate) const BACK_TIME: Duration = Duration::from_millis(700);
/// Time after which the entry of a crashed server expires: three heartbeats.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3_600);

/// The path of a crashing request, by number.
pub(crate) fn crashing_path(number: u32) -> String {
    format!("/look/crash-{number}")
}

/// Sends the request by all routers in turn, and gives servers that crash a successor.
pub(crate) async fn play_crashing_request(
    world: &SoakWorld,
    number: u32,
    lasts: Duration,
) -> io::Result<()> {
    let until = Instant::now() + lasts;
    let callers = (0..CALLERS).map(|caller| send_until(world, number, caller, until));
    let servers = (0..DESKS).map(|place| replace_crashed(world, place, until + BACK_TIME));
    let (_sent, replaced) = tokio::join!(join_all(callers), join_all(servers));
    replaced.into_iter().collect()
}

async fn send_until(world: &SoakWorld, number: u32, caller: usize, until: Instant) {
    let mut turn = 0;
    while Instant::now() < until {
        let router = (caller + turn) % world.routers.len();
        turn += 1;
        let id = format!("r{router}-x{number}-{caller}-{turn}");
        let mut request = CallerRequest::new(&crashing_path(number), &id);
        request.patience_ms = PATIENCE.as_millis() as u64;
        request.key = Some(SHARED_KEY);
        let address = world.routers[router].callers.address;
        if let Ok(mut channel) = CallerChannel::open(address).await {
            let _response = timeout(PATIENCE, channel.send(&request)).await;
        }
        sleep(RESEND_PAUSE).await;
    }
}

/// Watches one place, and gives a server that has crashed a successor.
pub(crate) async fn replace_crashed(
    world: &SoakWorld,
    place: usize,
    until: Instant,
) -> io::Result<()> {
    let mut expiries = Vec::new();
    while Instant::now() < until {
        let server = world.server(place);
        if server.stand.has_crashed() {
            // A process that is gone refuses connections; its proxies would take them.
            server.proxies.iter().for_each(LoopbackProxy::close);
            sleep(BACK_TIME).await;
            let Some(old) = world.succeed_crashed(place, &server.stand.name).await? else {
                continue;
            };
            let store = world.store.clone();
            expiries.push(tokio::spawn(async move {
                sleep(ENTRY_EXPIRY.saturating_sub(BACK_TIME)).await;
                store.remove_server(&old);
            }));
        }
        sleep(WATCH_INTERVAL).await;
    }
    for expiry in expiries {
        expiry.await.map_err(io::Error::other)?;
    }
    Ok(())
}
