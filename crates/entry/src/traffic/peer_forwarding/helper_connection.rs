//! A connection to a host that sends requests for this one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use h2::Ping;
use h2::PingPong;
use h2::Reason;
use h2::SendStream;
use h2::client::ResponseFuture;
use h2::client::SendRequest;
use http::Request;
use http::StatusCode;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::sockets::PeerTimeout;
use crate::sockets::set_peer_timeout;
use crate::traffic::block_body::BlockBody;
use crate::traffic::peer_forwarding::ForwardBody;
use crate::traffic::peer_forwarding::ForwardHead;
use crate::traffic::peer_forwarding::ForwardReply;
use crate::traffic::peer_forwarding::forward_wire::FORWARD_PATH;
use crate::traffic::peer_forwarding::forward_wire::INCARNATION_HEADER;
use crate::traffic::peer_forwarding::forward_wire::SENDER_HEADER;
use crate::traffic::peer_forwarding::forward_wire::WireError;
use crate::traffic::peer_forwarding::forward_wire::encode_head;
use crate::traffic::peer_forwarding::forward_wire::read_head;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Pings notice a silent helper sooner.
const TCP_TIMEOUT: PeerTimeout =
    PeerTimeout { unacknowledged: Duration::from_secs(3), probe_interval: Duration::from_secs(1) };
/// Interval of pings while a request is open.
const PING_INTERVAL: Duration = Duration::from_millis(200);
/// A helper that does not answer a ping within this time is given up with all its requests. Allows for a host that
/// gets no processor time for a while.
const PING_TIMEOUT: Duration = Duration::from_millis(1_500);
/// A connection without requests is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Bytes of a response on the way that its caller has not taken.
const STREAM_WINDOW_BYTES: u32 = 32 * 1024;
/// Bytes of all responses on the way. Slow callers must not hold up the others on the connection.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;
/// Upper bound of the reply to a message.
const MAX_REPLY_BYTES: usize = 256 * 1024;

/// Why a request could not be forwarded.
#[derive(Debug, Display, Error)]
pub(crate) enum ForwardError {
    /// No byte of the request was read there.
    #[display("not forwarded: {reason}")]
    NotSent { reason: String },
    /// The helper may have sent the request to a server.
    #[display("the helper was lost: {reason}")]
    Broken { reason: String },
}

impl ForwardError {
    fn not_sent(reason: &dyn ToString) -> ForwardError {
        ForwardError::NotSent { reason: reason.to_string() }
    }

    fn broken(reason: &dyn ToString) -> ForwardError {
        ForwardError::Broken { reason: reason.to_string() }
    }

    fn of_stream(err: &h2::Error) -> ForwardError {
        // A stream that was refused was not processed.
        match err.reason() {
            Some(Reason::REFUSED_STREAM) => ForwardError::not_sent(err),
            _ => ForwardError::broken(err),
        }
    }
}

/// The open connection. It is closed when the last handle is dropped, when the helper is silent, and after a while
/// without requests.
#[derive(Clone)]
pub(crate) struct HelperConnection {
    pub(crate) host: HostName,
    pub(crate) address: SocketAddr,
    client: SendRequest<Bytes>,
    /// Number of open requests.
    open: Arc<watch::Sender<usize>>,
    task: Arc<AbortOnDropHandle<()>>,
}

/// Counts a request as open. Keeps the connection from being closed.
pub(crate) struct OpenStream {
    open: Arc<watch::Sender<usize>>,
    _task: Arc<AbortOnDropHandle<()>>,
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.open.send_modify(|open| *open -= 1);
    }
}

/// The name and incarnation by which a helper recognizes this host.
#[derive(Clone, Debug)]
pub(crate) struct SenderIdentity {
    pub(crate) host: HostName,
    pub(crate) incarnation: Incarnation,
}

impl HelperConnection {
    /// Connects to a host's listener for other routers.
    pub(crate) async fn connect(
        host: HostName,
        address: SocketAddr,
    ) -> Result<HelperConnection, ForwardError> {
        let connecting = timeout(CONNECT_TIMEOUT, HelperConnection::open(host, address)).await;
        connecting.map_err(|_| ForwardError::not_sent(&"no connection in time"))?
    }

