//! Bodies in any chunks, splits and ends.

use std::net::SocketAddr;
use std::time::Duration;

use fulmargate_consortium_stand::FakeServer;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::client_deployment::ClientDeployment;
use crate::client_deployment::body_head;

const CASES: usize = 150;
const SEED: u64 = 66;
/// Largest body, and largest chunk.
const MAX_BODY_BYTES: usize = 70_000;
const MAX_CHUNK_BYTES: usize = 9_000;
/// Pause between some writes, so that they arrive apart.
const WRITE_PAUSE: Duration = Duration::from_millis(2);

/// How a request ends.
#[derive(Clone, Copy, Debug)]
enum BodyEnd {
    Whole,
    /// The connection is closed before the last byte.
    CutShort,
    /// A chunk has a size that is no number.
    BadSize,
}

/// A request as its bytes are written.
#[derive(Clone, Debug)]
struct FramedRequest {
    body: Vec<u8>,
    /// Sizes of chunks; none for a stated length.
    chunks: Option<Vec<usize>>,
    /// Sizes of writes, repeated.
    writes: Vec<usize>,
    end: BodyEnd,
}

impl Arbitrary for FramedRequest {
    fn arbitrary(generator: &mut Gen) -> FramedRequest {
        let size = |generator: &mut Gen, most: usize| {
            // Small sizes are as frequent as large ones.
            let bound = *generator.choose(&[2, 9, 300, most]).expect("a bound");
            1 + usize::arbitrary(generator) % bound.min(most)
        };
        let length = size(generator, MAX_BODY_BYTES) - 1;
        let body = (0..length).map(|_| u8::arbitrary(generator)).collect();
        let is_chunked = bool::arbitrary(generator);
        let chunk_sizes = (0..8).map(|_| size(generator, MAX_CHUNK_BYTES)).collect();
        let writes = (0..8).map(|_| size(generator, MAX_CHUNK_BYTES)).collect();
        let ends = [BodyEnd::Whole, BodyEnd::Whole, BodyEnd::CutShort, BodyEnd::BadSize];
        let end = *generator.choose(&ends).expect("an end");
        FramedRequest { body, chunks: is_chunked.then_some(chunk_sizes), writes, end }
    }
}

impl FramedRequest {
    /// The bytes on the wire. A body with a stated length has no chunk whose size could be wrong.
    fn encode(&self) -> Vec<u8> {
        let Some(chunks) = &self.chunks else {
            let framing = format!("Connection: close\r\nContent-Length: {}", self.body.len());
            return [body_head(&framing).into_bytes(), self.body.clone()].concat();
        };
        let mut bytes = body_head("Connection: close\r\nTransfer-Encoding: chunked").into_bytes();
        let mut rest = self.body.as_slice();
        for chunk_bytes in chunks.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, after) = rest.split_at(rest.len().min(*chunk_bytes));
            bytes.extend(format!("{:x}\r\n", chunk.len()).bytes());
            bytes.extend_from_slice(chunk);
            bytes.extend_from_slice(b"\r\n");
            rest = after;
        }
        if matches!(self.end, BodyEnd::BadSize) {
            bytes.extend_from_slice(b"zz\r\n");
        }
        bytes.extend_from_slice(b"0\r\n\r\n");
        bytes
    }

    fn is_whole(&self) -> bool {
        match self.end {
            BodyEnd::Whole => true,
            BodyEnd::CutShort => self.chunks.is_none() && self.body.is_empty(),
            BodyEnd::BadSize => self.chunks.is_none(),
        }
    }

    async fn send(&self, address: SocketAddr) -> String {
        let mut bytes = self.encode();
        if matches!(self.end, BodyEnd::CutShort) && !self.is_whole() {
            bytes.pop();
        }
        let mut stream = TcpStream::connect(address).await.expect("connect");
        let mut rest = bytes.as_slice();
        for write_bytes in self.writes.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (part, after) = rest.split_at(rest.len().min(*write_bytes));
            if stream.write_all(part).await.is_err() {
                break;
            }
            rest = after;
            if *write_bytes % 8 == 0 && bytes.len() < 1_000 {
                sleep(WRITE_PAUSE).await;
            }
        }
        if matches!(self.end, BodyEnd::CutShort) && !self.is_whole() {
            return String::new();
        }
        let mut answer = Vec::new();
        // A refusal may be followed by a reset.
        let _result = stream.read_to_end(&mut answer).await;
        String::from_utf8_lossy(&answer).into_owned()
    }
}

/// Guards against a body that reaches a server changed, in part, or although its request is malformed.
#[tokio::test]
async fn a_body_arrives_as_it_was_sent_or_not_at_all() {
    let deployment = ClientDeployment::start().await;
    let mut generator = Gen::from_size_and_seed(100, SEED);
    for number in 0..CASES {
        let request = FramedRequest::arbitrary(&mut generator);
        let before = FakeServer::seen(&deployment.server).len();
        let answer = request.send(deployment.callers).await;
        let seen = FakeServer::seen(&deployment.server);
        let status = answer.split(' ').nth(1).unwrap_or_default();
        let framing = (&request.chunks, &request.writes, request.end, request.body.len());
        if !request.is_whole() {
            assert_eq!(seen.len(), before, "case {number} {framing:?}: it ran, {answer}");
            assert!(status.is_empty() || status == "400", "case {number} {framing:?}: {answer}");
            continue;
        }
        assert_eq!(status, "200", "case {number} {framing:?}: {answer}");
        assert_eq!(seen.len(), before + 1, "case {number} {framing:?}: it ran once");
        assert!(seen[before].body == request.body, "case {number} {framing:?}: another body");
    }
}
