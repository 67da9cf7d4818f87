//! Serves one connection of a caller, and ends it so that the last answer arrives.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;

use crate::daemon::ShutdownTokens;
use crate::sockets::PeerTimeout;
use crate::sockets::set_peer_timeout;
use crate::sockets::set_reset_on_close;
use crate::state::HeldBytes;
use crate::state::SharedState;
use crate::traffic::caller_io::CallerIo;
use crate::traffic::caller_io::ResetSwitch;
use crate::traffic::client_connection::ClientConnection;
use crate::traffic::client_connection::ClientPhase;
use crate::traffic::request_service::serve_request;

/// Memory of a connection: its task, its first read buffer, and what the kernel may hold of it unread.
pub(crate) const CONNECTION_BYTES: usize = 24 << 10;
/// Idle timeout of callers' connections until a configuration is loaded.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Read buffer of a connection, and thereby the upper bound of a request head. hyper requires at least 8 KB.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// How long data sent to a caller may stay unacknowledged before the connection is dropped.
const CALLER_TCP_TIMEOUT: PeerTimeout = PeerTimeout {
    unacknowledged: Duration::from_secs(10),
    probe_interval: Duration::from_secs(10),
};
/// A caller's connection that was accepted.
pub(crate) struct CallerConnection {
    pub(crate) state: Arc<SharedState>,
    pub(crate) stop: ShutdownTokens,
    pub(crate) client: Rc<ClientConnection>,
    pub(crate) _held: HeldBytes,
}

/// How a connection ended.
enum ConnectionEnd {
    /// It was served until its caller or a response closed it.
    Served,
    /// It is closed before its time.
    Closed,
}

struct OpenConnectionGuard(Arc<SharedState>);

impl OpenConnectionGuard {
    fn new(state: Arc<SharedState>) -> OpenConnectionGuard {
        state.open_connections.fetch_add(1, Ordering::Relaxed);
        OpenConnectionGuard(state)
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

impl CallerConnection {
    /// Serves requests until the connection ends.
    pub(crate) async fn serve(self, stream: TcpStream) {
        let _open = OpenConnectionGuard::new(self.state.clone());
        if let Err(err) = set_peer_timeout(&stream, CALLER_TCP_TIMEOUT) {
            tracing::debug!("cannot set TCP options on caller connection: {err}");
        }
        let (stream, end) = self.serve_requests(stream).await;
        match end {
            ConnectionEnd::Served => {}
            ConnectionEnd::Closed if self.client.phase() == ClientPhase::Idle => {}
            ConnectionEnd::Closed => reset(&stream),
        }
    }

    /// Serves requests, and returns the connection without its buffers.
    async fn serve_requests(&self, stream: TcpStream) -> (TcpStream, ConnectionEnd) {
        let switch = ResetSwitch::default();
        let (state, client) = (self.state.clone(), self.client.clone());
        let io = CallerIo::new(stream, client.clone(), switch.clone());
        let service_stop = self.stop.clone();
        let service = service_fn(move |request| {
            let (state, stop, client) = (state.clone(), service_stop.clone(), client.clone());
            serve_request(state, stop, client, request, switch.clone())
        });
        let idle = self
            .state
            .table
            .load()
            .as_ref()
            .map_or(DEFAULT_IDLE_TIMEOUT, |table| table.limits().idle_timeout);
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // Also applies to the idle time between requests.
            .header_read_timeout(idle)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(io), service);
        let mut is_draining = false;
        let end = loop {
            tokio::select! {
                // A connection is chosen for what it is doing; it must not go on to another phase first.
                biased;
                () = self.client.closed() => break ConnectionEnd::Closed,
                result = &mut connection => break match result {
                    Ok(()) => ConnectionEnd::Served,
                    Err(err) => {
                        tracing::debug!("caller connection failed: {err}");
                        ConnectionEnd::Served
                    }
                },
                () = self.stop.draining.cancelled(), if !is_draining => {
                    is_draining = true;
                    // Closes immediately if no request is open, otherwise after the response.
                    Pin::new(&mut connection).graceful_shutdown();
                }
            }
        };
        (connection.into_parts().io.into_inner().into_stream(), end)
    }
}

fn reset(stream: &TcpStream) {
    if let Err(err) = set_reset_on_close(stream, true) {
        tracing::debug!("cannot reset a caller connection: {err}");
    }
}
