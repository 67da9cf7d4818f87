//! The little HTTP/1.1 that the stand-ins speak.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A head and, for requests, the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(known, _)| *known == name).map(|(_, value)| value.to_owned()).next()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|text| text.contains("chunked"))
    }

    pub fn length(&self) -> Option<usize> {
        self.header("content-length").and_then(|text| text.parse().ok())
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return match message.first.is_empty() {
                true => Ok(None),
                false => Err(io::Error::other("closed inside a head")),
            };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a request with its body.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut request) = read_head(reader)? else { return Ok(None) };
    if request.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            request.body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = request.length() {
        request.body = vec![0; length];
        reader.read_exact(&mut request.body)?;
    }
    Ok(Some(request))
}

/// Reads a chunk; `None` for the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::Error::other("closed between chunks"));
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    let mut end = String::new();
    if reader.read_line(&mut end)? == 0 {
        return Err(io::Error::other("closed inside a chunk"));
    }
    Ok((0 < size).then_some(chunk))
}

/// Writes a response with a body of known length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// How an answer to a client ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// At the end that its framing states.
    Complete,
    /// Before that, or with an error.
    BrokenOff(String),
    /// There was none in time.
    None(String),
}

/// What a client has received.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: Message,
    pub body: Vec<u8>,
    pub end: AnswerEnd,
}

impl Answer {
    fn none(reason: &str) -> Answer {
        let end = AnswerEnd::None(reason.to_owned());
        Answer { status: 0, head: Message::default(), body: Vec::new(), end }
    }
}

/// Sends a request on a connection of its own and reads the answer, waiting at most `patience` for each piece.
pub fn call(address: SocketAddr, request: &[u8], patience: Duration) -> Answer {
    match try_call(address, request, patience) {
        Ok(answer) => answer,
        Err(err) => Answer::none(&err.to_string()),
    }
}

fn try_call(address: SocketAddr, request: &[u8], patience: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    read_answer(&mut reader)
}

/// Reads an answer to its end.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> io::Result<Answer> {
    let head = read_head(reader)?.ok_or_else(|| io::Error::other("closed without an answer"))?;
    let mut answer =
        Answer { status: head.status(), head, body: Vec::new(), end: AnswerEnd::Complete };
    if let Err(err) = read_body(reader, &mut answer) {
        answer.end = AnswerEnd::BrokenOff(err.to_string());
    }
    Ok(answer)
}

fn read_body(reader: &mut BufReader<TcpStream>, answer: &mut Answer) -> io::Result<()> {
    if answer.head.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            answer.body.extend_from_slice(&chunk);
        }
        return Ok(());
    }
    let Some(length) = answer.head.length() else {
        reader.read_to_end(&mut answer.body)?;
        return Ok(());
    };
    let mut rest = vec![0; length];
    let mut read = 0;
    while read < length {
        match reader.read(&mut rest[read..])? {
            0 => {
                answer.body.extend_from_slice(&rest[..read]);
                return Err(io::Error::other("closed inside the body"));
            }
            bytes => read += bytes,
        }
    }
    answer.body = rest;
    Ok(())
}
