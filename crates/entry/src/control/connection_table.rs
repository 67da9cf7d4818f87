//! Outgoing connections to other routers, opened on demand.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use fulmargate_names::EventKind;
use fulmargate_names::HostName;
use h2::SendStream;
use http::Request;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::control::fleet_codec::RELAY_HEADER;
use crate::control::fleet_codec::RELAYED_PATH;
use crate::sockets::PeerTimeout;
use crate::sockets::set_peer_timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// A connection is closed when sent data stays unacknowledged for this time.
const PEER_TIMEOUT: PeerTimeout =
    PeerTimeout { unacknowledged: Duration::from_secs(1), probe_interval: Duration::from_secs(1) };
/// Delay before a failed connection is retried.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// How long the failure of a host is remembered after it is no longer a target. Until then the host
/// is not used as a relay.
const FAILURE_RETENTION: Duration = Duration::from_secs(5);
/// Maximum number of concurrent connection attempts. On a small host, connecting to a whole fleet
/// at once takes so much CPU time that the attempts and reads of the store time out.
const MAX_CONCURRENT_CONNECTS: usize = 8;
/// Send buffer of a connection that carries this router's own messages.
const MAX_OWN_BUFFER_BYTES: usize = 16 * 1024;

/// An HTTP/2 stream of messages to one router.
pub(crate) struct PeerConnection {
    stream: SendStream<Bytes>,
    max_buffered_bytes: usize,
    task: AbortOnDropHandle<()>,
}

/// Why a connection could not be opened or used.
#[derive(Debug, Display, Error, From)]
enum ConnectionError {
    #[display("{_0}")]
    Io(std::io::Error),
    #[display("{_0}")]
    Stream(h2::Error),
    #[display("connect timed out")]
    TimedOut,
    #[display("stream reset by peer: {_0}")]
    #[from(ignore)]
    #[error(ignore)]
    Reset(h2::Reason),
    #[display("connection closed")]
    Closed,
}

/// Which messages a connection carries.
#[derive(Clone, Debug)]
pub(crate) enum StreamKind {
    /// This router's own messages.
    Own,
    /// Messages that this host relays.
    Relayed(HostName),
}

/// Connections by the router they lead to.
pub(crate) struct ConnectionTable {
    stream_kind: StreamKind,
    /// Send buffer of a connection. Messages that don't fit are dropped: the receiver is slow.
    max_buffered_bytes: usize,
    connections: IndexMap<HostName, PeerConnection>,
    /// Hosts whose last connection or connection attempt failed, and when.
    failed_hosts: IndexMap<HostName, Instant>,
    connecting: IndexSet<HostName>,
}

/// Shared with the tasks that open connections.
pub(crate) type SharedConnections = Rc<RefCell<ConnectionTable>>;

impl Default for ConnectionTable {
    fn default() -> ConnectionTable {
        ConnectionTable::new(StreamKind::Own, MAX_OWN_BUFFER_BYTES)
    }
}

impl ConnectionTable {
    pub(crate) fn new(stream_kind: StreamKind, max_buffered_bytes: usize) -> ConnectionTable {
        ConnectionTable {
            stream_kind,
            max_buffered_bytes,
            connections: IndexMap::new(),
            failed_hosts: IndexMap::new(),
            connecting: IndexSet::new(),
        }
    }

    /// Closes connections to other hosts, and forgets their failures after [`FAILURE_RETENTION`].
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&HostName) -> bool) {
        self.connections.retain(|host, _| is_kept(host));
        self.failed_hosts.retain(|host, at| is_kept(host) || at.elapsed() < FAILURE_RETENTION);
    }

    /// Whether the last connection or connection attempt to a host failed.
    pub(crate) fn has_failed(&self, host: &HostName) -> bool {
        self.failed_hosts.contains_key(host)
    }

    fn can_connect(&self, host: &HostName) -> bool {
        let last_failure = self.failed_hosts.get(host);
        let is_paused = last_failure.is_some_and(|at| at.elapsed() < RETRY_DELAY);
        !is_paused
            && !self.connecting.contains(host)
            && self.connecting.len() < MAX_CONCURRENT_CONNECTS
    }

    fn send(&mut self, host: &HostName, message: &Bytes) {
        let Some(connection) = self.connections.get_mut(host) else { return };
        if let Err(err) = connection.send(message) {
            self.connections.swap_remove(host);
            self.record_failure(host, &err.to_string());
        }
    }

    fn add_connection(&mut self, host: &HostName, connection: PeerConnection) {
        self.connections.insert(host.clone(), connection);
        if self.failed_hosts.swap_remove(host).is_some() {
            let kind = EventKind::PeerUp;
            tracing::info!(event = kind.number(), name = kind.name(), peer = %host);
        }
    }

    fn record_failure(&mut self, host: &HostName, reason: &str) {
        if self.failed_hosts.insert(host.clone(), Instant::now()).is_none() {
            let kind = EventKind::PeerDown;
            tracing::info!(event = kind.number(), name = kind.name(), peer = %host, reason);
        }
    }
}

