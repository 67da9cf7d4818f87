//! Clients whose prompts have many parts, within the limits on a head, beside ordinary ones.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::daemon::Daemon;
use crate::daemon::free_address;
use crate::http::AnswerEnd;
use crate::http::call;
use crate::server;
use crate::server::ServerConf;
use crate::server::whole_body;
use crate::store::ServerText;
use crate::store::Store;
use crate::world::Record;
use crate::world::WorkFolder;
use crate::world::config;
use crate::world::has_trouble;
use crate::world::request;

/// Parts of one prompt: with the other headers the head stays below `maxHeaderBytes`.
const PARTS: usize = 2_000;
/// Time between two requests with such prompts: 28 a second, as the sheet has of its first kind of request.
const LONG_INTERVAL: Duration = Duration::from_millis(36);
const WARM_UP: Duration = Duration::from_secs(8);
const PLAY_TIME: Duration = Duration::from_secs(30);
/// Ordinary clients at each daemon, and how often each asks.
const ORDINARY_CLIENTS: usize = 4;
const ORDINARY_INTERVAL: Duration = Duration::from_millis(250);
/// Kinds of ordinary requests, with the time limits of the sheet.
const KINDS: [(&str, Duration); 3] = [
    ("read", Duration::from_millis(600)),
    ("pay", Duration::from_millis(600)),
    ("chat", Duration::from_millis(12_000)),
];
/// Time limit of the prompts of many parts, as the sheet has it for its first kind of request.
const LONG_LIMIT: Duration = Duration::from_millis(5_000);
const EVENTS: u32 = 3;

#[derive(Default)]
struct Counts {
    asked: AtomicUsize,
    answered: AtomicUsize,
}

