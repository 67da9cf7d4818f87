//! Connections to backend servers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use fulmargate_dispatch::ConnectEnd;
use fulmargate_dispatch::ServerEntry;
use http::Request;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::sockets::watch_peer;
use crate::state::SharedState;
use crate::state::note_connect;

/// A server in another zone answers in 2 ms; an opening packet that was lost is sent again after a
/// second, when another server has long answered.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Bytes that a server's host does not confirm for so long break the connection.
const SILENT_SERVER: Duration = Duration::from_millis(1_500);

/// A connection for one request. It is never used again: a server may send more than its answer,
/// or an earlier answer late, and on a connection that is used again such bytes would be taken for
/// the next answer. A new connection costs about a millisecond.
pub(crate) struct Channel {
    sender: http1::SendRequest<Full<Bytes>>,
    _task: AbortOnDropHandle<()>,
}

/// Why there is no connection: nothing was sent.
#[derive(Debug, Display, Error)]
pub(crate) enum ConnectFault {
    /// The server's host said that there is none.
    #[display("no connection: {reason}")]
    Refused { reason: String },
    /// This host could not try, or not go on: no route, no port, no file left.
    #[display("no connection: {reason}")]
    Failed { reason: String },
    #[display("no connection in time")]
    TimedOut,
}

impl ConnectFault {
    fn new(err: &io::Error) -> ConnectFault {
        let reason = err.to_string();
        match err.kind() {
            io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset => {
                ConnectFault::Refused { reason }
            }
            _ => ConnectFault::Failed { reason },
        }
    }

    /// What it says of the server.
    pub(crate) fn end(&self) -> ConnectEnd {
        match self {
            ConnectFault::Refused { .. } => ConnectEnd::Refused,
            ConnectFault::Failed { .. } | ConnectFault::TimedOut => ConnectEnd::Silent,
        }
    }
}

impl Channel {
    /// Connects to a server and has the book know how that ended.
    pub(crate) async fn to_server(
        state: &Arc<SharedState>,
        server: &ServerEntry,
    ) -> Result<Channel, ConnectFault> {
        let connecting = Channel::connect(server.address).await;
        let end = connecting.as_ref().map_or_else(ConnectFault::end, |_| ConnectEnd::Reached);
        note_connect(state, server.key(), end);
        connecting
    }

    /// Connects. Dropping the channel closes the connection, which tells the server to stop.
    pub(crate) async fn connect(address: SocketAddr) -> Result<Channel, ConnectFault> {
        let failed = |reason: String| ConnectFault::Failed { reason };
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connecting
            .map_err(|_| ConnectFault::TimedOut)?
            .map_err(|err| ConnectFault::new(&err))?;
        watch_peer(&stream, SILENT_SERVER).map_err(|err| ConnectFault::new(&err))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|err| failed(err.to_string()))?;
        let task = tokio::task::spawn_local(async move {
            if let Err(err) = connection.await {
                tracing::debug!("a connection to a server has ended: {err}");
            }
        });
        Ok(Channel { sender, _task: AbortOnDropHandle::new(task) })
    }

    /// Sends the request. From here on a server may have it, whatever the result.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<http::Response<Incoming>, hyper::Error> {
        self.sender.send_request(request).await
    }
}
