//! The case of a part of prompts that crashes each replica.

use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::cases::{has_trouble, ROUTERS};
use crate::consumer::{ask, Answer};
use crate::deployment::Deployment;
use crate::replica::{Shape, POISON_PART};

/// Streams of three seconds, none of which has a length or chunks.
const SHAPE: Shape = Shape { events: 30, unframed_every: 1 };
/// Prompts with the part, from 6 s on, for 14 s.
const POISON_PER_S: u64 = 10;
const POISON_FROM: Duration = Duration::from_secs(6);
const POISON_SECONDS: u64 = 14;
/// Sound prompts, for 20 s.
const SOUND_PER_S: u64 = 50;
const SOUND_SECONDS: u64 = 20;
const LENGTH: Duration = Duration::from_secs(24);
/// A replica that has crashed is back after this time, under a new name and at a new address.
const REPLICA_BACK: Duration = Duration::from_secs(5);
/// `contactMs` of the site.
const CONTACT_MS: u64 = 3_000;
const MAX_LATE: usize = 3;

/// A request with the part at a replica.
struct PoisonRun {
    at: u64,
    line: String,
}

/// Prompts with one part crash each replica that begins to answer them.
pub fn poisoned_part(dir: &str) -> io::Result<bool> {
    // FRAMED=1: all answers in chunks, for comparison.
    let is_framed = std::env::var("FRAMED").is_ok_and(|value| value == "1");
    let unframed_every = if is_framed { u64::MAX } else { SHAPE.unframed_every };
    let mut deployment = Deployment::start(ROUTERS, Shape { unframed_every, ..SHAPE })?;
    let routers: Vec<SocketAddr> = deployment.routers.iter().map(|router| router.callers).collect();
    let begun = Instant::now();
    let mut poison = Vec::new();
    if has_trouble() {
        for number in 0..POISON_PER_S * POISON_SECONDS {
            let at = begun + POISON_FROM + Duration::from_millis(number * 1_000 / POISON_PER_S);
            let prompt = format!("{:08x}:100,{POISON_PART}:200,aa{number:06x}:100", number % 4);
            poison.push(send_at(at, routers[number as usize % routers.len()], format!("p{number:04}"), prompt));
        }
    }
    let mut sound = Vec::new();
    for number in 0..SOUND_PER_S * SOUND_SECONDS {
        let at = begun + Duration::from_millis(number * 1_000 / SOUND_PER_S);
        let prompt = format!("{:08x}:100,{:08x}:200,bb{number:06x}:100", number % 4, 0x1000 + number % 60);
        sound.push(send_at(at, routers[number as usize % routers.len()], format!("s{number:04}"), prompt));
    }
    while begun.elapsed() < LENGTH {
        deployment.replace_ended(REPLICA_BACK)?;
        std::thread::sleep(Duration::from_millis(20));
    }
    let poison: Vec<Answer> = poison.into_iter().map(|consumer| consumer.join().unwrap()).collect();
    let sound: Vec<Answer> = sound.into_iter().map(|consumer| consumer.join().unwrap()).collect();
    judge(&deployment, dir, &poison, &sound)
}

fn send_at(at: Instant, router: SocketAddr, id: String, prompt: String) -> JoinHandle<Answer> {
    let consumer = move || {
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
        ask(router, "/tag/2f", &id, &prompt)
    };
    std::thread::Builder::new().stack_size(256 << 10).spawn(consumer).expect("a thread")
}

/// Writes the record and returns whether the rule held.
fn judge(deployment: &Deployment, dir: &str, poison: &[Answer], sound: &[Answer]) -> io::Result<bool> {
    let (crashes, runs) = read_runs(deployment);
    let fifth = crashes.get(4).copied();
    let is_late = |run: &&PoisonRun| fifth.is_some_and(|fifth| fifth + CONTACT_MS < run.at);
    let late = runs.iter().filter(is_late).count();
    let whole = |answer: &&Answer| answer.looks_complete() && answer.is_whole(SHAPE.events);
    let cut = |answer: &&Answer| answer.looks_complete() && !answer.is_whole(SHAPE.events);
    let served = sound.iter().filter(whole).count();
    let mut record = String::new();
    let _ = writeln!(record, "prompts with the part: {}, of which reached replicas: {}, replicas crashed: {}",
        poison.len(), runs.len(), crashes.len());
    let _ = writeln!(record, "reached replicas later than {CONTACT_MS} ms after the fifth crash: {late}, allowed: {MAX_LATE}");
    let _ = writeln!(record, "sound prompts: {}, served whole: {served}, ended as complete before the last piece: {}; \
        prompts with the part that ended as complete: {}", sound.len(), sound.iter().filter(cut).count(),
        poison.iter().filter(|answer| answer.looks_complete()).count());
    let first = crashes.first().copied().unwrap_or_default();
    record.push_str("requests with the part at replicas (ms after the first crash, replica, run):\n");
    for run in &runs {
        let _ = writeln!(record, "{} {}", run.at as i64 - first as i64, run.line);
    }
    record.push_str("answers (id, status, events, end):\n");
    for answer in poison.iter().chain(sound) {
        let _ = writeln!(record, "{} {} {} {:?}", answer.id, answer.status, answer.events.len(), answer.end);
    }
    record.push_str("what routers found at the end of the answers to prompts with the part:\n");
    for router in &deployment.routers {
        for line in deployment.log(&router.name).lines().filter(|line| line.contains("\"id\":\"p")) {
            if line.contains("\"server_check\"") {
                let _ = writeln!(record, "{}: {line}", router.name);
            }
        }
    }
    record.push_str("all runs at the replicas (ms since 1970, run or its end):\n");
    for replica in &deployment.replicas {
        for line in deployment.log(&replica.name).lines() {
            let _ = writeln!(record, "{} {line}", replica.name);
        }
    }
    std::fs::write(Path::new(dir).join("record.txt"), record)?;
    if served == 0 {
        return Err(io::Error::other("no sound prompt was served"));
    }
    Ok(late <= MAX_LATE)
}

/// Times of the crashes, and the requests with the part, in order.
fn read_runs(deployment: &Deployment) -> (Vec<u64>, Vec<PoisonRun>) {
    let (mut crashes, mut runs) = (Vec::new(), Vec::new());
    for replica in &deployment.replicas {
        for line in deployment.log(&replica.name).lines() {
            let Some((at, what)) = line.split_once(' ') else { continue };
            let Ok(at) = at.parse() else { continue };
            if what == "crash" {
                crashes.push(at);
            } else if what.ends_with("poison") {
                runs.push(PoisonRun { at, line: format!("{} {what}", replica.name) });
            }
        }
    }
    crashes.sort_unstable();
    runs.sort_by_key(|run| run.at);
    (crashes, runs)
}
