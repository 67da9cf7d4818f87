//! The cases: what happens in which order, and what the consumers must see.

use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::consumer::{ask, Answer};
use crate::deployment::Deployment;
use crate::http::{call, BodyEnd};
use crate::replica::Shape;

pub const ROUTERS: usize = 3;
/// Events of a whole stream.
const EVENTS: u32 = 40;
/// One answer in 20 has neither a length nor chunks.
const FEW_UNFRAMED: Shape = Shape { events: EVENTS, unframed_every: 20 };
/// No answer has a length or chunks.
const ALL_UNFRAMED: Shape = Shape { events: EVENTS, unframed_every: 1 };
const STREAMS: u64 = 480;
/// The streams begin within this time.
const RAMP: Duration = Duration::from_millis(2_400);

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Starts consumers, spread over the routers and the time.
fn start_streams(deployment: &Deployment, path: &'static str) -> Vec<JoinHandle<Answer>> {
    let routers: Vec<SocketAddr> = deployment.routers.iter().map(|router| router.callers).collect();
    let begun = Instant::now();
    let start = |number: u64| {
        let router = routers[number as usize % routers.len()];
        let at = begun + RAMP.mul_f64(number as f64 / STREAMS as f64);
        let consumer = move || {
            std::thread::sleep(at.saturating_duration_since(Instant::now()));
            let prompt = format!("{number:08x}:200,5{number:07x}:100,6{number:07x}:100");
            ask(router, path, &format!("q{number:04}"), &prompt)
        };
        std::thread::Builder::new().stack_size(256 << 10).spawn(consumer)
    };
    (0..STREAMS).filter_map(|number| start(number).ok()).collect()
}

/// Writes the record and returns whether the rule held.
fn judge(
    deployment: &Deployment,
    dir: &str,
    told: &str,
    consumers: Vec<JoinHandle<Answer>>,
) -> io::Result<bool> {
    let answers: Vec<Answer> =
        consumers.into_iter().map(|consumer| consumer.join().unwrap()).collect();
    let mut record = told.to_owned();
    let false_ends: Vec<&Answer> = answers
        .iter()
        .filter(|answer| answer.looks_complete() && !answer.is_whole(EVENTS))
        .collect();
    let count = |is: &dyn Fn(&Answer) -> bool| answers.iter().filter(|answer| is(answer)).count();
    let whole = count(&|answer| answer.looks_complete() && answer.is_whole(EVENTS));
    let broken = count(&|answer| answer.status == 200 && answer.end != BodyEnd::Complete);
    let _ = writeln!(record, "streams sent: {}, whole: {whole}, seen to be broken off: {broken}, other: {}, \
        ended as complete before the last piece: {}", answers.len(),
        answers.len() - whole - broken - false_ends.len(), false_ends.len());
    for answer in &false_ends {
        let _ = writeln!(record, "RULE BROKEN: {} got 200, {} of {EVENTS} events, and the end of a complete answer",
            answer.id, answer.events.len());
        let needle = format!("\"id\":\"{}\"", answer.id);
        for router in &deployment.routers {
            let log = deployment.log(&router.name);
            for line in log.lines().filter(|line| line.contains(&needle)) {
                let _ = writeln!(record, "  {}: {line}", router.name);
            }
        }
        for replica in &deployment.replicas {
            let log = deployment.log(&replica.name);
            for line in log.lines().filter(|line| line.contains(&answer.id)) {
                let _ = writeln!(record, "  {}: {line}", replica.name);
            }
        }
    }
    record.push_str("all answers (id, status, events, end, ms):\n");
    for answer in &answers {
        let end = match &answer.end {
            BodyEnd::Complete => "complete",
            BodyEnd::Broken(reason) => reason,
        };
        let _ = writeln!(record, "{} {} {} {end} {}", answer.id, answer.status, answer.events.len(),
            answer.took.as_millis());
    }
    record.push_str("runs at the replicas:\n");
    for replica in &deployment.replicas {
        for line in deployment.log(&replica.name).lines() {
            let _ = writeln!(record, "{} {line}", replica.name);
        }
    }
    std::fs::write(Path::new(dir).join("record.txt"), record)?;
    if whole == 0 {
        return Err(io::Error::other("no stream was served"));
    }
    Ok(false_ends.is_empty())
}

/// Three of twelve replicas crash at once while streams run there.
pub fn crash_of_three(dir: &str) -> io::Result<bool> {
    let mut deployment = Deployment::start(ROUTERS, FEW_UNFRAMED)?;
    let consumers = start_streams(&deployment, "/tag/2f");
    std::thread::sleep(RAMP + Duration::from_millis(700));
    let mut told = String::new();
    if has_trouble() {
        // CRASHED: other replicas, for comparison.
        let names = std::env::var("CRASHED").unwrap_or("i-00 i-01 i-02".to_owned());
        for name in names.split(' ') {
            deployment.crash_replica(name)?;
        }
        let _ = writeln!(told, "{names} of 12 replicas crashed at once");
    }
    judge(&deployment, dir, &told, consumers)
}

/// Three of twelve replicas crash, one at a time, while streams run there.
pub fn single_crashes(dir: &str) -> io::Result<bool> {
    let mut deployment = Deployment::start(ROUTERS, ALL_UNFRAMED)?;
    let consumers = start_streams(&deployment, "/tag/2f");
    std::thread::sleep(RAMP - Duration::from_millis(400));
    let mut told = String::new();
    if has_trouble() {
        for name in ["i-05", "i-07", "i-11"] {
            deployment.crash_replica(name)?;
            std::thread::sleep(Duration::from_millis(600));
        }
        told.push_str("i-05, i-07 and i-11 of 12 replicas crashed, 0.6 s apart\n");
    }
    judge(&deployment, dir, &told, consumers)
}

/// A replica reports that it leaves, and exits 2.1 s after the store has accepted that.
pub fn leaving(dir: &str) -> io::Result<bool> {
    let mut deployment = Deployment::start(ROUTERS, FEW_UNFRAMED)?;
    let consumers = start_streams(&deployment, "/tag/2f");
    std::thread::sleep(RAMP - Duration::from_millis(600));
    let mut told = String::new();
    if has_trouble() {
        let address = deployment.replicas[5].address;
        call(address, "POST", "/stand/drain", b"")?;
        std::thread::sleep(Duration::from_millis(2_100));
        deployment.crash_replica("i-05")?;
        told.push_str("i-05 of 12 replicas reported draining and was gone 2.1 s after the store had accepted that\n");
    }
    judge(&deployment, dir, &told, consumers)
}