impl PeerConnection {
    /// Sends a message, or drops it if it doesn't fit the send buffer.
    fn send(&mut self, message: &Bytes) -> Result<(), ConnectionError> {
        self.check_open()?;
        self.stream.reserve_capacity(self.max_buffered_bytes);
        if self.stream.capacity() < message.len() {
            return Ok(());
        }
        Ok(self.stream.send_data(message.clone(), false)?)
    }

    /// Fails if the connection or its stream was closed. Its capacity is zero then, as with a slow
    /// receiver.
    fn check_open(&mut self) -> Result<(), ConnectionError> {
        if self.task.is_finished() {
            return Err(ConnectionError::Closed);
        }
        // Polled for every message, so no wake-up is needed.
        let mut context = Context::from_waker(Waker::noop());
        match self.stream.poll_reset(&mut context) {
            Poll::Pending => Ok(()),
            Poll::Ready(Ok(reason)) => Err(ConnectionError::Reset(reason)),
            Poll::Ready(Err(err)) => Err(err.into()),
        }
    }
}

/// Sends a message to a host. Without a connection, opens one for the next message and drops this
/// one.
pub(crate) fn send_or_connect(
    table: &SharedConnections,
    host: &HostName,
    address: SocketAddr,
    message: &Bytes,
) {
    let mut guard = table.borrow_mut();
    if guard.connections.contains_key(host) {
        guard.send(host, message);
    } else if guard.can_connect(host) {
        guard.connecting.insert(host.clone());
        // Opened in a task: attempts to reach a partitioned zone would delay all other messages.
        actix_rt::spawn(connect_and_insert(table.clone(), host.clone(), address));
    }
}

async fn connect_and_insert(table: SharedConnections, host: HostName, address: SocketAddr) {
    let (stream_kind, max_buffered_bytes) = {
        let table = table.borrow();
        (table.stream_kind.clone(), table.max_buffered_bytes)
    };
    let result = connect(address, &stream_kind, max_buffered_bytes).await;
    let mut table = table.borrow_mut();
    table.connecting.swap_remove(&host);
    match result {
        Ok(connection) => table.add_connection(&host, connection),
        Err(err) => table.record_failure(&host, &err.to_string()),
    }
}

async fn connect(
    address: SocketAddr,
    stream_kind: &StreamKind,
    max_buffered_bytes: usize,
) -> Result<PeerConnection, ConnectionError> {
    let connecting = open_stream(address, stream_kind, max_buffered_bytes);
    let attempt = timeout(CONNECT_TIMEOUT, connecting).await;
    attempt.map_err(|_| ConnectionError::TimedOut)?
}

async fn open_stream(
    address: SocketAddr,
    stream_kind: &StreamKind,
    max_buffered_bytes: usize,
) -> Result<PeerConnection, ConnectionError> {
    let stream = TcpStream::connect(address).await?;
    set_peer_timeout(&stream, PEER_TIMEOUT)?;
    let (mut client, connection) = h2::client::handshake(stream).await?;
    let task = actix_rt::spawn(async move {
        if let Err(err) = connection.await {
            tracing::debug!("connection to a router failed: {err}");
        }
    });
    let request = match stream_kind {
        StreamKind::Own => Request::post(format!("http://{address}/news")),
        StreamKind::Relayed(relay) => Request::post(format!("http://{address}{RELAYED_PATH}"))
            .header(RELAY_HEADER, relay.as_str()),
    };
    let request = request.body(()).unwrap_or_default();
    let (_answer, stream) = client.send_request(request, false)?;
    Ok(PeerConnection { stream, max_buffered_bytes, task: AbortOnDropHandle::new(task) })
}
