//! Connections to backend servers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use fulmargate_dispatch::BodyFraming;
use fulmargate_dispatch::ConnectOutcome;
use fulmargate_dispatch::ServerEntry;
use http::Request;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use nix::libc::EMFILE;
use nix::libc::ENFILE;
use tokio::net::TcpSocket;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::sockets::PeerTimeout;
use crate::sockets::set_peer_timeout;
use crate::state::SharedState;
use crate::state::record_connect_outcome;
use crate::traffic::block_body::BlockBody;
use crate::traffic::server_io::ExchangeProgress;
use crate::traffic::server_io::ServerIo;

/// Shorter than the one second after which TCP retransmits a lost SYN: trying another server is faster. Must agree
/// with the constant of the same name in the local fault detector of `fulmargate-dispatch`.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Longer than a sound server may be silent, and shorter than callers wait for the next event of a stream.
const SERVER_TCP_TIMEOUT: PeerTimeout =
    PeerTimeout { unacknowledged: Duration::from_secs(3), probe_interval: Duration::from_secs(1) };

/// Receive buffer of a connection. Linux makes twice as much of it.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;
/// Memory of a connection that is in use: its task, its queue and its buffers.
pub(crate) const SERVER_CONNECTION_BYTES: usize = 30 << 10;
/// What the kernel may hold of it unread while nothing is read.
pub(crate) const UNREAD_RESPONSE_BYTES: usize = 24 << 10;
/// Upper bound of a response head, and of the bytes that are read ahead.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A connection for a single request. Connections are not reused: if a server sends excess bytes or a late
/// response, the next request on the connection would receive them as its response.
pub(crate) struct ServerConnection {
    sender: http1::SendRequest<BlockBody>,
    progress: ExchangeProgress,
    _task: AbortOnDropHandle<()>,
}

/// Why a connection could not be opened. No byte of the request was sent.
#[derive(Debug, Display, Error)]
pub(crate) enum ConnectError {
    /// The connection was refused or reset by the server's machine.
    #[display("no connection: {reason}")]
    Refused { reason: String },
    /// Any other error, such as no route, or no free port or file descriptor on this host.
    #[display("no connection: {reason}")]
    Failed { reason: String },
    #[display("no connection in time")]
    TimedOut,
    /// This process may open no further descriptor. It tells nothing of the server.
    #[display("no descriptor for a connection")]
    NoDescriptor,
}

impl ConnectError {
    fn new(err: &io::Error) -> ConnectError {
        let reason = err.to_string();
        if matches!(err.raw_os_error(), Some(EMFILE | ENFILE)) {
            return ConnectError::NoDescriptor;
        }
        match err.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                ConnectError::Refused { reason }
            }
            _ => ConnectError::Failed { reason },
        }
    }

    /// The outcome to record for the server. Errors other than a refusal, including those of this host, are
    /// recorded as timeouts.
    pub(crate) fn outcome(&self) -> ConnectOutcome {
        match self {
            ConnectError::Refused { .. } => ConnectOutcome::Refused,
            ConnectError::Failed { .. } | ConnectError::TimedOut | ConnectError::NoDescriptor => {
                ConnectOutcome::TimedOut
            }
        }
    }
}

impl ServerConnection {
    /// Connects to a server and records the outcome.
    pub(crate) async fn connect_to_server(
        state: &Arc<SharedState>,
        server: &ServerEntry,
    ) -> Result<ServerConnection, ConnectError> {
        let result = ServerConnection::connect(server.address).await;
        if matches!(result, Err(ConnectError::NoDescriptor)) {
            return result;
        }
        let outcome =
            result.as_ref().map_or_else(ConnectError::outcome, |_| ConnectOutcome::Reached);
        record_connect_outcome(state, server.key(), outcome);
        result
    }

    /// Opens a connection. Dropping it makes the server cancel the request.
    pub(crate) async fn connect(address: SocketAddr) -> Result<ServerConnection, ConnectError> {
        let failed = |reason: String| ConnectError::Failed { reason };
        let socket = TcpSocket::new_v4().map_err(|err| ConnectError::new(&err))?;
        let bounded = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
        bounded.map_err(|err| ConnectError::new(&err))?;
        let result = timeout(CONNECT_TIMEOUT, socket.connect(address)).await;
        let stream =
            result.map_err(|_| ConnectError::TimedOut)?.map_err(|err| ConnectError::new(&err))?;
        set_peer_timeout(&stream, SERVER_TCP_TIMEOUT).map_err(|err| ConnectError::new(&err))?;
        let progress = ExchangeProgress::default();
        let io = TokioIo::new(ServerIo::new(stream, progress.clone()));
        let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(io).await;
        let (sender, connection) = handshake.map_err(|err| failed(err.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            if let Err(err) = connection.await {
                tracing::debug!("connection to backend server failed: {err}");
            }
        });
        let _task = AbortOnDropHandle::new(task);
        Ok(ServerConnection { sender, progress, _task })
    }

    /// Sends the request. The server may have received it even if this fails.
    pub(crate) async fn send(
        &mut self,
        request: Request<BlockBody>,
    ) -> Result<http::Response<Incoming>, hyper::Error> {
        let method = request.method().clone();
        let bytes = request.body().size_hint().exact().unwrap_or_default();
        self.progress.record_request(usize::try_from(bytes).unwrap_or(usize::MAX));
        let response = self.sender.send_request(request).await;
        self.progress.record_part();
        if let Ok(response) = &response
            && BodyFraming::of_response(&method, response.status(), response.headers())
                != BodyFraming::UntilClose
        {
            self.progress.record_framing();
        }
        response
    }

    /// Records that bytes of the response's body have arrived.
    pub(crate) fn record_part(&self) {
        self.progress.record_part();
    }
}
