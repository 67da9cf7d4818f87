//! A stand-in of a replica: a model engine that streams events, or a plain service.

use std::fs::File;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http::Message;
use crate::http::read_request;
use crate::http::respond;

/// How a replica behaves.
#[derive(Clone, Debug)]
pub struct ServerConf {
    pub name: String,
    pub address: SocketAddr,
    /// Name of the model; empty for a plain service.
    pub model: String,
    /// Events of a stream; parts of the body of a plain answer.
    pub events: u32,
    /// Pause after each of them.
    pub pause: Duration,
    /// Where runs are written.
    pub log: PathBuf,
}

struct Server {
    conf: ServerConf,
    weights: AtomicU64,
    sequence: AtomicU64,
    log: Mutex<File>,
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis())
}

/// The whole body that a replica gives to a request.
pub fn whole_body(model: &str, id: &str, events: u32) -> String {
    (1..=events).map(|number| event(model, id, number)).collect()
}

fn event(model: &str, id: &str, number: u32) -> String {
    match model.is_empty() {
        true => format!("{id}-{number:03}-{}\n", "x".repeat(40)),
        false => format!("id: {number}\ndata: {id}-{number}\n\n"),
    }
}

/// Serves until the process ends.
pub fn serve(conf: ServerConf) -> io::Result<()> {
    let listener = TcpListener::bind(conf.address)?;
    let log = File::options().create(true).append(true).open(&conf.log)?;
    let server = Arc::new(Server {
        conf,
        weights: AtomicU64::new(1),
        sequence: AtomicU64::new(0),
        log: Mutex::new(log),
    });
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || server.serve_connection(stream));
    }
    Ok(())
}

impl Server {
    fn write(&self, what: &str, id: &str) {
        let line = format!("{} {} {what} {id}\n", unix_ms(), self.conf.name);
        if let Err(err) = self.log.lock().unwrap().write_all(line.as_bytes()) {
            eprintln!("log: {err}");
        }
    }

    fn serve_connection(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            if self.answer(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let json = [("content-type", "application/json")];
        match request.path() {
            "/report" => {
                let body = format!(
                    "{{\"born\":1700000000000,\"stage\":\"prefill_decode\",\"models\":[{{\"name\":\"{}\",\
                     \"version\":{},\"adapters\":[]}}],\"busy\":false,\"sequence\":{},\"waiting\":0,\"running\":0,\
                     \"kvUsed\":0,\"kvTotal\":95978,\"handles\":0}}",
                    self.conf.model,
                    self.weights.load(Ordering::SeqCst),
                    self.sequence.load(Ordering::SeqCst)
                );
                respond(writer, "200 OK", &json, body.as_bytes())
            }
            "/kv-events" => {
                let wait = request.header("wait-ms").and_then(|text| text.parse().ok());
                thread::sleep(Duration::from_millis(wait.unwrap_or(0)));
                let since = request.query("since").unwrap_or_default();
                let next: u64 = since.parse().unwrap_or_default();
                let body = format!(
                    "{{\"born\":1700000000000,\"bootEpoch\":1,\"next\":{next},\"lost\":false,\"events\":[]}}"
                );
                respond(writer, "200 OK", &json, body.as_bytes())
            }
            "/order" => self.take_order(request, writer),
            _ => self.run(request, writer),
        }
    }

    fn take_order(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let version = json_number(&text, "version").unwrap_or_default();
        self.write("order", &text);
        self.sequence.fetch_add(1, Ordering::SeqCst);
        self.weights.store(version, Ordering::SeqCst);
        respond(writer, "202 Accepted", &[], b"")
    }

    fn run(&self, request: &Message, writer: &mut TcpStream) -> io::Result<()> {
        let id = request.header("fulmargate-request-id").unwrap_or_default().to_owned();
        let expected = request.header("fulmargate-expect-instance");
        let weights = self.weights.load(Ordering::SeqCst).to_string();
        let other_weights = request
            .header("fulmargate-expect-version")
            .is_some_and(|version| !self.conf.model.is_empty() && version != weights);
        let mut head = format!("fulmargate-request-id: {id}\r\n");
        if !self.conf.model.is_empty() {
            head.push_str(&format!("fulmargate-weight-versions: {weights}\r\n"));
        }
        if expected.is_some_and(|name| name != self.conf.name) || other_weights {
            let name = &self.conf.name;
            head.push_str(&format!("fulmargate-instance-id: {name}\r\ncontent-length: 0\r\n\r\n"));
            return writer.write_all(format!("HTTP/1.1 421 Misdirected Request\r\n{head}").as_bytes());
        }
        self.write("began", &id);
        head.push_str("fulmargate-response-signature: s.1.2.3\r\n");
        if !self.conf.model.is_empty() {
            head.push_str("content-type: text/event-stream\r\n");
        }
        head.push_str("transfer-encoding: chunked\r\n\r\n");
        writer.write_all(format!("HTTP/1.1 200 OK\r\n{head}").as_bytes())?;
        let last_event = request.header("last-event-id").and_then(|text| text.parse().ok());
        for number in last_event.unwrap_or(0) + 1..=self.conf.events {
            let event = event(&self.conf.model, &id, number);
            let piece = format!("{:x}\r\n{event}\r\n", event.len());
            if let Err(err) = writer.write_all(piece.as_bytes()) {
                self.write("cancelled", &id);
                return Err(err);
            }
            thread::sleep(self.conf.pause);
        }
        writer.write_all(b"0\r\n\r\n")?;
        self.write("ended", &id);
        Ok(())
    }
}

/// The number in a flat JSON text.
pub fn json_number(text: &str, name: &str) -> Option<u64> {
    let rest = text.split_once(&format!("\"{name}\":"))?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
