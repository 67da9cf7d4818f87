//! The byte stream of a connection to a backend server, bounded where it brings nothing.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;

/// Bytes in a row that make up no part of a response: a head or a framing without an end. Fits four read buffers.
const MAX_UNUSED_BYTES: usize = 256 * 1024;

/// Most bytes of one read. hyper doubles its buffer of 8 KiB after a read that fills it.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// Within this time after the end of a response, the reset follows by which a server's machine tells that the request
/// was not read to its end.
const RESET_WINDOW: Duration = Duration::from_millis(30);
const RESET_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time in which a server that has ended its response takes the rest of the request.
const MAX_REST_TIME: Duration = Duration::from_secs(2);

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// What is known of the exchange on a connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExchangeProgress(Arc<ExchangeState>);

#[derive(Debug, Default)]
struct ExchangeState {
    /// Bytes that were read since the last part of a response.
    unused_bytes: AtomicUsize,
    /// Size of the request's body.
    request_bytes: AtomicUsize,
    /// Whether the response states where it ends.
    is_framed: AtomicBool,
}

impl ExchangeProgress {
    /// Records that a head, or bytes of a body, have arrived.
    pub(crate) fn record_part(&self) {
        self.0.unused_bytes.store(0, Ordering::Relaxed);
    }

    /// Records the size of the body that is about to be sent.
    pub(crate) fn record_request(&self, bytes: usize) {
        self.0.request_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Records that the response does not end with its connection.
    pub(crate) fn record_framing(&self) {
        self.0.is_framed.store(true, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> usize {
        self.0.unused_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes
    }

    /// Whether the end of the connection says something only if the request was taken.
    fn needs_taken_request(&self) -> bool {
        0 < self.0.request_bytes.load(Ordering::Relaxed)
            && !self.0.is_framed.load(Ordering::Relaxed)
    }
}

/// A connection that fails when a server sends on and on without a part of a response, or ends a response without
/// framing before it has taken the request.
pub(crate) struct ServerIo {
    stream: TcpStream,
    progress: ExchangeProgress,
    written_bytes: usize,
    /// Size of the request's head.
    head_bytes: usize,
    end: Option<EndCheck>,
}

/// The check of an end.
struct EndCheck {
    /// When the server has had time to take the rest of the request.
    fails_at: Instant,
    /// When the end is confirmed; `None` until the request is written.
    confirmed_at: Option<Instant>,
    timer: Pin<Box<Sleep>>,
}

impl EndCheck {
    fn begin() -> EndCheck {
        let timer = Box::pin(sleep(RESET_CHECK_INTERVAL));
        EndCheck { fails_at: Instant::now() + MAX_REST_TIME, confirmed_at: None, timer }
    }

    fn confirmed_at(&mut self) -> Instant {
        *self.confirmed_at.get_or_insert_with(|| Instant::now() + RESET_WINDOW)
    }
}

impl ServerIo {
    pub(crate) fn new(stream: TcpStream, progress: ExchangeProgress) -> ServerIo {
        ServerIo { stream, progress, written_bytes: 0, head_bytes: 0, end: None }
    }

    /// The head is what is written first, up to its end.
    fn record_first_write(&mut self, bytes: &[u8]) {
        if self.written_bytes == 0 {
            let end = bytes.windows(HEAD_END.len()).position(|window| window == HEAD_END);
            self.head_bytes = end.map_or(bytes.len(), |end| end + HEAD_END.len());
        }
    }

    fn is_request_written(&self) -> bool {
        let request_bytes = self.progress.0.request_bytes.load(Ordering::Relaxed);
        self.head_bytes + request_bytes <= self.written_bytes
    }

    /// Waits at the end of what the server sends until the end can be relied on.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.progress.needs_taken_request() {
            if let Some(err) = self.stream.take_error()? {
                return Poll::Ready(Err(err));
            }
            let is_written = self.is_request_written();
            let check = self.end.get_or_insert_with(EndCheck::begin);
            if is_written && check.confirmed_at() <= Instant::now() {
                break;
            }
            if !is_written && check.fails_at <= Instant::now() {
                let reason = "the server has ended its response without taking the request";
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::ConnectionAborted, reason)));
            }
            ready!(check.timer.as_mut().poll(context));
            check.timer.as_mut().reset(Instant::now() + RESET_CHECK_INTERVAL);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for ServerIo {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let io = self.get_mut();
        let mut scratch = [0; MAX_READ_BYTES];
        let room = buffer.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(&mut scratch[..room]);
        ready!(Pin::new(&mut io.stream).poll_read(context, &mut part))?;
        if part.filled().is_empty() && 0 < room {
            return io.poll_end(context);
        }
        buffer.put_slice(part.filled());
        let unused = io.progress.add(part.filled().len());
        if MAX_UNUSED_BYTES < unused {
            let reason = "the server sends bytes without an end";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ServerIo {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let io = self.get_mut();
        io.record_first_write(bytes);
        let written = ready!(Pin::new(&mut io.stream).poll_write(context, bytes))?;
        io.written_bytes += written;
        Poll::Ready(Ok(written))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let io = self.get_mut();
        if let Some(first) = buffers.iter().find(|buffer| !buffer.is_empty()) {
            io.record_first_write(first);
        }
        let written = ready!(Pin::new(&mut io.stream).poll_write_vectored(context, buffers))?;
        io.written_bytes += written;
        Poll::Ready(Ok(written))
    }

    // Without this, hyper copies a request's body into a buffer of its own.
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
