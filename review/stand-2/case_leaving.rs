//! A replica announces its departure and exits later than `drainTimeoutMs` after that, while streams without a length run
//! there.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::daemon::Daemon;
use crate::daemon::SIGTERM;
use crate::daemon::free_address;
use crate::http::Answer;
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

const EVENTS: u32 = 45;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
/// Streams of each kind that begin before the departure.
const STREAMS: usize = 8;
/// Time limit of the streams, and of their route.
const LIMIT: Duration = Duration::from_secs(12);
const BEFORE_NOTICE: Duration = Duration::from_millis(1_000);
/// `drainTimeoutMs`, and a little longer.
const NOTICE: Duration = Duration::from_millis(2_500);
const ENGINES: usize = 2;

/// Plays the case. Returns whether the rule held.
pub fn run(folder: &Path) -> io::Result<bool> {
    let record = Arc::new(Record::create(&folder.join("record.txt"))?);
    let work = WorkFolder::create("leaving")?;
    let log = work.0.join("servers.log");
    let store = Store::start()?;
    store.put_config(&config(1));
    let mut replicas = Vec::new();
    for number in 0..ENGINES {
        let (name, address) = (format!("engine-{number}"), free_address()?);
        let answers = Answers { model: "m", pieces: EVENTS, pause: EVENT_PAUSE, framing: "unframed" };
        replicas.push(Replica::start(&name, address, answers, &log)?);
        let text = ServerText {
            service: "engines".to_owned(),
            address,
            slots: 64,
            state: "ready",
            model: "m".to_owned(),
            weights: 1,
            sequence: 1,
        };
        store.put_server(&name, text);
    }
    let daemon = Daemon::start("host-1", "north", store.address, &work.0)?;
    if !daemon.wait_until_ready(Duration::from_secs(20)) {
        return Err(io::Error::other("the daemon did not become ready"));
    }
    thread::sleep(Duration::from_secs(2));

    let mut clients = Vec::new();
    for number in 0..2 * STREAMS {
        let route = if number % 2 == 0 { "chat" } else { "tag" };
        let (id, callers, record) = (format!("s{number:08}"), daemon.callers, record.clone());
        clients.push(thread::spawn(move || {
            let prompt = format!("aa{number:02x}:100,bb{number:02x}:50");
            record.line(&format!("sent {id} {route}"));
            let limit_ms = LIMIT.as_millis() as u64;
            let answer = call(callers, &request(route, &id, "key-blue", limit_ms, &prompt), LIMIT);
            (id, route, answer)
        }));
        thread::sleep(Duration::from_millis(20));
    }
    if has_trouble() {
        thread::sleep(BEFORE_NOTICE);
        let leaving = &mut replicas[0];
        store.drain_server(&leaving.name);
        record.both(&format!("{} writes that it is draining, and serves on", leaving.name));
        thread::sleep(NOTICE);
        leaving.signal(SIGTERM);
        let status = leaving.wait()?;
        store.remove_server(&leaving.name);
        record.both(&format!("{} exits: {status}", leaving.name));
    }
    let mut broken = 0;
    let mut counts = [0_usize; 3];
    for client in clients {
        let Ok((id, route, answer)) = client.join() else {
            return Err(io::Error::other("a client has failed"));
        };
        let whole = whole_body("m", &id, EVENTS);
        let is_complete = answer.status == 200 && answer.end == AnswerEnd::Complete;
        let is_whole = answer.body == whole.as_bytes();
        let verdict = match (is_complete, is_whole) {
            (true, true) => "whole",
            (true, false) => "ENDS AS COMPLETE BEFORE ITS LAST PIECE",
            (false, _) => "not complete",
        };
        counts[match (is_complete, is_whole) {
            (true, true) => 0,
            (true, false) => 1,
            (false, _) => 2,
        }] += 1;
        broken += usize::from(is_complete && !is_whole);
        record.line(&format!("answered {id} {route} {}: {verdict}", describe(&answer)));
    }
    for line in fs::read_to_string(&log)?.lines() {
        record.line(&format!("replica: {line}"));
    }
    for line in daemon.log_lines("\"name\":\"request_ended\"") {
        record.line(&format!("daemon: {line}"));
    }
    let [whole, early, cut] = counts;
    record.both(&format!(
        "{whole} streams whole, {early} ended as complete before their last piece, {cut} broken off or refused"
    ));
    record.both(if broken == 0 { "held" } else { "BROKEN" });
    Ok(broken == 0)
}

fn describe(answer: &Answer) -> String {
    let events = answer.body.windows(2).filter(|pair| *pair == b"\n\n").count();
    let framing = match answer.head.is_chunked() {
        true => "chunked",
        false => "without chunks",
    };
    format!("status {} {framing} {events} of {EVENTS} events {:?}", answer.status, answer.end)
}
