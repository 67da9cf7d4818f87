//! The links of one host.

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
use crate::net::frame_pump::FrameQueue;
use crate::net::link_task::LinkContext;
use crate::net::link_task::open_link;
use crate::net::net_state::AcceptedLink;
use crate::net::net_state::LinkEvent;
use crate::net::net_state::NetState;
use crate::wire::PeerFrame;

/// Frames that wait for one peer. Beyond it the link is dropped: comparing heals what is lost, and
/// a peer that does not read must not hold this host's memory.
pub(crate) const LINK_QUEUE: usize = 64;
/// Links that a host keeps open to others; the one least used makes room.
const OPEN_LIMIT: usize = 32;
/// How much later than the opener the other side closes a link: the opener may have been cut off
/// without a word.
const ACCEPTED_PATIENCE: u64 = 3;

struct Link {
    address: SocketAddr,
    queue: mpsc::Sender<Bytes>,
    waiting: Rc<Cell<usize>>,
    cancellation: CancellationToken,
    member: Option<MemberRecord>,
    opened_here: bool,
    used_ms: u64,
}

/// What became of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendFate {
    /// It waits in a link's queue.
    Queued,
    /// The peer did not read: its link was dropped.
    Overrun,
}

/// Links by number, and which of them to use for an address.
pub(crate) struct LinkTable {
    state: Rc<NetState>,
    events: mpsc::Sender<LinkEvent>,
    links: IndexMap<u64, Link>,
    routes: IndexMap<SocketAddr, u64>,
    next_link: Rc<Cell<u64>>,
}

impl LinkTable {
    pub(crate) fn new(
        state: Rc<NetState>,
        events: mpsc::Sender<LinkEvent>,
        next_link: Rc<Cell<u64>>,
    ) -> LinkTable {
        LinkTable { state, events, links: IndexMap::new(), routes: IndexMap::new(), next_link }
    }

    /// Queues a frame for an address; opens a link when there is none.
    pub(crate) fn send(&mut self, to: SocketAddr, frame: &PeerFrame, now_ms: u64) -> SendFate {
        let bytes = self.state.encode(frame);
        let link = self.route(to).unwrap_or_else(|| self.open(to, now_ms));
        let Some(held) = self.links.get_mut(&link) else {
            return SendFate::Overrun;
        };
        held.used_ms = now_ms;
        if held.queue.try_send(bytes).is_ok() {
            held.waiting.set(held.waiting.get() + 1);
            return SendFate::Queued;
        }
        self.state.counters.links_overrun.fetch_add(1, Ordering::Relaxed);
        let kind = EventKind::PeerOverrun;
        tracing::warn!(event = kind.number(), name = kind.name(), address = %to);
        self.remove(link);
        SendFate::Overrun
    }

    fn route(&self, to: SocketAddr) -> Option<u64> {
        let link = *self.routes.get(&to)?;
        let is_usable = self.links.get(&link).is_some_and(|held| !held.queue.is_closed());
        is_usable.then_some(link)
    }

    fn open(&mut self, to: SocketAddr, now_ms: u64) -> u64 {
        self.make_room();
        let link = self.next_link.get() + 1;
        self.next_link.set(link);
        let (queue, frames) = mpsc::channel(LINK_QUEUE);
        let waiting = Rc::new(Cell::new(0));
        let cancellation = self.state.cancellation.child_token();
        let context = LinkContext {
            link,
            state: self.state.clone(),
            events: self.events.clone(),
            cancellation: cancellation.clone(),
        };
        let frame_queue = FrameQueue { frames, waiting: waiting.clone() };
        actix_rt::spawn(context.clone().run(open_link(context, to, frame_queue)));
        self.state.counters.links_opened.fetch_add(1, Ordering::Relaxed);
        let held = Link {
            address: to,
            queue,
            waiting,
            cancellation,
            member: None,
            opened_here: true,
            used_ms: now_ms,
        };
        self.links.insert(link, held);
        self.routes.insert(to, link);
        link
    }

    fn make_room(&mut self) {
        let opened = self.links.iter().filter(|(_, held)| held.opened_here);
        if opened.clone().count() >= OPEN_LIMIT {
            let oldest = opened.min_by_key(|(_, held)| held.used_ms).map(|(&link, _)| link);
            if let Some(link) = oldest {
                self.remove(link);
            }
        }
    }

    /// A link is up. One that a peer has opened is used for answers unless there is another.
    pub(crate) fn up(
        &mut self,
        link: u64,
        member: MemberRecord,
        accepted: Option<AcceptedLink>,
        now_ms: u64,
    ) {
        if let Some(ends) = accepted {
            let address = member.address;
            let AcceptedLink { queue, waiting, cancellation } = ends;
            let held = Link {
                address,
                queue,
                waiting,
                cancellation,
                member: None,
                opened_here: false,
                used_ms: now_ms,
            };
            self.links.insert(link, held);
            if self.route(address).is_none() {
                self.routes.insert(address, link);
            }
        }
        if let Some(held) = self.links.get_mut(&link) {
            held.member = Some(member);
        }
    }

    /// Who speaks on a link; `None` when it was dropped meanwhile.
    pub(crate) fn speaker(&self, link: u64) -> Option<&MemberRecord> {
        self.links.get(&link)?.member.as_ref()
    }

    /// A frame came on a link.
    pub(crate) fn touch(&mut self, link: u64, now_ms: u64) {
        if let Some(held) = self.links.get_mut(&link) {
            held.used_ms = now_ms;
        }
    }

    /// Gives up the links to an address, so that the next frame makes a new one.
    pub(crate) fn drop_to(&mut self, to: SocketAddr) {
        let links = self.links.iter().filter(|(_, held)| held.address == to);
        let links: Vec<u64> = links.map(|(&link, _)| link).collect();
        for link in links {
            self.remove(link);
        }
    }

    /// Forgets a link; its address when it was in use.
    pub(crate) fn remove(&mut self, link: u64) -> Option<SocketAddr> {
        let held = self.links.swap_remove(&link)?;
        held.cancellation.cancel();
        if self.routes.get(&held.address) == Some(&link) {
            self.routes.swap_remove(&held.address);
        }
        Some(held.address)
    }

    pub(crate) fn drop_all(&mut self) {
        self.links.values().for_each(|held| held.cancellation.cancel());
        self.links.clear();
        self.routes.clear();
    }

    pub(crate) fn drop_idle(&mut self, now_ms: u64) {
        let idle_ms = self.state.idle_ms;
        let patience = |held: &Link| if held.opened_here { 1 } else { ACCEPTED_PATIENCE };
        let limit_ms = |held: &Link| patience(held) * idle_ms;
        let idle = |held: &Link| now_ms.saturating_sub(held.used_ms) >= limit_ms(held);
        let idle: Vec<u64> =
            self.links.iter().filter(|(_, held)| idle(held)).map(|(&link, _)| link).collect();
        for link in idle {
            self.remove(link);
        }
    }

    /// Frames not written yet.
    pub(crate) fn waiting(&self) -> usize {
        self.links.values().map(|held| held.waiting.get()).sum()
    }
}
