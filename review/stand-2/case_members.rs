//! Hosts start together after many others were replaced for good, and one of them is cut off from the replicas.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::daemon::Daemon;
use crate::daemon::free_address;
use crate::http::AnswerEnd;
use crate::http::call;
use crate::link::Link;
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

/// Zones of the shop's sheet.
const ZONES: [&str; 3] = ["milano-nord", "brescia-est", "pavia-sud"];
/// Hosts that were replaced, one after the other.
const REPLACED: usize = 1_500;
/// How many of them run at the same time, to keep the play short.
const BATCH: usize = 60;
/// Hosts of the sheet.
const HOSTS: usize = 6;
const REPLICAS: usize = 3;
const PIECES: u32 = 2;
/// Time for the hosts to find each other.
const MEETING_TIME: Duration = Duration::from_secs(15);
/// `contactMs`.
const CONTACT: Duration = Duration::from_secs(3);
const CUT_TIME: Duration = Duration::from_secs(15);
const LIMIT: Duration = Duration::from_millis(600);
const INTERVAL: Duration = Duration::from_millis(100);

/// Plays the case. Returns whether the rule held.
pub fn run(folder: &Path) -> io::Result<bool> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let work = WorkFolder::create("members")?;
    let store = Store::start()?;
    store.put_config(&config(1));
    let mut links = Vec::new();
    for number in 0..REPLICAS {
        let (name, address) = (format!("desk-{number}"), free_address()?);
        let conf = ServerConf {
            name: name.clone(),
            address,
            model: String::new(),
            events: PIECES,
            pause: Duration::from_millis(5),
            log: work.0.join("servers.log"),
        };
        thread::spawn(move || server::serve(conf));
        links.push(Link::start(address)?);
        let text = ServerText {
            service: "desk".to_owned(),
            address,
            slots: 64,
            state: "ready",
            model: String::new(),
            weights: 0,
            sequence: 1,
        };
        store.put_server(&name, text);
    }
    if has_trouble() {
        play_replaced_hosts(&store, &work.0)?;
        record.both(&format!("{REPLACED} hosts have come and gone for good"));
    }

    let view = store.start_view()?;
    let mut daemons = Vec::new();
    for host in 0..HOSTS {
        let store_address = if host == 0 { view } else { store.address };
        let (name, zone) = host_name(REPLACED + host);
        daemons.push(Daemon::start(&name, zone, store_address, &work.0)?);
    }
    for daemon in &daemons {
        if !daemon.wait_until_ready(Duration::from_secs(20)) {
            return Err(io::Error::other("a daemon did not become ready"));
        }
    }
    thread::sleep(MEETING_TIME);
    let callers: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.callers).collect();
    let calm = ask(&callers, Duration::from_secs(2), &record);
    record.both(&format!("before the cut, served of asked: {calm:?}"));
    for link in &links {
        link.cut();
    }
    record.both("host-1 is cut off from all replicas: new connections are refused, open ones closed");
    thread::sleep(CONTACT);
    let counts = ask(&callers, CUT_TIME, &record);
    record.both(&format!("during the cut, from contactMs on, served of asked at each host: {counts:?}"));
    for daemon in &daemons {
        for line in daemon.log_lines("\"name\":\"service_unreached\"") {
            record.line(&format!("{}: {line}", daemon.name));
        }
    }
    let share = |(served, asked): (usize, usize)| served as f64 / asked.max(1) as f64;
    let others = counts[1..].iter().fold((0, 0), |sum, count| (sum.0 + count.0, sum.1 + count.1));
    let all_asked: usize = counts.iter().map(|(_, asked)| asked).sum();
    let failed = counts[0].1 - counts[0].0;
    let is_rare = share(counts[0]) < share(others) * 2.0 / 3.0;
    let holds = !(is_rare && 10 + all_asked / 50 < failed);
    record.both(&format!(
        "first tries served: {:.2} at the host that is cut off, {:.2} at the others; {failed} of {all_asked} failed there",
        share(counts[0]),
        share(others)
    ));
    record.both(if holds { "held" } else { "BROKEN" });
    Ok(holds)
}

/// Name and zone of a host, in the order in which they came: numbered in each zone.
fn host_name(number: usize) -> (String, &'static str) {
    let zone = ZONES[number % ZONES.len()];
    (format!("front-{zone}-{}", number / ZONES.len() + 1), zone)
}

/// Hosts start, register themselves, and are killed.
fn play_replaced_hosts(store: &Store, folder: &Path) -> io::Result<()> {
    for first in (0..REPLACED).step_by(BATCH) {
        let numbers = first..(first + BATCH).min(REPLACED);
        let names: Vec<(String, &str)> = numbers.map(host_name).collect();
        let mut hosts: Vec<Daemon> = names
            .iter()
            .map(|(name, zone)| Daemon::start(name, zone, store.address, folder))
            .collect::<io::Result<_>>()?;
        let deadline = Instant::now() + Duration::from_secs(10);
        loop {
            let keys = store.keys("keyed.fulmargate");
            let is_known = |name: &String| keys.iter().any(|key| *key == format!("host/{name}"));
            if names.iter().all(|(name, _)| is_known(name)) {
                break;
            }
            if deadline <= Instant::now() {
                return Err(io::Error::other("a host did not register itself"));
            }
            // One of its ports was taken meanwhile by another process.
            for (host, (name, zone)) in hosts.iter_mut().zip(&names) {
                if !host.runs() {
                    *host = Daemon::start(name, zone, store.address, folder)?;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        drop(hosts);
    }
    Ok(())
}

/// Asks all hosts for a time. Returns how many first tries were served, and how many there were, at each.
fn ask(callers: &[SocketAddr], time: Duration, record: &Arc<Record>) -> Vec<(usize, usize)> {
    let stop = Arc::new(AtomicBool::new(false));
    let mut threads = Vec::new();
    for (host, address) in callers.iter().copied().enumerate() {
        let (stop, record) = (stop.clone(), record.clone());
        let counts = Arc::new((AtomicUsize::new(0), AtomicUsize::new(0)));
        let counting = counts.clone();
        let thread = thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let began = Instant::now();
                let route = ["read", "pay"][number % 2];
                let id = format!("c{host}{:07}{number:04}", record.now_ms());
                let limit_ms = LIMIT.as_millis() as u64;
                let answer = call(address, &request(route, &id, "key-blue", limit_ms, ""), LIMIT);
                let is_served = answer.status == 200
                    && answer.end == AnswerEnd::Complete
                    && answer.body == whole_body("", &id, PIECES).as_bytes();
                counting.0.fetch_add(usize::from(is_served), Ordering::Relaxed);
                counting.1.fetch_add(1, Ordering::Relaxed);
                record.line(&format!(
                    "asked host-{} {id} {route}: status {} {:?} in {} ms",
                    host + 1,
                    answer.status,
                    answer.end,
                    began.elapsed().as_millis()
                ));
                thread::sleep(INTERVAL.saturating_sub(began.elapsed()));
            }
        });
        threads.push((thread, counts));
    }
    thread::sleep(time);
    stop.store(true, Ordering::Relaxed);
    let mut totals = Vec::new();
    for (thread, counts) in threads {
        if thread.join().is_err() {
            record.line("a client has failed");
        }
        totals.push((counts.0.load(Ordering::Relaxed), counts.1.load(Ordering::Relaxed)));
    }
    totals
}