/// Plays the case. Returns whether the rule held.
pub fn run(folder: &Path) -> io::Result<bool> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let work = WorkFolder::create("parts")?;
    let store = Store::start()?;
    store.put_config(&config(1));
    for number in 0..4 {
        let model = if number < 2 { "m" } else { "" };
        let (name, address) = (format!("server-{number}"), free_address()?);
        let conf = ServerConf {
            name: name.clone(),
            address,
            model: model.to_owned(),
            events: EVENTS,
            pause: Duration::from_millis(10),
            log: work.0.join("servers.log"),
        };
        thread::spawn(move || server::serve(conf));
        let service = if number < 2 { "engines" } else { "desk" };
        let text = ServerText {
            service: service.to_owned(),
            address,
            slots: 64,
            state: "ready",
            model: model.to_owned(),
            weights: 1,
            sequence: 1,
        };
        store.put_server(&name, text);
    }
    let daemons = [
        Daemon::start("host-1", "north", store.address, &work.0)?,
        Daemon::start("host-2", "north", store.address, &work.0)?,
    ];
    for daemon in &daemons {
        if !daemon.wait_until_ready(Duration::from_secs(20)) {
            return Err(io::Error::other("a daemon did not become ready"));
        }
    }
    thread::sleep(Duration::from_secs(2));

    let stop = Arc::new(AtomicBool::new(false));
    let longs = Arc::new(Counts::default());
    let is_judged = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    let counts: Vec<Arc<[Counts; 3]>> = daemons.iter().map(|_| Arc::default()).collect();
    for (host, daemon) in daemons.iter().enumerate() {
        for client in 0..ORDINARY_CLIENTS {
            let (callers, stop, record) = (daemon.callers, stop.clone(), record.clone());
            let (counts, is_judged) = (counts[host].clone(), is_judged.clone());
            threads.push(thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let began = Instant::now();
                    let id = format!("o{host}{client}{number:08}");
                    let kind = number % KINDS.len();
                    let (route, limit) = KINDS[kind];
                    let prompt = if route == "chat" { "aa01:100,bb02:200,cc03:50" } else { "" };
                    let model = if route == "chat" { "m" } else { "" };
                    let bytes = request(route, &id, "key-blue", limit.as_millis() as u64, prompt);
                    let answer = call(callers, &bytes, limit);
                    let took = began.elapsed();
                    let is_whole = answer.status == 200
                        && answer.end == AnswerEnd::Complete
                        && answer.body == whole_body(model, &id, EVENTS).into_bytes()
                        && took <= limit;
                    if is_judged.load(Ordering::Relaxed) {
                        counts[kind].asked.fetch_add(1, Ordering::Relaxed);
                        counts[kind].answered.fetch_add(usize::from(is_whole), Ordering::Relaxed);
                    }
                    let (status, end) = (answer.status, &answer.end);
                    record.line(&format!(
                        "ordinary {id} {route} host-{} status {status} {end:?} in {} ms",
                        host + 1,
                        took.as_millis()
                    ));
                    thread::sleep(ORDINARY_INTERVAL.saturating_sub(took));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble() {
        let rate = 1.0 / LONG_INTERVAL.as_secs_f64();
        record.both(&format!(
            "prompts of {PARTS} parts begin at host-1, {rate:.0} a second, each on a new connection"
        ));
        threads.push(long_clients(daemons[0].callers, &stop, &longs, &record));
    }
    thread::sleep(WARM_UP);
    is_judged.store(true, Ordering::Relaxed);
    let mut unready = [0_u32; 2];
    let mut worst_unready = [0_u32; 2];
    let ends = Instant::now() + PLAY_TIME;
    while Instant::now() < ends {
        let began = Instant::now();
        for (host, daemon) in daemons.iter().enumerate() {
            let is_ready = daemon.is_ready();
            unready[host] = if is_ready { 0 } else { unready[host] + 1 };
            worst_unready[host] = worst_unready[host].max(unready[host]);
            record.line(&format!(
                "host-{} ready {is_ready}, resident {} KB",
                host + 1,
                daemon.resident_kb()
            ));
        }
        thread::sleep(Duration::from_secs(1).saturating_sub(began.elapsed()));
    }
    is_judged.store(false, Ordering::Relaxed);
    stop.store(true, Ordering::Relaxed);
    let mut holds = true;
    let (asked, answered) =
        (longs.asked.load(Ordering::Relaxed), longs.answered.load(Ordering::Relaxed));
    record.both(&format!("prompts of many parts: {asked} asked, {answered} answered whole"));
    for host in 0..daemons.len() {
        for (kind, (route, limit)) in KINDS.iter().enumerate() {
            let asked = counts[host][kind].asked.load(Ordering::Relaxed);
            let answered = counts[host][kind].answered.load(Ordering::Relaxed);
            record.both(&format!(
                "host-{}: ordinary `{route}` in {} s: {asked} asked, {answered} answered whole within {} ms",
                host + 1,
                PLAY_TIME.as_secs(),
                limit.as_millis()
            ));
            // Ordinary callers still get answers: at least half of each kind of request within its time limit.
            holds &= asked <= 2 * answered;
        }
        record.both(&format!(
            "host-{}: readiness checks missed in a row: {}",
            host + 1,
            worst_unready[host]
        ));
    }
    record.both(if holds { "held" } else { "BROKEN: ordinary callers get no answers" });
    // The daemons are killed; threads that still wait for them end with their connections.
    drop(daemons);
    for thread in threads {
        if thread.join().is_err() {
            record.line("a client thread has failed");
        }
    }
    Ok(holds)
}

/// Starts a client every `LONG_INTERVAL`, whatever became of those before.
fn long_clients(
    callers: SocketAddr,
    stop: &Arc<AtomicBool>,
    longs: &Arc<Counts>,
    record: &Arc<Record>,
) -> JoinHandle<()> {
    let (stop, longs, record) = (stop.clone(), longs.clone(), record.clone());
    thread::spawn(move || {
        let mut clients = Vec::new();
        let mut next = Instant::now();
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let (longs, record) = (longs.clone(), record.clone());
            clients.push(thread::spawn(move || ask_long(number, callers, &longs, &record)));
            next += LONG_INTERVAL;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        for client in clients {
            if client.join().is_err() {
                record.line("a client has failed");
            }
        }
    })
}

fn ask_long(number: u32, callers: SocketAddr, longs: &Counts, record: &Record) {
    let began = Instant::now();
    let id = format!("long{number:08}");
    let parts: Vec<String> =
        (0..PARTS as u32).map(|part| format!("{:05x}:4", (number << 11) + part & 0xfffff)).collect();
    let bytes = request("tag", &id, "key-red", LONG_LIMIT.as_millis() as u64, &parts.join(","));
    let answer = call(callers, &bytes, LONG_LIMIT);
    longs.asked.fetch_add(1, Ordering::Relaxed);
    let is_whole = answer.status == 200 && answer.end == AnswerEnd::Complete;
    longs.answered.fetch_add(usize::from(is_whole), Ordering::Relaxed);
    let (status, end, took) = (answer.status, &answer.end, began.elapsed().as_millis());
    let head = bytes.len();
    record.line(&format!("long {id} head {head} bytes status {status} {end:?} in {took} ms"));
}
