//! The platform's store: logs, the newest record of each key, and the list of replicas.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{param, respond, Connection};

/// Three liveness report intervals of 1,200 ms.
const ENTRY_TTL: Duration = Duration::from_millis(3_600);
const SERVERS: &str = "keyed.servers";

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<Vec<u8>>>,
    /// When each replica wrote its entry last.
    written: HashMap<Vec<u8>, Instant>,
}

#[derive(Default)]
struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

/// Serves until the process is killed.
pub fn run(address: SocketAddr) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let store = Arc::new(Store::default());
    let sweeper = store.clone();
    std::thread::spawn(move || loop {
        std::thread::sleep(Duration::from_millis(100));
        sweeper.expire();
    });
    for stream in listener.incoming() {
        let (store, stream) = (store.clone(), stream?);
        std::thread::spawn(move || store.serve(stream));
    }
    Ok(())
}

impl Store {
    fn expire(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let silent: Vec<Vec<u8>> = state
            .written
            .iter()
            .filter(|(_, at)| ENTRY_TTL <= now - **at)
            .map(|(key, _)| key.clone())
            .collect();
        for key in silent {
            state.written.remove(&key);
            let record = [&[key.len() as u8][..], &key].concat();
            state.topics.entry(SERVERS.to_owned()).or_default().push(record);
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_request_body(&head) else { return };
            let target = head.target().to_owned();
            let path = target.split('?').next().unwrap_or_default();
            let (status, body) = match path {
                "/log-append" => self.append(&target, &body),
                "/log-read" => self.read(&target),
                "/log-newest" => self.newest(&target),
                _ => ("404 Not Found", Vec::new()),
            };
            if respond(&mut connection.stream, status, "", &body).is_err() {
                return;
            }
        }
    }

    fn append(&self, target: &str, body: &[u8]) -> (&'static str, Vec<u8>) {
        let topic = param(target, "topic").unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let end = state.topics.entry(topic.to_owned()).or_default().len();
        if param(target, "at").is_some_and(|at| at != end.to_string()) {
            return ("412 Precondition Failed", format!("{{\"end\":{end}}}").into_bytes());
        }
        let records = decode_records(body);
        for record in &records {
            if topic == SERVERS {
                let key = record[1..1 + usize::from(record[0])].to_vec();
                match record.len() == 1 + key.len() {
                    true => state.written.remove(&key),
                    false => state.written.insert(key, Instant::now()),
                };
            }
        }
        let log = state.topics.entry(topic.to_owned()).or_default();
        log.extend(records);
        let new_end = log.len();
        self.changed.notify_all();
        ("200 OK", format!("{{\"offset\":{end},\"end\":{new_end}}}").into_bytes())
    }

    fn read(&self, target: &str) -> (&'static str, Vec<u8>) {
        let topic = param(target, "topic").unwrap_or_default();
        let from: usize = param(target, "from").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait: u64 = param(target, "waitMs").and_then(|text| text.parse().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            let end = state.topics.get(topic).map_or(0, Vec::len);
            let now = Instant::now();
            if from < end || deadline <= now {
                let mut body = (end as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in state.topics.get(topic).into_iter().flatten().skip(from) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return ("200 OK", body);
            }
            state = self.changed.wait_timeout(state, deadline - now).unwrap().0;
        }
    }

    fn newest(&self, target: &str) -> (&'static str, Vec<u8>) {
        let topic = param(target, "topic").unwrap_or_default();
        let state = self.state.lock().unwrap();
        let empty = Vec::new();
        let log = state.topics.get(topic).unwrap_or(&empty);
        let mut newest: Vec<(&[u8], &[u8], usize)> = Vec::new();
        for (offset, record) in log.iter().enumerate() {
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            newest.retain(|(known, _, _)| *known != key);
            if !value.is_empty() {
                newest.push((key, value, offset));
            }
        }
        // In the order of the keys.
        newest.sort();
        let items: Vec<String> = newest
            .iter()
            .map(|(key, value, offset)| {
                let key = String::from_utf8_lossy(key);
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let body = format!("{{\"items\":[{}],\"hasMore\":false,\"end\":{}}}", items.join(","), log.len());
        ("200 OK", body.into_bytes())
    }
}

fn decode_records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while 4 <= body.len() {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        records.push(body[4..4 + length].to_vec());
        body = &body[4 + length..];
    }
    records
}

/// The body of an append of one record of a keyed topic.
pub fn keyed_record(key: &str, value: &str) -> Vec<u8> {
    let record = [&[key.len() as u8][..], key.as_bytes(), value.as_bytes()].concat();
    [&(record.len() as u32).to_be_bytes()[..], &record].concat()
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let number = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for place in 0..4 {
            match place <= chunk.len() {
                true => text.push(ALPHABET[(number >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
