//! All replicas of a plain service crash at once while they write answers without a length.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::daemon::Daemon;
use crate::daemon::SIGKILL;
use crate::daemon::free_address;
use crate::http::AnswerEnd;
use crate::http::call;
use crate::replica::Answers;
use crate::replica::Replica;
use crate::server::whole_body;
use crate::store::ServerText;
use crate::store::Store;
use crate::world::Record;
use crate::world::WorkFolder;
use crate::world::config;
use crate::world::has_trouble;
use crate::world::request;

const REPLICAS: usize = 3;
const PIECES: u32 = 10;
/// An answer takes 400 ms of the 600 ms that its caller waits.
const PAUSE: Duration = Duration::from_millis(40);
const LIMIT: Duration = Duration::from_millis(600);
/// Calls in flight when the replicas crash, at each daemon.
const CALLS: usize = 12;
const BEFORE_CRASH: Duration = Duration::from_millis(200);

/// Plays the case. Returns whether the rule held.
pub fn run(folder: &Path) -> io::Result<bool> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let work = WorkFolder::create("crash")?;
    let log = work.0.join("servers.log");
    let store = Store::start()?;
    store.put_config(&config(1));
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let (name, address) = (format!("desk-{number}"), free_address()?);
        let answers = Answers { model: "-", pieces: PIECES, pause: PAUSE, framing: "unframed" };
        replicas.push(Replica::start(&name, address, answers, &log)?);
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
    let daemons = [
        Daemon::start("host-1", "north", store.address, &work.0)?,
        Daemon::start("host-2", "north", store.address, &work.0)?,
    ];
    for daemon in &daemons {
        if !daemon.wait_until_ready(Duration::from_secs(20)) {
            return Err(io::Error::other("a daemon did not become ready"));
        }
    }
    thread::sleep(Duration::from_secs(3));
    for (host, daemon) in daemons.iter().enumerate() {
        let id = format!("warm{host}");
        let limit_ms = LIMIT.as_millis() as u64;
        let answer = call(daemon.callers, &request("pay", &id, "key-blue", limit_ms, ""), LIMIT);
        record.line(&format!("answered {id} status {} {:?}", answer.status, answer.end));
    }

    let mut clients = Vec::new();
    for number in 0..CALLS * daemons.len() {
        let host = number % daemons.len();
        let route = if number / 2 % 2 == 0 { "pay" } else { "read" };
        let (id, callers) = (format!("c{number:08}"), daemons[host].callers);
        record.line(&format!("sent {id} {route} to host-{}", host + 1));
        clients.push(thread::spawn(move || {
            let limit_ms = LIMIT.as_millis() as u64;
            let answer = call(callers, &request(route, &id, "key-blue", limit_ms, ""), LIMIT);
            (id, route, host, answer)
        }));
    }
    if has_trouble() {
        thread::sleep(BEFORE_CRASH);
        for replica in &replicas {
            replica.signal(SIGKILL);
        }
        for replica in &mut replicas {
            let (name, status) = (replica.name.clone(), replica.wait()?);
            store.silence_server(&name);
            record.both(&format!("{name} crashes: {status}"));
        }
    }
    let mut counts = [0_usize; 3];
    for client in clients {
        let Ok((id, route, host, answer)) = client.join() else {
            return Err(io::Error::other("a client has failed"));
        };
        let is_success = answer.status == 200 && answer.end == AnswerEnd::Complete;
        let is_whole = answer.body == whole_body("", &id, PIECES).as_bytes();
        let (kind, verdict) = match (is_success, is_whole) {
            (true, true) => (0, "whole"),
            (true, false) => (1, "A SUCCESS WITH A PART OF THE REPLICA'S BODY"),
            (false, _) => (2, "no success"),
        };
        counts[kind] += 1;
        let pieces = answer.body.iter().filter(|byte| **byte == b'\n').count();
        record.line(&format!(
            "answered {id} {route} by host-{} status {} {pieces} of {PIECES} pieces {:?}: {verdict}",
            host + 1,
            answer.status,
            answer.end
        ));
    }
    for line in fs::read_to_string(&log)?.lines() {
        record.line(&format!("replica: {line}"));
    }
    for daemon in &daemons {
        for line in daemon.log_lines("\"name\":\"request_ended\"") {
            record.line(&format!("{}: {line}", daemon.name));
        }
    }
    let [whole, cut, failed] = counts;
    record.both(&format!(
        "{whole} answers whole, {cut} successes with a part of the body, {failed} no success"
    ));
    record.both(if cut == 0 { "held" } else { "BROKEN" });
    Ok(cut == 0)
}
