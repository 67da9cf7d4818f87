//! Table of open links.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use fulmargate_names::EventKind;
use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::MemberRecord;
use crate::net::frame_io::FrameQueue;
use crate::net::link_task::LinkContext;
use crate::net::link_task::run_outgoing_link;
use crate::net::net_state::IncomingLink;
use crate::net::net_state::LinkEvent;
use crate::net::net_state::NetState;
use crate::wire::PeerFrame;

/// Maximum number of frames queued for one peer. When the queue is full, the link is closed, which
/// bounds the memory used for a peer that does not read. Anti-entropy recovers the lost updates.
pub(crate) const LINK_QUEUE_CAPACITY: usize = 64;
/// Beyond this number, the least recently used outgoing link is closed.
const MAX_OUTGOING_LINKS: usize = 32;
/// Idle timeout of incoming links, as a multiple of that of outgoing ones. Usually the peer that
/// opened a link closes it; this timeout covers peers that disappeared without closing.
const INCOMING_IDLE_FACTOR: u64 = 3;

struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<Bytes>,
    pending: Rc<Cell<usize>>,
    cancellation: CancellationToken,
    member: Option<MemberRecord>,
    is_outgoing: bool,
    last_used_ms: u64,
}

/// Result of sending a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendOutcome {
    /// The frame was queued on a link.
    Queued,
    /// The queue was full or closed. The link was closed.
    QueueFull,
}

/// Links by ID and, for each address, the link used for sending.
pub(crate) struct LinkTable {
    state: Rc<NetState>,
    events: mpsc::Sender<LinkEvent>,
    links: IndexMap<u64, Link>,
    links_by_address: IndexMap<SocketAddr, u64>,
    last_link_id: Rc<Cell<u64>>,
}

impl LinkTable {
    pub(crate) fn new(
        state: Rc<NetState>,
        events: mpsc::Sender<LinkEvent>,
        last_link_id: Rc<Cell<u64>>,
    ) -> LinkTable {
        LinkTable {
            state,
            events,
            links: IndexMap::new(),
            links_by_address: IndexMap::new(),
            last_link_id,
        }
    }

    /// Queues a frame for an address, opening a link if there is none.
    pub(crate) fn send(&mut self, to: SocketAddr, frame: &PeerFrame, now_ms: u64) -> SendOutcome {
        let bytes = self.state.encode(frame);
        let link_id = self.usable_link(to).unwrap_or_else(|| self.open(to, now_ms));
        let Some(link) = self.links.get_mut(&link_id) else {
            return SendOutcome::QueueFull;
        };
        link.last_used_ms = now_ms;
        if link.queue.try_send(bytes).is_ok() {
            link.pending.set(link.pending.get() + 1);
            return SendOutcome::Queued;
        }
        self.state.counters.links_overrun.fetch_add(1, Ordering::Relaxed);
        let kind = EventKind::PeerOverrun;
        tracing::warn!(event = kind.number(), name = kind.name(), address = %to);
        self.remove(link_id);
        SendOutcome::QueueFull
    }

    fn usable_link(&self, to: SocketAddr) -> Option<u64> {
        let link_id = *self.links_by_address.get(&to)?;
        let is_usable = self.links.get(&link_id).is_some_and(|link| !link.queue.is_closed());
        is_usable.then_some(link_id)
    }

    fn open(&mut self, to: SocketAddr, now_ms: u64) -> u64 {
        self.evict_least_recently_used();
        let link_id = self.last_link_id.get() + 1;
        self.last_link_id.set(link_id);
        let (queue, frames) = mpsc::channel(LINK_QUEUE_CAPACITY);
        let pending = Rc::new(Cell::new(0));
        let cancellation = self.state.cancellation.child_token();
        let context = LinkContext {
            link_id,
            state: self.state.clone(),
            events: self.events.clone(),
            cancellation: cancellation.clone(),
        };
        let frame_queue = FrameQueue { frames, pending: pending.clone() };
        actix_rt::spawn(context.clone().run(run_outgoing_link(context, to, frame_queue)));
        self.state.counters.links_opened.fetch_add(1, Ordering::Relaxed);
        let link = Link {
            address: to,
            queue,
            pending,
            cancellation,
            member: None,
            is_outgoing: true,
            last_used_ms: now_ms,
        };
        self.links.insert(link_id, link);
        self.links_by_address.insert(to, link_id);
        link_id
    }

