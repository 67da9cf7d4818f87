//! HTTP/1.1 on blocking sockets, as much as the stand-ins need.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or response head. Names of headers are in lower case.
pub struct Head {
    pub start: String,
    pub headers: HashMap<String, String>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("/")
    }
}

/// A connection with what was read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// How a response's body ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// As its framing states.
    Complete,
    /// The channel closed or failed before.
    Broken(String),
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        Connection { stream, buffer: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Connection::new(stream))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0_u8; 16 * 1024];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head; none at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { start, headers }));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn read_exact(&mut self, count: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..count).collect()))
    }

    /// The body of a request with a length or in chunks.
    pub fn read_request_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some() {
            let (body, end) = self.read_body(head, |_| {});
            return match end {
                BodyEnd::Complete => Ok(body),
                BodyEnd::Broken(reason) => Err(io::Error::other(reason)),
            };
        }
        let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        self.read_exact(length)?.ok_or_else(|| io::Error::other("the body is cut off"))
    }

    /// Reads a body to its end. `on_bytes` is told each part as it arrives.
    pub fn read_body(&mut self, head: &Head, mut on_bytes: impl FnMut(&[u8])) -> (Vec<u8>, BodyEnd) {
        let mut body = Vec::new();
        let broken = |reason: &str| BodyEnd::Broken(reason.to_owned());
        if head.get("transfer-encoding").is_some_and(|text| text.eq_ignore_ascii_case("chunked")) {
            loop {
                let size = match self.read_line() {
                    Ok(Some(line)) => usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16),
                    Ok(None) => return (body, broken("closed before the last chunk")),
                    Err(err) => return (body, broken(&err.to_string())),
                };
                let Ok(size) = size else { return (body, broken("unreadable chunk")) };
                let chunk = match self.read_exact(size + 2) {
                    Ok(Some(chunk)) => chunk,
                    Ok(None) => return (body, broken("closed inside a chunk")),
                    Err(err) => return (body, broken(&err.to_string())),
                };
                if size == 0 {
                    return (body, BodyEnd::Complete);
                }
                on_bytes(&chunk[..size]);
                body.extend_from_slice(&chunk[..size]);
            }
        }
        if let Some(length) = head.get("content-length").and_then(|text| text.parse::<usize>().ok()) {
            return match self.read_exact(length) {
                Ok(Some(bytes)) => {
                    on_bytes(&bytes);
                    (bytes, BodyEnd::Complete)
                }
                Ok(None) => (body, broken("closed before the stated length")),
                Err(err) => (body, broken(&err.to_string())),
            };
        }
        loop {
            on_bytes(&self.buffer);
            body.append(&mut self.buffer);
            match self.fill() {
                Ok(0) => return (body, BodyEnd::Complete),
                Ok(_) => {}
                Err(err) => return (body, broken(&err.to_string())),
            }
        }
    }
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}

/// A call with a body and a whole answer on a channel of its own.
pub fn call(address: SocketAddr, method: &str, target: &str, body: &[u8]) -> io::Result<(u16, Vec<u8>)> {
    let timeout = Duration::from_secs(2);
    let mut connection = Connection::open(address, timeout)?;
    connection.stream.set_read_timeout(Some(timeout))?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    connection.stream.write_all(&[head.as_bytes(), body].concat())?;
    let head = connection.read_head()?.ok_or_else(|| io::Error::other("no answer"))?;
    let (body, _) = connection.read_body(&head, |_| {});
    Ok((head.status(), body))
}

/// The value of a query's parameter.
pub fn param<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let query = target.split_once('?')?.1;
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
