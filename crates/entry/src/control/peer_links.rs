//! Tells the other routers what this one has under way.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use fulmargate_dispatch::PeerNews;
use fulmargate_dispatch::WeightsAge;
use fulmargate_dispatch::told_parts;
use fulmargate_dispatch::word_pace;
use fulmargate_names::EventKind;
use fulmargate_names::HostName;
use h2::SendStream;
use http::Request;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use crate::control::fleet_codec::encode_news;
use crate::control::fleet_desk::SharedFold;
use crate::sockets::watch_peer;
use crate::state::SharedState;
use crate::state::boot_now;

/// Pause before a message that an engine is about to load. A wave orders some 20 engines within some
/// milliseconds; told one by one to 90 routers, they kept a host with an eighth of a core busy for two
/// seconds, and its reports and its lease timed out.
const URGENT_PACE: Duration = Duration::from_millis(30);
/// And this much more for each other router.
const URGENT_PER_PEER: Duration = Duration::from_millis(1);
/// A router that has nothing to say says so at this pace; a word counts for 1.2 s.
const IDLE_PACE: Duration = Duration::from_millis(400);
/// A router in another zone answers in 2 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Messages that a router's host does not confirm for so long break the link.
const SILENT_PEER: Duration = Duration::from_millis(1_000);
/// A router that could not be reached is tried again after this time.
const RETRY_PAUSE: Duration = Duration::from_millis(1_000);
/// Links that are opened at the same time. A new process on an eighth of a core that opened 90 at once had
/// no time left for a second, lost them all to their timeout, and with them its reads of the store.
const MOST_OPENING: usize = 8;
/// Messages that may wait in a link, in bytes. A router that reads slower misses some.
const MOST_WAITING_BYTES: usize = 16 * 1024;

/// A stream of messages to one router.
struct PeerLink {
    stream: SendStream<Bytes>,
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

/// Links by the router they lead to.
#[derive(Default)]
struct LinkTable {
    links: IndexMap<HostName, PeerLink>,
    /// Routers that could not be reached, and when they were last tried.
    failed: IndexMap<HostName, Instant>,
    opening: IndexSet<HostName>,
}

type SharedTable = Rc<RefCell<LinkTable>>;

/// One link for each other router, opened when there is something to say.
pub(crate) struct PeerLinks {
    state: Arc<SharedState>,
    fold: SharedFold,
    table: SharedTable,
}

impl PeerLinks {
    /// No links yet.
    pub(crate) fn new(state: Arc<SharedState>, fold: SharedFold) -> PeerLinks {
        PeerLinks { state, fold, table: SharedTable::default() }
    }

    /// Tells on and on: at a pace, and soon when an engine is about to load.
    pub(crate) async fn run(self) {
        let mut was_busy = false;
        let mut told = Instant::now();
        let mut waited = Instant::now();
        let link = self.state.settings.link_bytes_per_s();
        loop {
            let peers = self.peers();
            let pace = word_pace(peers.len());
            let urgent_pace = URGENT_PACE + URGENT_PER_PEER * peers.len() as u32;
            tokio::select! {
                () = sleep(pace) => {}
                () = self.state.loading.changed() => sleep_until(waited + urgent_pace).await,
            }
            let since = waited.elapsed().min(pace);
            waited = Instant::now();
            let news = self.news(told_parts(link, peers.len(), since));
            let is_busy = is_worth_telling(&news);
            // The last of it is said, too: that nothing is under way any more. After that a word now
            // and then, so that the others know who is there.
            if is_busy || was_busy || IDLE_PACE <= told.elapsed() {
                self.tell(&peers, &news);
                told = Instant::now();
            }
            was_busy = is_busy;
        }
    }

    /// The other routers, from this one on in the order of their records: so that not all open their first
    /// links to the same ones.
    fn peers(&self) -> Vec<(HostName, SocketAddr)> {
        let fold = self.fold.borrow();
        let own = &self.state.settings.host;
        let mut members: Vec<(HostName, SocketAddr)> =
            fold.members().map(|(host, address)| (host.clone(), *address)).collect();
        if let Some(position) = members.iter().position(|(host, _)| host == own) {
            members.rotate_left(position);
            members.remove(0);
        }
        members
    }

    fn news(&self, most_parts: usize) -> PeerNews {
        let mut news = self.state.book().take_news(most_parts, Instant::now());
        news.host = Some(self.state.settings.host.clone());
        news.zone = Some(self.state.settings.zone.clone());
        news.loading = self.state.loading.notices();
        news.weights = self.weights_ages();
        news
    }

    /// Versions named lately; of older ones everybody knows that they are old.
    fn weights_ages(&self) -> Vec<WeightsAge> {
        let now = boot_now();
        let weights = self.state.weights.load();
        let ages = weights.targets().map(|(model, target)| WeightsAge {
            model: model.clone(),
            version: target.version,
            age_ms: now.since(target.learned).as_millis() as u64,
        });
        let longest = self.state.settings.bounds.weights_ms;
        ages.filter(|age| age.age_ms < longest).collect()
    }

    fn tell(&self, peers: &[(HostName, SocketAddr)], news: &PeerNews) {
        let message = match encode_news(news) {
            Ok(message) => Bytes::from(message),
            Err(err) => {
                tracing::error!("a message cannot be written: {err}");
                return;
            }
        };
        let mut table = self.table.borrow_mut();
        table.links.retain(|host, _| peers.iter().any(|(peer, _)| peer == host));
        for (host, address) in peers {
            if table.links.contains_key(host) {
                table.send(host, &message);
            } else if table.may_open(host) {
                table.opening.insert(host.clone());
                // Beside the others: a zone that is cut off would hold up all words for seconds.
                actix_rt::spawn(open(self.table.clone(), host.clone(), *address));
            }
        }
    }
}

impl PeerLink {
    /// A message that finds no room is left out: the other router reads slowly.
    fn send(&mut self, message: &Bytes) -> Result<(), LinkFault> {
        self.check()?;
        self.stream.reserve_capacity(MOST_WAITING_BYTES);
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

impl LinkTable {
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

/// Opens a link. The next message goes over it.
async fn open(table: SharedTable, host: HostName, address: SocketAddr) {
    let result = connect(address).await;
    let mut table = table.borrow_mut();
    table.opening.swap_remove(&host);
    match result {
        Ok(link) => table.note_link(&host, link),
        Err(fault) => table.note_failure(&host, &fault.to_string()),
    }
}

fn is_worth_telling(news: &PeerNews) -> bool {
    !news.loads.is_empty()
        || !news.loading.is_empty()
        || !news.prompts.is_empty()
        || !news.caches.is_empty()
        || !news.weights.is_empty()
}

async fn connect(address: SocketAddr) -> Result<PeerLink, LinkFault> {
    let connecting = timeout(CONNECT_TIMEOUT, open_stream(address)).await;
    connecting.map_err(|_| LinkFault::TimedOut)?
}

async fn open_stream(address: SocketAddr) -> Result<PeerLink, LinkFault> {
    let stream = TcpStream::connect(address).await?;
    watch_peer(&stream, SILENT_PEER)?;
    let (mut client, connection) = h2::client::handshake(stream).await?;
    let task = actix_rt::spawn(async move {
        if let Err(err) = connection.await {
            tracing::debug!("a link to a router has ended: {err}");
        }
    });
    let request = Request::post(format!("http://{address}/news")).body(());
    let request = request.unwrap_or_default();
    let (_answer, stream) = client.send_request(request, false)?;
    Ok(PeerLink { stream, task: AbortOnDropHandle::new(task) })
}
