//! A model replica: registers itself in the store and answers with streams of events.
//!
//! Some answers, or all, have neither a length nor chunks and end with their channel. A prompt with `POISON_PART`, not
//! as its last part, crashes the replica once it has begun to write the answer.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{call, param, respond, Connection, Head};
use crate::store::keyed_record;

/// Pause between two events.
const GAP: Duration = Duration::from_millis(100);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time from the arrival of a prompt that crashes the replica to the first event.
const POISON_DELAY: Duration = Duration::from_millis(30);

/// The part of a prompt that crashes each replica.
pub const POISON_PART: &str = "dead0001";

/// What a replica's answers are like.
#[derive(Clone, Copy)]
pub struct Shape {
    /// Events of a whole run, the last of which has this number.
    pub events: u32,
    /// One answer in so many has neither a length nor chunks.
    pub unframed_every: u64,
}

struct Replica {
    name: String,
    address: SocketAddr,
    zone: String,
    store: SocketAddr,
    shape: Shape,
    runs: AtomicU64,
    running: AtomicU64,
    is_draining: AtomicBool,
}

/// Serves until the process is killed. Runs are told on standard output.
pub fn run(name: &str, address: SocketAddr, zone: &str, store: SocketAddr, shape: Shape) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let replica = Arc::new(Replica {
        name: name.to_owned(),
        address,
        zone: zone.to_owned(),
        store,
        shape,
        runs: AtomicU64::new(0),
        running: AtomicU64::new(0),
        is_draining: AtomicBool::new(false),
    });
    let writer = replica.clone();
    std::thread::spawn(move || loop {
        writer.write_entry();
        std::thread::sleep(HEARTBEAT);
    });
    for stream in listener.incoming() {
        let (replica, stream) = (replica.clone(), stream?);
        std::thread::spawn(move || replica.serve(stream));
    }
    Ok(())
}

impl Replica {
    fn write_entry(&self) {
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let entry = format!(
            "{{\"service\":\"engines\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":64,\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"stage\":\"prefill_decode\",\
             \"models\":[{{\"name\":\"m1\",\"version\":1,\"adapters\":[]}}],\"sequence\":1}}",
            self.address, self.zone
        );
        let record = keyed_record(&self.name, &entry);
        if let Err(err) = call(self.store, "POST", "/log-append?topic=keyed.servers&part=0", &record) {
            println!("heartbeat not written: {err}");
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(_body) = connection.read_request_body(&head) else { return };
            match self.answer(&mut connection.stream, &head) {
                Ok(true) => {}
                Ok(false) | Err(_) => return,
            }
        }
    }

    /// Returns whether the channel is kept.
    fn answer(&self, stream: &mut TcpStream, head: &Head) -> io::Result<bool> {
        let target = head.target().to_owned();
        let instance = format!("Fulmargate-Instance-Id: {}\r\n", self.name);
        if head.get("fulmargate-expect-instance").is_some_and(|name| name != self.name) {
            respond(stream, "421 Misdirected Request", &instance, b"")?;
            return Ok(true);
        }
        match target.split('?').next().unwrap_or_default() {
            "/health" => respond(stream, "200 OK", &instance, b"")?,
            "/report" => {
                let running = self.running.load(Ordering::SeqCst);
                let report = format!(
                    "{{\"stage\":\"prefill_decode\",\"models\":[{{\"name\":\"m1\",\"version\":1,\"adapters\":[]}}],\
                     \"busy\":false,\"sequence\":0,\"waiting\":0,\"running\":{running},\"kvUsed\":0,\"kvTotal\":96000,\
                     \"handles\":0}}"
                );
                respond(stream, "200 OK", "Content-Type: application/json\r\n", report.as_bytes())?;
            }
            "/kv-events" => {
                let since = param(&target, "since").unwrap_or("0");
                std::thread::sleep(Duration::from_millis(500));
                let page = format!("{{\"bootEpoch\":1,\"next\":{since},\"lost\":false,\"events\":[]}}");
                respond(stream, "200 OK", "Content-Type: application/json\r\n", page.as_bytes())?;
            }
            // The test's own call: reports the replica's leaving to the store.
            "/stand/drain" => {
                self.is_draining.store(true, Ordering::SeqCst);
                self.write_entry();
                respond(stream, "200 OK", "", b"")?;
            }
            _ => {
                if head.get("fulmargate-expect-version").is_some_and(|version| version != "1") {
                    respond(stream, "421 Misdirected Request", &instance, b"")?;
                    return Ok(true);
                }
                return self.generate(stream, head);
            }
        }
        Ok(true)
    }

    fn generate(&self, stream: &mut TcpStream, head: &Head) -> io::Result<bool> {
        let id = head.get("fulmargate-request-id").unwrap_or_default().to_owned();
        let number = self.runs.fetch_add(1, Ordering::SeqCst);
        let is_framed = (number + 1) % self.shape.unframed_every != 0;
        let after: u32 = head.get("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let kind = if is_framed { "chunks" } else { "unframed" };
        let is_poison = head.get("fulmargate-prompt-prefix").is_some_and(is_poison);
        println!("{} run {id} {kind} after {after}{}", now_ms(), if is_poison { " poison" } else { "" });
        if is_poison {
            std::thread::sleep(POISON_DELAY);
            self.write_events(stream, &id, is_framed, after..after + 1)?;
            println!("{} crash", now_ms());
            std::process::abort();
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let written = self.write_events(stream, &id, is_framed, after..self.shape.events);
        self.running.fetch_sub(1, Ordering::SeqCst);
        match &written {
            Ok(()) => println!("{} end {id} whole", now_ms()),
            Err(err) => println!("{} end {id} channel closed: {err}", now_ms()),
        }
        written.map(|()| is_framed)
    }

    /// Writes the head and the events after the first of these numbers.
    fn write_events(
        &self,
        stream: &mut TcpStream,
        id: &str,
        is_framed: bool,
        numbers: Range<u32>,
    ) -> io::Result<()> {
        let framing = if is_framed { "Transfer-Encoding: chunked" } else { "Connection: close" };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nFulmargate-Request-Id: {id}\r\n\
             Fulmargate-Response-Signature: s.{}\r\nFulmargate-Weight-Versions: 1\r\n\
             Fulmargate-Server-Load: {},0,64\r\n{framing}\r\n\r\n",
            self.name,
            self.running.load(Ordering::SeqCst)
        );
        stream.write_all(head.as_bytes())?;
        for number in numbers.start + 1..=numbers.end {
            let event = format!("id: {number}\ndata: {id}-{number}\n\n");
            let part = if is_framed { format!("{:x}\r\n{event}\r\n", event.len()) } else { event };
            stream.write_all(part.as_bytes())?;
            if number < numbers.end {
                std::thread::sleep(GAP);
            }
        }
        if is_framed && numbers.end == self.shape.events {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    }
}

/// Whether a part other than the last crashes replicas.
fn is_poison(prefix: &str) -> bool {
    prefix.rsplit(',').skip(1).any(|part| part.split(':').next() == Some(POISON_PART))
}

/// Milliseconds since 1970.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}
