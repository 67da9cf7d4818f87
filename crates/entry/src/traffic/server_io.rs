//! The byte stream of a connection to a backend server, bounded where it brings nothing.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Bytes in a row that make up no part of a response: a head or a framing without an end. Fits four read buffers.
const MAX_UNUSED_BYTES: usize = 256 * 1024;

/// Most bytes of one read. hyper doubles its buffer of 8 KiB after a read that fills it.
const MAX_READ_BYTES: usize = (8 << 10) - 1;

/// Counts the bytes that were read since the last part of a response.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadProgress(Arc<AtomicUsize>);

impl ReadProgress {
    /// Records that a head, or bytes of a body, have arrived.
    pub(crate) fn record_part(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> usize {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes
    }
}

/// A connection that fails when a server sends on and on without a part of a response.
pub(crate) struct ServerIo {
    stream: TcpStream,
    progress: ReadProgress,
}

impl ServerIo {
    pub(crate) fn new(stream: TcpStream, progress: ReadProgress) -> ServerIo {
        ServerIo { stream, progress }
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
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
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
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, buffers)
    }

    // Without this, hyper copies a request's body into a buffer of its own.
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
