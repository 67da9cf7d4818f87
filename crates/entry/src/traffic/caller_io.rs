//! A caller's connection, which can be reset, and whose reads are bounded and counted.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep_until;

use crate::sockets::set_receive_buffer;
use crate::sockets::set_reset_on_close;
use crate::state::HeldBytes;
use crate::state::SharedState;
use crate::traffic::client_connection::ClientConnection;
use crate::traffic::client_connection::ClientPhase;
use crate::traffic::client_connection::CloseReason;

/// Receive buffer of a caller's connection. Linux makes twice as much of it.
pub(crate) const RECEIVE_BUFFER_BYTES: usize = 8 << 10;
/// Receive buffer while a large body is read.
const LARGE_RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Memory that the larger buffer may take beyond the smaller one.
const LARGE_RECEIVE_BYTES: usize = 48 << 10;
/// Read buffer of a connection that is part of the memory of the connection.
const FIRST_READ_BUFFER_BYTES: usize = 8 << 10;
/// Most bytes of one read. hyper doubles its buffer after a read that fills it.
const MAX_READ_BYTES: usize = FIRST_READ_BUFFER_BYTES - 1;
/// Limits of a connection until a configuration is loaded.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(3);

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
    state: Arc<SharedState>,
    client: Rc<ClientConnection>,
    switch: ResetSwitch,
    resets: bool,
    /// Bytes read of the current head.
    head_bytes: usize,
    /// Memory of the read buffer beyond its first size.
    head: Option<HeldBytes>,
    /// Memory of the larger receive buffer.
    receive: Option<HeldBytes>,
    /// Ends the wait for a head, or for the rest of it.
    timer: Option<Pin<Box<Sleep>>>,
    /// When the phase began for which the timer was set.
    timed_phase: Option<Instant>,
}

impl CallerIo {
    pub(crate) fn new(
        stream: TcpStream,
        state: Arc<SharedState>,
        client: Rc<ClientConnection>,
        switch: ResetSwitch,
    ) -> CallerIo {
        CallerIo {
            stream,
            state,
            client,
            switch,
            resets: false,
            head_bytes: 0,
            head: None,
            receive: None,
            timer: None,
            timed_phase: None,
        }
    }

    /// The connection itself, without what was held for its reads.
    pub(crate) fn into_stream(self) -> TcpStream {
        self.stream
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

    /// Takes memory for a read buffer that has this much room beside the head that was read so far. Returns whether
    /// there is any.
    fn hold_head(&mut self, room: usize) -> bool {
        if self.client.phase() != ClientPhase::Head {
            return true;
        }
        let buffer_bytes = self.head_bytes + room;
        let held_bytes = self.head.as_ref().map_or(0, HeldBytes::bytes);
        let missing = buffer_bytes.saturating_sub(FIRST_READ_BUFFER_BYTES + held_bytes);
        if missing == 0 {
            return true;
        }
        let Ok(taken) = self.client.take_now(missing) else { return false };
        match &mut self.head {
            Some(head) => head.merge(taken),
            None => self.head = Some(taken),
        }
        true
    }

    fn record_read(&mut self, bytes: usize) {
        match self.client.phase() {
            ClientPhase::Idle if 0 < bytes => {
                self.client.enter(ClientPhase::Head);
                self.head_bytes = bytes;
                self.head = None;
            }
            ClientPhase::Head => {
                self.head_bytes += bytes;
                self.client.record_progress(bytes);
            }
            _ => self.client.record_progress(bytes),
        }
    }

    /// Gives the connection a larger receive buffer while it receives a large body, if there is memory for it.
    fn adapt_receive_buffer(&mut self) {
        let is_receiving = self.client.is_receiving();
        if is_receiving == self.receive.is_some() {
            return;
        }
        let bytes = match is_receiving {
            true => {
                let Ok(taken) = self.client.take_now(LARGE_RECEIVE_BYTES) else {
                    return self.client.set_receiving(false);
                };
                self.receive = Some(taken);
                LARGE_RECEIVE_BUFFER_BYTES
            }
            false => {
                self.receive = None;
                RECEIVE_BUFFER_BYTES
            }
        };
        if let Err(err) = set_receive_buffer(&self.stream, bytes) {
            tracing::debug!("cannot set the receive buffer of a caller connection: {err}");
        }
    }

    /// Closes the connection if it has waited for a head, or for the rest of one, for too long.
    fn poll_timer(&mut self, context: &mut Context<'_>) {
        let reason = match self.client.phase() {
            ClientPhase::Idle => CloseReason::IdleTimeout,
            ClientPhase::Head => CloseReason::HeadTimeout,
            _ => return,
        };
        let began = self.client.began();
        if self.timed_phase != Some(began) {
            self.timed_phase = Some(began);
            let deadline = began + self.head_timeout(reason);
            match &mut self.timer {
                Some(timer) => timer.as_mut().reset(deadline),
                None => self.timer = Some(Box::pin(sleep_until(deadline))),
            }
        }
        let Some(timer) = &mut self.timer else { return };
        if timer.as_mut().poll(context).is_ready() {
            self.client.close(reason);
        }
    }

    fn head_timeout(&self, reason: CloseReason) -> Duration {
        let table = self.state.table.load();
        let limits = table.as_ref().map(|table| table.limits());
        match reason {
            CloseReason::HeadTimeout => {
                limits.map_or(DEFAULT_HEADER_TIMEOUT, |limits| limits.header_timeout)
            }
            _ => limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout),
        }
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let io = self.get_mut();
        if !io.hold_head(buffer.remaining()) {
            io.client.close(CloseReason::Memory);
            return Poll::Pending;
        }
        io.adapt_receive_buffer();
        let room = buffer.remaining().min(MAX_READ_BYTES);
        // Not read into the buffer itself, whose memory would have to be initialized for idle connections too.
        let mut scratch = [0; MAX_READ_BYTES];
        let mut part = ReadBuf::new(&mut scratch[..room]);
        let polled = Pin::new(&mut io.stream).poll_read(context, &mut part);
        if polled.is_pending() {
            io.poll_timer(context);
            return Poll::Pending;
        }
        buffer.put_slice(part.filled());
        io.record_read(part.filled().len());
        polled
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let io = self.get_mut();
        io.apply_switch();
        let polled = Pin::new(&mut io.stream).poll_write(context, bytes);
        record_written(&io.client, &polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.apply_switch();
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let io = self.get_mut();
        io.apply_switch();
        let polled = Pin::new(&mut io.stream).poll_write_vectored(context, buffers);
        record_written(&io.client, &polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

fn record_written(client: &ClientConnection, polled: &Poll<io::Result<usize>>) {
    match polled {
        Poll::Ready(Ok(bytes)) => client.record_written(*bytes),
        Poll::Ready(Err(_)) => {}
        Poll::Pending => client.record_blocked(),
    }
}
