//! Links to other routers, opened when there is something to say.

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
use crate::sockets::watch_peer;

/// A router in another zone answers in 2 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Messages that a router's host does not confirm for so long break the link.
const SILENT_PEER: Duration = Duration::from_millis(1_000);
/// A router that could not be reached is tried again after this time.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// A router that could not be reached is no relay for so long.
const FAILURE_MEMORY: Duration = Duration::from_secs(5);
/// Links that are opened at the same time. A new process on a small host that opened all at once had
/// no time left, lost them all to their timeout, and with them its reads of the store.
const MOST_OPENING: usize = 8;
/// Own words that may wait in a link, in bytes.
const MOST_WAITING_BYTES: usize = 16 * 1024;

/// A stream of messages to one router.
pub(crate) struct PeerLink {
    stream: SendStream<Bytes>,
    most_waiting_bytes: usize,
    task: AbortOnDropHandle<()>,
}

/// Why there is no link.
#[derive(Debug, Display, Error, From)]
enum LinkFault {
    #[display("{_0}")]
    Io(std::io::Error),
    #[display("{_0}")]
    Stream(h2::Error),
    #[display("no connection in time")]
    TimedOut,
    #[display("the other end has left: {_0}")]
    #[from(ignore)]
    #[error(ignore)]
    Left(h2::Reason),
    #[display("its connection has ended")]
    Ended,
}

/// What goes over links.
#[derive(Clone, Debug)]
pub(crate) enum LinkPath {
    /// This router's own words.
    News,
    /// Words that this host passes on.
    Relayed(HostName),
}

/// Links by the router they lead to.
pub(crate) struct LinkTable {
    path: LinkPath,
    /// Bytes that may wait in a link. A router that reads slower misses some messages.
    most_waiting_bytes: usize,
    links: IndexMap<HostName, PeerLink>,
    /// Routers that could not be reached, and when they were last tried.
    failed: IndexMap<HostName, Instant>,
    opening: IndexSet<HostName>,
}

/// Shared with the tasks that open links.
pub(crate) type SharedTable = Rc<RefCell<LinkTable>>;

impl Default for LinkTable {
    fn default() -> LinkTable {
        LinkTable::new(LinkPath::News, MOST_WAITING_BYTES)
    }
}

impl LinkTable {
    /// No links yet.
    pub(crate) fn new(path: LinkPath, most_waiting_bytes: usize) -> LinkTable {
        LinkTable {
            path,
            most_waiting_bytes,
            links: IndexMap::new(),
            failed: IndexMap::new(),
            opening: IndexSet::new(),
        }
    }

    /// Keeps links to these hosts only.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&HostName) -> bool) {
        self.links.retain(|host, _| is_kept(host));
        self.failed.retain(|host, at| is_kept(host) || at.elapsed() < FAILURE_MEMORY);
    }

    /// Whether a host could not be reached when that was last tried.
    pub(crate) fn has_failed(&self, host: &HostName) -> bool {
        self.failed.contains_key(host)
    }

    fn may_open(&self, host: &HostName) -> bool {
        let failed = self.failed.get(host);
        let is_paused = failed.is_some_and(|at| at.elapsed() < RETRY_PAUSE);
        !is_paused && !self.opening.contains(host) && self.opening.len() < MOST_OPENING
    }

    fn send(&mut self, host: &HostName, message: &Bytes) {
        let Some(link) = self.links.get_mut(host) else { return };
        if let Err(fault) = link.send(message) {
            self.links.swap_remove(host);
            self.note_failure(host, &fault.to_string());
        }
    }

    fn note_link(&mut self, host: &HostName, link: PeerLink) {
        self.links.insert(host.clone(), link);
        if self.failed.swap_remove(host).is_some() {
            let up = EventKind::PeerUp;
            tracing::info!(event = up.number(), name = up.name(), peer = %host);
        }
    }

    fn note_failure(&mut self, host: &HostName, reason: &str) {
        if self.failed.insert(host.clone(), Instant::now()).is_none() {
            let down = EventKind::PeerDown;
            tracing::info!(event = down.number(), name = down.name(), peer = %host, reason);
        }
    }
}

impl PeerLink {
    /// A message that finds no room is left out: the other router reads slowly.
    fn send(&mut self, message: &Bytes) -> Result<(), LinkFault> {
        self.check()?;
        self.stream.reserve_capacity(self.most_waiting_bytes);
        if self.stream.capacity() < message.len() {
            return Ok(());
        }
        Ok(self.stream.send_data(message.clone(), false)?)
    }

    /// A link to a process that has ended has no room and looks like that of a slow router. Taken for one,
    /// it was kept for good: a host that had been started anew heard nobody, and did alone what routers share
    /// out among them. Each word asks first, so that the link is opened again a second after.
    fn check(&mut self) -> Result<(), LinkFault> {
        if self.task.is_finished() {
            return Err(LinkFault::Ended);
        }
        // Asked at each word; nobody need be woken.
        let mut context = Context::from_waker(Waker::noop());
        match self.stream.poll_reset(&mut context) {
            Poll::Pending => Ok(()),
            Poll::Ready(Ok(reason)) => Err(LinkFault::Left(reason)),
            Poll::Ready(Err(err)) => Err(err.into()),
        }
    }
}

/// Sends a message over the link to a host, or opens one for the next message.
pub(crate) fn tell(table: &SharedTable, host: &HostName, address: SocketAddr, message: &Bytes) {
    let mut links = table.borrow_mut();
    if links.links.contains_key(host) {
        links.send(host, message);
    } else if links.may_open(host) {
        links.opening.insert(host.clone());
        // Beside the others: a zone that is cut off would hold up all words for seconds.
        actix_rt::spawn(open(table.clone(), host.clone(), address));
    }
}

/// Opens a link. The next message goes over it.
async fn open(table: SharedTable, host: HostName, address: SocketAddr) {
    let (path, most_waiting_bytes) = {
        let table = table.borrow();
        (table.path.clone(), table.most_waiting_bytes)
    };
    let result = connect(address, &path, most_waiting_bytes).await;
    let mut table = table.borrow_mut();
    table.opening.swap_remove(&host);
    match result {
        Ok(link) => table.note_link(&host, link),
        Err(fault) => table.note_failure(&host, &fault.to_string()),
    }
}

async fn connect(
    address: SocketAddr,
    path: &LinkPath,
    most_waiting_bytes: usize,
) -> Result<PeerLink, LinkFault> {
    let opening = open_stream(address, path, most_waiting_bytes);
    let connecting = timeout(CONNECT_TIMEOUT, opening).await;
    connecting.map_err(|_| LinkFault::TimedOut)?
}

async fn open_stream(
    address: SocketAddr,
    path: &LinkPath,
    most_waiting_bytes: usize,
) -> Result<PeerLink, LinkFault> {
    let stream = TcpStream::connect(address).await?;
    watch_peer(&stream, SILENT_PEER)?;
    let (mut client, connection) = h2::client::handshake(stream).await?;
    let task = actix_rt::spawn(async move {
        if let Err(err) = connection.await {
            tracing::debug!("a link to a router has ended: {err}");
        }
    });
    let request = match path {
        LinkPath::News => Request::post(format!("http://{address}/news")),
        LinkPath::Relayed(own) => Request::post(format!("http://{address}{RELAYED_PATH}"))
            .header(RELAY_HEADER, own.as_str()),
    };
    let request = request.body(()).unwrap_or_default();
    let (_answer, stream) = client.send_request(request, false)?;
    Ok(PeerLink { stream, most_waiting_bytes, task: AbortOnDropHandle::new(task) })
}
