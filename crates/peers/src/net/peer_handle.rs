//! The router's side of the exchange.

use std::cell::Cell;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use fulmargate_names::HostName;
use indexmap::IndexMap;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::ItemRecord;
use crate::MemberRecord;
use crate::PeerConf;
use crate::PeerCore;
use crate::PeerCounters;
use crate::PeerItem;
use crate::PeerNews;
use crate::net::ask_side::ask;
use crate::net::link_table::LinkTable;
use crate::net::listener_task::ListenerTask;
use crate::net::net_loop::LeaveRequest;
use crate::net::net_loop::NetLoop;
use crate::net::net_state::EVENT_QUEUE;
use crate::net::net_state::NetState;
use crate::net::peer_question::AskError;
use crate::net::peer_question::PeerQuestion;
use crate::net::peer_question::QuestionFrame;

/// Starts the exchange.
pub struct PeerNet;

impl PeerNet {
    /// Listens, calls on seeds, and runs until the token is cancelled. To be called on the control
    /// thread, within its runtime; everything runs there.
    pub fn start(
        conf: &PeerConf,
        cancellation: CancellationToken,
    ) -> io::Result<(PeerHandle, mpsc::UnboundedReceiver<PeerNews>)> {
        PeerNet::start_on(std::net::TcpListener::bind(conf.listen)?, conf, cancellation)
    }

    /// Does what `start` does, on a listener that was taken before.
    pub fn start_on(
        listener: std::net::TcpListener,
        conf: &PeerConf,
        cancellation: CancellationToken,
    ) -> io::Result<(PeerHandle, mpsc::UnboundedReceiver<PeerNews>)> {
        listener.set_nonblocking(true)?;
        let address = advertised(conf, listener.local_addr()?)?;
        let listener = TcpListener::from_std(listener)?;
        let state = Rc::new(NetState {
            core: RefCell::new(PeerCore::new(conf, address, 0)),
            fleet: conf.fleet.clone(),
            idle_ms: conf.pace.idle_ms,
            counters: Arc::default(),
            answerer: RefCell::new(None),
            answers_open: Cell::new(0),
            wake: Notify::new(),
            started: Instant::now(),
            cancellation,
        });
        let (event_sender, events) = mpsc::channel(EVENT_QUEUE);
        let (item_sender, items) = mpsc::unbounded_channel();
        let (leave_sender, leaves) = mpsc::unbounded_channel();
        let (news_sender, news) = mpsc::unbounded_channel();
        let next_link = Rc::new(Cell::new(0));
        let links = LinkTable::new(state.clone(), event_sender.clone(), next_link.clone());
        let net_loop = NetLoop {
            state: state.clone(),
            links,
            events,
            items,
            leaves,
            news: news_sender,
            leaving: Vec::new(),
        };
        let listener_task = ListenerTask {
            state: state.clone(),
            events: event_sender,
            next_link,
            open: Rc::new(Cell::new(0)),
        };
        actix_rt::spawn(listener_task.run(listener));
        actix_rt::spawn(net_loop.run(conf.pace.tick_ms));
        Ok((PeerHandle { state, items: item_sender, leaves: leave_sender }, news))
    }
}

/// A host that listens on all its addresses must be told by which of them others reach it. Port 0
/// stands for the port that was taken.
fn advertised(conf: &PeerConf, local: SocketAddr) -> io::Result<SocketAddr> {
    let mut address = conf.advertise.unwrap_or(local);
    if address.ip().is_unspecified() {
        let reason = format!("{address} cannot be connected to: an address to advertise is needed");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, reason));
    }
    if address.port() == 0 {
        address.set_port(local.port());
    }
    Ok(address)
}

/// What the router's control thread calls. Other threads use `item_sender` and `counters`.
#[derive(Clone)]
pub struct PeerHandle {
    state: Rc<NetState>,
    items: mpsc::UnboundedSender<PeerItem>,
    leaves: mpsc::UnboundedSender<LeaveRequest>,
}

impl PeerHandle {
    /// Tells the other routers.
    pub fn put(&self, item: PeerItem) {
        self.state.core.borrow_mut().put(item, self.state.now_ms());
        self.state.wake.notify_one();
    }

    /// Tells the other routers, for a given time.
    pub fn put_for(&self, item: PeerItem, ttl_ms: u64) {
        self.state.core.borrow_mut().put_for(item, ttl_ms, self.state.now_ms());
        self.state.wake.notify_one();
    }

    /// Does what `put` does, from any thread.
    pub fn item_sender(&self) -> mpsc::UnboundedSender<PeerItem> {
        self.items.clone()
    }

    /// Asks one host. Ask another when it fails.
    pub async fn ask(&self, host: &HostName, question: PeerQuestion) -> Result<Bytes, AskError> {
        let address = self.present_address(host).ok_or(AskError::UnknownHost)?;
        let frame = QuestionFrame { fleet: self.state.fleet.clone(), host: host.clone(), question };
        ask(self.state.clone(), address, frame).await
    }

    fn present_address(&self, host: &HostName) -> Option<SocketAddr> {
        let core = self.state.core.borrow();
        core.member(host).filter(|record| record.is_present()).map(|record| record.address)
    }

    /// Answers questions of peers from now on. Runs on the control thread, so it must be short.
    pub fn set_answerer(&self, answerer: impl Fn(PeerQuestion) -> Option<Bytes> + 'static) {
        *self.state.answerer.borrow_mut() = Some(Rc::new(answerer));
    }

    /// More peers to call on when they are not known as members, such as the platform's host list.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        self.state.core.borrow_mut().add_seeds(seeds);
    }

    /// All hosts known, this one among them.
    pub fn members(&self) -> Vec<MemberRecord> {
        self.state.core.borrow().members()
    }

    /// All items held, with what is left of their lives.
    pub fn items(&self) -> Vec<ItemRecord> {
        self.state.core.borrow().items(self.state.now_ms())
    }

    /// Where this host listens for peers.
    pub fn address(&self) -> SocketAddr {
        self.state.core.borrow().own().address
    }

    /// Counters, to be read from any thread.
    pub fn counters(&self) -> Arc<PeerCounters> {
        self.state.counters.clone()
    }

    /// Bytes by kind and direction: label, sent, received.
    pub fn byte_counts(&self) -> IndexMap<&'static str, (u64, u64)> {
        let rows = self.state.counters.rows();
        rows.into_iter().map(|row| (row.kind.name(), (row.sent, row.received))).collect()
    }

    /// A planned stop: says good-bye, and returns when that is written or after a second. The token
    /// is to be cancelled after it.
    pub async fn leave(&self) {
        let (done, is_done) = oneshot::channel();
        if self.leaves.send(LeaveRequest { done }).is_ok() {
            let _ = is_done.await;
        }
    }
}