    async fn open(host: HostName, address: SocketAddr) -> Result<HelperConnection, ForwardError> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|err| ForwardError::not_sent(&err))?;
        set_peer_timeout(&stream, TCP_TIMEOUT).map_err(|err| ForwardError::not_sent(&err))?;
        let mut builder = h2::client::Builder::new();
        builder.initial_window_size(STREAM_WINDOW_BYTES);
        builder.initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        let handshake = builder.handshake(stream).await;
        let (client, mut connection) = handshake.map_err(|err| ForwardError::not_sent(&err))?;
        let pings = connection.ping_pong();
        let open = Arc::new(watch::Sender::new(0));
        let open_count = open.subscribe();
        let task = spawn_local(async move {
            let Some(pings) = pings else { return };
            tokio::select! {
                result = connection => if let Err(err) = result {
                    tracing::debug!("connection to a helper failed: {err}");
                },
                () = watch_helper(pings, open_count) => {}
            }
        });
        let task = Arc::new(AbortOnDropHandle::new(task));
        Ok(HelperConnection { host, address, client, open, task })
    }

    /// Whether the connection has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.task.is_finished()
    }

    /// Forwards a request and waits for the head of the reply. Dropping the returned body, or this call, cancels the
    /// request.
    pub(crate) async fn send(
        &self,
        sender: &SenderIdentity,
        head: &ForwardHead,
        body: &BlockBody,
    ) -> Result<(ForwardReply, ForwardBody), ForwardError> {
        let open = self.open_stream();
        let encoded = encode_head(head).map_err(|err| ForwardError::not_sent(&err))?;
        let (response, mut stream) = self.begin(sender, FORWARD_PATH).await?;
        let mut response = std::pin::pin!(response);
        // The helper may reply before it has read the whole request.
        let response = tokio::select! {
            biased;
            response = &mut response => response,
            sent = send_message(&mut stream, encoded, body) => match sent {
                Ok(()) => response.await,
                Err(err) => return Err(ForwardError::broken(&err)),
            },
        };
        let response = response.map_err(|err| ForwardError::of_stream(&err))?;
        if response.status() == StatusCode::FORBIDDEN {
            return Err(ForwardError::not_sent(&"the helper does not know this host"));
        }
        let mut body = response.into_body();
        let (reply, first) =
            read_head(&mut body).await.map_err(|err| ForwardError::broken(&err))?;
        Ok((reply, ForwardBody::new(first, body, open)))
    }

    /// Sends a message to the service at this path, and returns the reply.
    pub(crate) async fn exchange(
        &self,
        sender: &SenderIdentity,
        path: &str,
        message: Bytes,
    ) -> Result<Bytes, ForwardError> {
        let _open = self.open_stream();
        let (response, mut stream) = self.begin(sender, path).await?;
        let sending = async {
            send_bytes(&mut stream, message).await?;
            Ok::<(), WireError>(stream.send_data(Bytes::new(), true)?)
        };
        sending.await.map_err(|err| ForwardError::broken(&err))?;
        let response = response.await.map_err(|err| ForwardError::of_stream(&err))?;
        if response.status() != StatusCode::OK {
            return Err(ForwardError::not_sent(&response.status()));
        }
        let mut body = response.into_body();
        let mut reply = BytesMut::new();
        while let Some(chunk) = body.data().await {
            let chunk = chunk.map_err(|err| ForwardError::of_stream(&err))?;
            let released = body.flow_control().release_capacity(chunk.len());
            released.map_err(|err| ForwardError::of_stream(&err))?;
            reply.extend_from_slice(&chunk);
            if MAX_REPLY_BYTES < reply.len() {
                return Err(ForwardError::broken(&"the reply is too long"));
            }
        }
        Ok(reply.freeze())
    }

    /// Opens a stream for a request with this path.
    async fn begin(
        &self,
        sender: &SenderIdentity,
        path: &str,
    ) -> Result<(ResponseFuture, SendStream<Bytes>), ForwardError> {
        let request = Request::post(format!("http://{}{path}", self.address))
            .header(SENDER_HEADER, sender.host.as_str())
            .header(INCARNATION_HEADER, sender.incarnation.0)
            .body(())
            .map_err(|err| ForwardError::not_sent(&err))?;
        let client = self.client.clone().ready().await;
        let mut client = client.map_err(|err| ForwardError::not_sent(&err))?;
        client.send_request(request, false).map_err(|err| ForwardError::not_sent(&err))
    }

    fn open_stream(&self) -> OpenStream {
        self.open.send_modify(|open| *open += 1);
        OpenStream { open: self.open.clone(), _task: self.task.clone() }
    }
}

/// Returns when the connection has to be closed: the helper is silent while requests are open, or there were none for
/// a while.
async fn watch_helper(mut pings: PingPong, mut open: watch::Receiver<usize>) {
    loop {
        let in_use = timeout(IDLE_TIMEOUT, open.wait_for(|open| 0 < *open)).await;
        if !matches!(in_use, Ok(Ok(_))) {
            return;
        }
        drop(in_use);
        let answer = timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await;
        if !matches!(answer, Ok(Ok(_))) {
            return;
        }
        sleep(PING_INTERVAL).await;
    }
}

async fn send_message(
    stream: &mut SendStream<Bytes>,
    head: Bytes,
    body: &BlockBody,
) -> Result<(), WireError> {
    send_bytes(stream, head).await?;
    for block in body.blocks() {
        send_bytes(stream, block.clone()).await?;
    }
    Ok(stream.send_data(Bytes::new(), true)?)
}

/// Sends bytes as the receiver takes them, without buffering them here.
pub(crate) async fn send_bytes(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
) -> Result<(), WireError> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = std::future::poll_fn(|context| stream.poll_capacity(context)).await;
        let capacity = capacity.ok_or(WireError::Closed)??;
        let chunk = bytes.split_to(capacity.min(bytes.len()));
        if !chunk.is_empty() {
            stream.send_data(chunk, false)?;
        }
    }
    Ok(())
}
