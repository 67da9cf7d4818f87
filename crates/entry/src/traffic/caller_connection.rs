//! Serves one connection of a caller, and ends it so that the last answer arrives.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fulmargate_names::ErrorKind;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::daemon::ShutdownTokens;
use crate::sockets::PeerTimeout;
use crate::sockets::set_peer_timeout;
use crate::sockets::set_reset_on_close;
use crate::state::HeldBytes;
use crate::state::SharedState;
use crate::traffic::caller_io::CallerIo;
use crate::traffic::caller_io::RECEIVE_BUFFER_BYTES;
use crate::traffic::caller_io::ResetSwitch;
use crate::traffic::client_connection::ClientConnection;
use crate::traffic::client_connection::ClientPhase;
use crate::traffic::client_connection::CloseReason;
use crate::traffic::request_failure::RequestFailure;
use crate::traffic::request_service::serve_request;

/// Memory of a connection: its task, its first read buffer, and what the kernel may hold of it unread.
pub(crate) const CONNECTION_BYTES: usize = 24 << 10;
/// Memory of a connection that only discards what it receives.
const LINGERING_BYTES: usize = 2 * RECEIVE_BUFFER_BYTES + (2 << 10);
/// Limits of a connection until a configuration is loaded.
const DEFAULT_HEAD_BYTES: usize = 32 << 10;
const DEFAULT_BODY_BYTES: usize = 4 << 20;
/// hyper requires a read buffer of this size at least.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// How long data sent to a caller may stay unacknowledged before the connection is dropped.
const CALLER_TCP_TIMEOUT: PeerTimeout = PeerTimeout {
    unacknowledged: Duration::from_secs(10),
    probe_interval: Duration::from_secs(10),
};
/// How long a caller that was refused may go on sending.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes discarded at a time.
const DISCARD_BYTES: usize = 4 << 10;
/// Stands for the remaining time of a caller whose head was not read. It only bounds `retry-after`.
const UNREAD_HEAD_TIME_LEFT: Duration = Duration::from_secs(1);

/// A caller's connection that was accepted.
pub(crate) struct CallerConnection {
    pub(crate) state: Arc<SharedState>,
    pub(crate) stop: ShutdownTokens,
    pub(crate) client: Rc<ClientConnection>,
    pub(crate) held: HeldBytes,
}

/// How a connection ended.
enum ConnectionEnd {
    /// It was served until its caller or a response closed it.
    Served,
    /// Its head could not be read, and was refused.
    Malformed,
    /// It is closed before its time.
    Closed(Option<CloseReason>),
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
    pub(crate) async fn serve(mut self, stream: TcpStream) {
        let _open = OpenConnectionGuard::new(self.state.clone());
        if let Err(err) = set_peer_timeout(&stream, CALLER_TCP_TIMEOUT) {
            tracing::debug!("cannot set TCP options on caller connection: {err}");
        }
        let (mut stream, end) = self.serve_requests(stream).await;
        let refusal = match end {
            ConnectionEnd::Served if self.client.has_unread_body() => None,
            ConnectionEnd::Malformed => None,
            ConnectionEnd::Served => return,
            ConnectionEnd::Closed(reason) => match (self.client.phase(), reason) {
                (ClientPhase::Head, Some(reason)) => Some(head_refusal(reason)),
                (ClientPhase::Idle, _) => return,
                _ => return reset(&stream),
            },
        };
        self.held.shrink_to(LINGERING_BYTES);
        self.client.begin_lingering();
        tokio::select! {
            // Boxed, so that an idle connection does not take its memory.
            () = Box::pin(linger(&mut stream, refusal, self.max_discarded_bytes())) => {}
            () = self.client.ended() => reset(&stream),
            () = self.stop.draining.cancelled() => {}
        }
    }

    /// Serves requests, and returns the connection without its buffers.
    async fn serve_requests(&self, stream: TcpStream) -> (TcpStream, ConnectionEnd) {
        let switch = ResetSwitch::default();
        let (state, client) = (self.state.clone(), self.client.clone());
        let io = CallerIo::new(stream, state.clone(), client.clone(), switch.clone());
        let service_stop = self.stop.clone();
        let service = service_fn(move |request| {
            let (state, stop, client) = (state.clone(), service_stop.clone(), client.clone());
            serve_request(state, stop, client, request, switch.clone())
        });
        let head_bytes = self.max_head_bytes();
        let mut connection = http1::Builder::new()
            // Idle connections and slow heads are timed where they are read.
            .header_read_timeout(None)
            .max_buf_size(head_bytes.max(MIN_BUFFER_BYTES))
            .max_header_size(head_bytes)
            .serve_connection(TokioIo::new(io), service);
        let mut is_draining = false;
        let end = loop {
            tokio::select! {
                // A connection is chosen for what it is doing; it must not go on to another phase first.
                biased;
                reason = self.client.closed() => break ConnectionEnd::Closed(reason),
                result = &mut connection => break match result {
                    Ok(()) => ConnectionEnd::Served,
                    Err(err) => {
                        tracing::debug!("caller connection failed: {err}");
                        match err.is_parse() {
                            true => ConnectionEnd::Malformed,
                            false => ConnectionEnd::Served,
                        }
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

    /// Upper bound of a head.
    fn max_head_bytes(&self) -> usize {
        let table = self.state.table.load();
        table.as_ref().map_or(DEFAULT_HEAD_BYTES, |table| table.limits().header_bytes)
    }

    /// What is discarded at the most of a refused caller: twice the largest body.
    fn max_discarded_bytes(&self) -> usize {
        let table = self.state.table.load();
        2 * table.as_ref().map_or(DEFAULT_BODY_BYTES, |table| table.limits().body_bytes)
    }
}

/// The answer to a head that is not read to its end.
fn head_refusal(reason: CloseReason) -> String {
    let kind = match reason {
        CloseReason::HeadTimeout | CloseReason::IdleTimeout => ErrorKind::SlowCaller,
        CloseReason::Memory | CloseReason::Descriptors => ErrorKind::QueueFull,
    };
    let failure = RequestFailure::new(kind, UNREAD_HEAD_TIME_LEFT).with_connection_close();
    failure.to_text()
}

/// Ends the sending side, and discards what arrives until the caller ends its own. A connection that is closed with
/// unread bytes is reset, and the caller would find the reset in place of the answer.
async fn linger(stream: &mut TcpStream, refusal: Option<String>, max_bytes: usize) {
    let discarding = async {
        if let Some(refusal) = refusal {
            stream.write_all(refusal.as_bytes()).await?;
        }
        stream.shutdown().await?;
        let mut discarded = [0; DISCARD_BYTES];
        let mut total = 0;
        while total < max_bytes {
            match stream.read(&mut discarded).await? {
                0 => break,
                bytes => total += bytes,
            }
        }
        Ok::<(), std::io::Error>(())
    };
    if let Ok(Err(err)) = timeout(LINGER_TIMEOUT, discarding).await {
        tracing::debug!("refused caller connection failed: {err}");
    }
}

fn reset(stream: &TcpStream) {
    if let Err(err) = set_reset_on_close(stream, true) {
        tracing::debug!("cannot reset a caller connection: {err}");
    }
}
