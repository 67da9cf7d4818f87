//! Callers whose prompts share a part that crashes the engines which run them, and others that share all but it.

use std::io;
use std::time::Duration;

use fulmargate_consortium_stand::CallerChannel;
use fulmargate_consortium_stand::CallerRequest;
use futures_util::future::join_all;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::crashing_caller::BACK_TIME;
use crate::crashing_caller::replace_crashed;
use crate::soak_world::DESKS;
use crate::soak_world::ENGINES;
use crate::soak_world::PART_ENGINES;
use crate::soak_world::SHARED_KEY;
use crate::soak_world::SoakWorld;

/// Callers that send the guilty part, each prompt once.
const GUILTY_CALLERS: usize = 2;
/// Callers that send the other parts.
const SOUND_CALLERS: usize = 3;
/// Parts of which each sound prompt has one, after the common one.
const SOUND_PARTS: usize = 5;
const SEND_PAUSE: Duration = Duration::from_millis(150);
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Error of a request that crashes servers, in the body of its rejection.
const CRASHING_CODE: &str = "crashing_request";

/// A caller's prompts.
#[derive(Clone, Copy)]
enum PartSource {
    Guilty,
    Sound,
}

/// The part that crashes engines, by number.
pub(crate) fn crashing_part(number: u32) -> String {
    format!("/crash-part-{number}")
}

/// Sends prompts by all routers in turn, and gives engines that crash a successor.
pub(crate) async fn play_crashing_part(
    world: &SoakWorld,
    number: u32,
    lasts: Duration,
) -> io::Result<()> {
    let until = Instant::now() + lasts;
    let guilty = (0..GUILTY_CALLERS)
        .map(|caller| send_until(world, number, caller, PartSource::Guilty, until));
    let sound = (0..SOUND_CALLERS)
        .map(|caller| send_until(world, number, caller, PartSource::Sound, until));
    let places = DESKS..DESKS + ENGINES + PART_ENGINES;
    let engines = places.map(|place| replace_crashed(world, place, until + BACK_TIME));
    let (_guilty, _sound, replaced) =
        tokio::join!(join_all(guilty), join_all(sound), join_all(engines));
    replaced.into_iter().collect()
}

async fn send_until(
    world: &SoakWorld,
    number: u32,
    caller: usize,
    source: PartSource,
    until: Instant,
) {
    let common = format!("common-{number}");
    let mut turn = 0;
    while Instant::now() < until {
        let router = (caller + turn) % world.routers.len();
        turn += 1;
        let (label, part) = match source {
            PartSource::Guilty => ("g", crashing_part(number)),
            PartSource::Sound => ("s", format!("sound-{number}-{}", turn % SOUND_PARTS)),
        };
        let id = format!("r{router}-{label}{number}-{caller}-{turn}");
        let mut request =
            CallerRequest::prompt("/chat/x", &id).with_prompt_parts(&[&common, &part, &id]);
        request.patience_ms = PATIENCE.as_millis() as u64;
        request.key = Some(SHARED_KEY);
        let address = world.routers[router].callers.address;
        if let Ok(mut channel) = CallerChannel::open(address).await
            && let Ok(Ok(response)) = timeout(PATIENCE, channel.send(&request)).await
            && matches!(source, PartSource::Sound)
            && response.body.contains(CRASHING_CODE)
        {
            world.record_refused_sound(id);
        }
        sleep(SEND_PAUSE).await;
    }
}
