//! Requests written byte by byte, so that they may be as bad as they like.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::router_bench::KEY;
use crate::router_bench::MODEL;

/// A bound on the wait for an answer, not a measure of it.
const PATIENCE: Duration = Duration::from_secs(60);

/// A request.
#[derive(Clone)]
pub(crate) struct RawCall {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
}

/// An answer, its body as it came, with the marks of chunks if it was sent in chunks.
#[derive(Debug)]
pub(crate) struct RawAnswer {
    pub(crate) status: u16,
    head: Vec<(String, String)>,
    pub(crate) body: String,
}

impl RawCall {
    /// A request without headers or body.
    pub(crate) fn new(method: &'static str, path: &str) -> RawCall {
        RawCall { method, path: path.to_owned(), headers: Vec::new(), body: Vec::new() }
    }

    /// A good request for a short answer.
    pub(crate) fn good() -> RawCall {
        RawCall::completion("a good prompt", 4)
    }

    /// A good request for an answer in one piece.
    pub(crate) fn completion(prompt: &str, tokens: usize) -> RawCall {
        let body = json!({ "model": MODEL, "prompt": prompt, "max_tokens": tokens });
        RawCall::new("POST", "/v1/completions").key(KEY).json(&body)
    }

    /// A good request for a stream.
    pub(crate) fn stream(prompt: &str, tokens: usize) -> RawCall {
        let body =
            json!({ "model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": true });
        RawCall::new("POST", "/v1/completions").key(KEY).json(&body)
    }

    /// A good call of a service that may not run twice.
    pub(crate) fn charge(key: &str) -> RawCall {
        let call = RawCall::new("POST", "/services/checkout/charge").key(KEY);
        call.header("idempotency-key", key).json(&json!({ "amount": 7 }))
    }

    /// Sets the caller's key.
    pub(crate) fn key(self, key: &str) -> RawCall {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sets a header in the place of one of that name.
    pub(crate) fn header(mut self, name: &'static str, value: &str) -> RawCall {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Takes a header away.
    pub(crate) fn without(mut self, name: &str) -> RawCall {
        self.headers.retain(|(other, _)| *other != name);
        self
    }

    /// Sets the body.
    pub(crate) fn body(mut self, body: &[u8]) -> RawCall {
        self.body = body.to_vec();
        self
    }

    /// Sets the body.
    pub(crate) fn json(self, body: &Value) -> RawCall {
        self.body(body.to_string().as_bytes())
    }

    /// The request's head, with a length that the body need not have.
    pub(crate) fn head(&self, length: usize) -> String {
        let mut head = format!("{} {} HTTP/1.1\r\nhost: router\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("connection: close\r\ncontent-length: {length}\r\n\r\n"));
        head
    }

    /// Sends it whole on a connection of its own.
    pub(crate) async fn open(&self, address: SocketAddr) -> TcpStream {
        let mut connection = TcpStream::connect(address).await.expect("the router listens");
        let mut bytes = self.head(self.body.len()).into_bytes();
        bytes.extend_from_slice(&self.body);
        // A router that has answered already may read no further.
        let _the_answer_tells = connection.write_all(&bytes).await;
        connection
    }

    /// Sends it and reads the whole answer.
    pub(crate) async fn send(&self, address: SocketAddr) -> RawAnswer {
        read_answer(self.open(address).await).await
    }
}

impl RawAnswer {
    /// A header's value.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let found = self.head.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The body as JSON; null if it is none.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// The ids of a stream's events.
    pub(crate) fn event_ids(&self) -> Vec<&str> {
        self.body.lines().filter_map(|line| line.strip_prefix("id: ")).map(str::trim).collect()
    }
}

/// Reads the answer to the end of the connection.
pub(crate) async fn read_answer(connection: TcpStream) -> RawAnswer {
    let (answer, end) = read_until_closed(connection).await;
    end.unwrap_or_else(|err| panic!("no whole answer: {err}: {answer:?}"));
    answer.expect("an answer")
}

/// Reads what comes until the connection is closed, and how it was closed.
pub(crate) async fn read_until_closed(
    mut connection: TcpStream,
) -> (Option<RawAnswer>, io::Result<usize>) {
    let mut bytes = Vec::new();
    let read = timeout(PATIENCE, connection.read_to_end(&mut bytes)).await;
    let end = read.expect("the connection is closed");
    (parsed(&String::from_utf8_lossy(&bytes)), end)
}

fn parsed(text: &str) -> Option<RawAnswer> {
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?;
    let headers = lines.filter_map(|line| line.split_once(": "));
    Some(RawAnswer {
        status: status.parse().ok()?,
        head: headers.map(|(name, value)| (name.to_lowercase(), value.to_owned())).collect(),
        body: body.to_owned(),
    })
}
