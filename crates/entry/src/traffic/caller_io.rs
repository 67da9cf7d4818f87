//! A caller's connection, which can be reset.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::sockets::set_reset_on_close;

/// Whether closing a caller's connection resets it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResetSwitch(Arc<AtomicBool>);

impl ResetSwitch {
    /// Sets whether a close resets the connection, from the next write or shutdown on.
    pub(crate) fn set(&self, resets: bool) {
        self.0.store(resets, Ordering::Relaxed);
    }
}

/// A caller's connection.
///
/// A caller of HTTP/1.0 takes an orderly close for the end of a streamed response. While such a response is open,
/// any close must be a reset, also by the kernel when this process is killed.
pub(crate) struct CallerIo {
    stream: TcpStream,
    switch: ResetSwitch,
    resets: bool,
}

impl CallerIo {
    pub(crate) fn new(stream: TcpStream, switch: ResetSwitch) -> CallerIo {
        CallerIo { stream, switch, resets: false }
    }

    fn apply_switch(&mut self) {
        let resets = self.switch.0.load(Ordering::Relaxed);
        if resets == self.resets {
            return;
        }
        self.resets = resets;
        if let Err(err) = set_reset_on_close(&self.stream, resets) {
            tracing::debug!("cannot set how a caller connection is closed: {err}");
        }
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_switch();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.apply_switch();
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_switch();
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
