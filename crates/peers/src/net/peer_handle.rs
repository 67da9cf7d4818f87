//! Interface of the peer exchange to the router.

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
use crate::net::link_table::LinkTable;
use crate::net::listener_task::ListenerTask;
use crate::net::net_loop::LeaveRequest;
use crate::net::net_loop::NetLoop;
use crate::net::net_state::EVENT_QUEUE_CAPACITY;
use crate::net::net_state::NetState;
use crate::net::peer_question::PeerQuestion;
use crate::net::peer_question::QueryError;
use crate::net::peer_question::QueryFrame;
use crate::net::query_client::send_query;

/// Starts the peer exchange.
pub struct PeerNet;

impl PeerNet {
    /// Listens for peers, joins the fleet through the seeds and runs until the token is cancelled.
    /// Must be called within the runtime of the control thread, on which all tasks run.
    pub fn start(
        conf: &PeerConf,
        cancellation: CancellationToken,
    ) -> io::Result<(PeerHandle, mpsc::UnboundedReceiver<PeerNews>)> {
        PeerNet::start_on(std::net::TcpListener::bind(conf.listen)?, conf, cancellation)
    }

    /// Like `start`, but uses an already bound listener.
    pub fn start_on(
        listener: std::net::TcpListener,
        conf: &PeerConf,
        cancellation: CancellationToken,
    ) -> io::Result<(PeerHandle, mpsc::UnboundedReceiver<PeerNews>)> {
        listener.set_nonblocking(true)?;
        let address = advertised_address(conf, listener.local_addr()?)?;
        let listener = TcpListener::from_std(listener)?;
        let state = Rc::new(NetState {
            core: RefCell::new(PeerCore::new(conf, address, 0)),
            fleet: conf.fleet.clone(),
            idle_timeout_ms: conf.pace.idle_timeout_ms,
            counters: Arc::default(),
            query_handler: RefCell::new(None),
            active_queries: Cell::new(0),
            wake: Notify::new(),
            started_at: Instant::now(),
            cancellation,
        });
        let (event_sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let (item_sender, items) = mpsc::unbounded_channel();
        let (leave_sender, leave_requests) = mpsc::unbounded_channel();
        let (news_sender, news) = mpsc::unbounded_channel();
        let last_link_id = Rc::new(Cell::new(0));
        let links = LinkTable::new(state.clone(), event_sender.clone(), last_link_id.clone());
        let net_loop = NetLoop {
            state: state.clone(),
            links,
            events,
            items,
            leave_requests,
            news: news_sender,
            pending_leaves: Vec::new(),
        };
        let listener_task = ListenerTask {
            state: state.clone(),
            events: event_sender,
            last_link_id,
            open_connections: Rc::new(Cell::new(0)),
        };
        actix_rt::spawn(listener_task.run(listener));
        actix_rt::spawn(net_loop.run(conf.pace.gossip_interval_ms));
        Ok((PeerHandle { state, items: item_sender, leave_requests: leave_sender }, news))
    }
}

/// Resolves the address to advertise. Fails if it is unspecified; port 0 is replaced by the port of
/// the listener.
fn advertised_address(conf: &PeerConf, local: SocketAddr) -> io::Result<SocketAddr> {
    let mut address = conf.advertise.unwrap_or(local);
    if address.ip().is_unspecified() {
        let reason =
            format!("peers cannot connect to {address}: an advertised address must be configured");
        return Err(io::Error::new(io::ErrorKind::InvalidInput, reason));
    }
    if address.port() == 0 {
        address.set_port(local.port());
    }
    Ok(address)
}

/// Handle for the control thread. Other threads use `item_sender` and `counters`.
#[derive(Clone)]
pub struct PeerHandle {
    state: Rc<NetState>,
    items: mpsc::UnboundedSender<PeerItem>,
    leave_requests: mpsc::UnboundedSender<LeaveRequest>,
}

impl PeerHandle {
    /// Publishes an item to the other routers.
    pub fn put(&self, item: PeerItem) {
        self.state.core.borrow_mut().publish(item, self.state.now_ms());
        self.state.wake.notify_one();
    }

    /// Publishes an item that expires after `ttl_ms`.
    pub fn publish_with_ttl(&self, item: PeerItem, ttl_ms: u64) {
        self.state.core.borrow_mut().publish_with_ttl(item, ttl_ms, self.state.now_ms());
        self.state.wake.notify_one();
    }

    /// Returns a channel to publish items from any thread, like `put`.
    pub fn item_sender(&self) -> mpsc::UnboundedSender<PeerItem> {
        self.items.clone()
    }

    /// Sends a query to one host. Does not retry with another host.
    pub async fn ask(&self, host: &HostName, query: PeerQuestion) -> Result<Bytes, QueryError> {
        let address = self.address_of(host).ok_or(QueryError::UnknownHost)?;
        let frame = QueryFrame { fleet: self.state.fleet.clone(), host: host.clone(), query };
        send_query(self.state.clone(), address, frame).await
    }

    fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        let core = self.state.core.borrow();
        core.member(host).filter(|record| record.is_present()).map(|record| record.address)
    }

    /// Sets the handler of queries from peers. It runs on the control thread and must not block.
    pub fn set_answerer(&self, query_handler: impl Fn(PeerQuestion) -> Option<Bytes> + 'static) {
        *self.state.query_handler.borrow_mut() = Some(Rc::new(query_handler));
    }

    /// Adds addresses to contact while they are not known as members, such as the platform's host
    /// list.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        self.state.core.borrow_mut().add_seeds(seeds);
    }

    /// All known hosts, including this one.
    pub fn members(&self) -> Vec<MemberRecord> {
        self.state.core.borrow().members()
    }

    /// All stored items with their remaining lifetimes.
    pub fn items(&self) -> Vec<ItemRecord> {
        self.state.core.borrow().items(self.state.now_ms())
    }

    /// Address that this host advertises to peers.
    pub fn address(&self) -> SocketAddr {
        self.state.core.borrow().own().address
    }

    /// Traffic counters, which can be read from any thread.
    pub fn counters(&self) -> Arc<PeerCounters> {
        self.state.counters.clone()
    }

    /// Bytes sent and received, by traffic kind.
    pub fn byte_counts(&self) -> IndexMap<&'static str, (u64, u64)> {
        let rows = self.state.counters.rows();
        rows.into_iter().map(|row| (row.kind.name(), (row.sent, row.received))).collect()
    }

    /// Announces a planned stop. Returns when the announcement has been written, or after one
    /// second. Cancel the token afterwards.
    pub async fn leave(&self) {
        let (done, completed) = oneshot::channel();
        if self.leave_requests.send(LeaveRequest { done }).is_ok() {
            let _ = completed.await;
        }
    }
}
