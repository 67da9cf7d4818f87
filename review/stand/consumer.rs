//! A consumer: sends one request and reads its answer to the end.

use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::deployment::KEY;
use crate::http::{BodyEnd, Connection};

/// What a consumer saw of its request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    pub status: u16,
    pub is_signed: bool,
    /// Numbers of the events, in the order in which they came.
    pub events: Vec<u32>,
    pub end: BodyEnd,
    pub took: Duration,
}

impl Answer {
    /// Whether it is a success that has ended as a whole one does.
    pub fn looks_complete(&self) -> bool {
        self.status == 200 && self.is_signed && self.end == BodyEnd::Complete
    }

    /// Whether its events are 1 to `last`.
    pub fn is_whole(&self, last: u32) -> bool {
        self.events.iter().copied().eq(1..=last)
    }
}

/// Sends a prompt with these parts.
pub fn ask(router: SocketAddr, path: &str, id: &str, prompt: &str) -> Answer {
    let begun = Instant::now();
    let mut answer = Answer {
        id: id.to_owned(),
        status: 0,
        is_signed: false,
        events: Vec::new(),
        end: BodyEnd::Broken("no answer".to_owned()),
        took: Duration::ZERO,
    };
    if let Err(err) = exchange(router, path, id, prompt, &mut answer) {
        answer.end = BodyEnd::Broken(err.to_string());
    }
    answer.took = begun.elapsed();
    answer
}

fn exchange(
    router: SocketAddr,
    path: &str,
    id: &str,
    prompt: &str,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let mut connection = Connection::open(router, Duration::from_secs(1))?;
    connection.stream.set_read_timeout(Some(Duration::from_secs(14)))?;
    let body = b"{\"prompt\":\"x\"}";
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nFulmargate-Request-Id: {id}\r\n\
         Fulmargate-Model-Name: m1\r\nFulmargate-Token-Usage: 400,40\r\n\
         Fulmargate-Prompt-Prefix: {prompt}\r\n\
         Fulmargate-Request-Deadline: 12000\r\nAuthorization: Token {KEY}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    connection.stream.write_all(&[head.as_bytes(), body].concat())?;
    let Some(head) = connection.read_head()? else { return Ok(()) };
    answer.status = head.status();
    answer.is_signed = head.get("fulmargate-response-signature").is_some();
    let (body, end) = connection.read_body(&head, |_| {});
    let text = String::from_utf8_lossy(&body);
    let numbers = text.lines().filter_map(|line| line.strip_prefix("id: "));
    answer.events = numbers.filter_map(|number| number.trim().parse().ok()).collect();
    answer.end = end;
    Ok(())
}
