//! Connections to backend servers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http::Request;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::sockets::watch_peer;

/// A server in another zone answers in 2 ms; an opening packet that was lost is sent again after a
/// second, when another server has long answered.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
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
    #[display("no connection: {reason}")]
    Refused { reason: String },
    #[display("no connection in time")]
    TimedOut,
}

impl Channel {
    /// Connects. Dropping the channel closes the connection, which tells the server to stop.
    pub(crate) async fn connect(address: SocketAddr) -> Result<Channel, ConnectFault> {
        let refused = |reason: String| ConnectFault::Refused { reason };
        let connecting = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connecting
            .map_err(|_| ConnectFault::TimedOut)?
            .map_err(|err| refused(err.to_string()))?;
        watch_peer(&stream, SILENT_SERVER).map_err(|err| refused(err.to_string()))?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|err| refused(err.to_string()))?;
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