    fn evict_least_recently_used(&mut self) {
        let outgoing = self.links.iter().filter(|(_, link)| link.is_outgoing);
        if outgoing.clone().count() >= MAX_OUTGOING_LINKS {
            let oldest =
                outgoing.min_by_key(|(_, link)| link.last_used_ms).map(|(&link_id, _)| link_id);
            if let Some(link_id) = oldest {
                self.remove(link_id);
            }
        }
    }

    /// Records the peer of an established link. An incoming link is also used for sending unless
    /// the address already has a usable link.
    pub(crate) fn register(
        &mut self,
        link_id: u64,
        member: MemberRecord,
        incoming: Option<IncomingLink>,
        now_ms: u64,
    ) {
        if let Some(incoming) = incoming {
            let address = member.address;
            let IncomingLink { queue, pending, cancellation } = incoming;
            let link = Link {
                address,
                queue,
                pending,
                cancellation,
                member: None,
                is_outgoing: false,
                last_used_ms: now_ms,
            };
            self.links.insert(link_id, link);
            if self.usable_link(address).is_none() {
                self.links_by_address.insert(address, link_id);
            }
        }
        if let Some(link) = self.links.get_mut(&link_id) {
            link.member = Some(member);
        }
    }

    /// The peer of a link, or `None` if the link is closed or not yet established.
    pub(crate) fn peer(&self, link_id: u64) -> Option<&MemberRecord> {
        self.links.get(&link_id)?.member.as_ref()
    }

    pub(crate) fn mark_used(&mut self, link_id: u64, now_ms: u64) {
        if let Some(link) = self.links.get_mut(&link_id) {
            link.last_used_ms = now_ms;
        }
    }

    /// Closes all links to an address; the next frame opens a new one.
    pub(crate) fn close_links_to(&mut self, to: SocketAddr) {
        let links = self.links.iter().filter(|(_, link)| link.address == to);
        let links: Vec<u64> = links.map(|(&link_id, _)| link_id).collect();
        for link_id in links {
            self.remove(link_id);
        }
    }

    /// Closes and removes a link, returning its address if it was in the table.
    pub(crate) fn remove(&mut self, link_id: u64) -> Option<SocketAddr> {
        let link = self.links.swap_remove(&link_id)?;
        link.cancellation.cancel();
        if self.links_by_address.get(&link.address) == Some(&link_id) {
            self.links_by_address.swap_remove(&link.address);
        }
        Some(link.address)
    }

    pub(crate) fn close_all(&mut self) {
        self.links.values().for_each(|link| link.cancellation.cancel());
        self.links.clear();
        self.links_by_address.clear();
    }

    pub(crate) fn close_idle(&mut self, now_ms: u64) {
        let idle_timeout_ms = self.state.idle_timeout_ms;
        let idle_factor = |link: &Link| if link.is_outgoing { 1 } else { INCOMING_IDLE_FACTOR };
        let limit_ms = |link: &Link| idle_factor(link) * idle_timeout_ms;
        let is_idle = |link: &Link| now_ms.saturating_sub(link.last_used_ms) >= limit_ms(link);
        let idle: Vec<u64> = self
            .links
            .iter()
            .filter(|(_, link)| is_idle(link))
            .map(|(&link_id, _)| link_id)
            .collect();
        for link_id in idle {
            self.remove(link_id);
        }
    }

    /// Number of queued frames that have not been written yet.
    pub(crate) fn pending(&self) -> usize {
        self.links.values().map(|link| link.pending.get()).sum()
    }
}
