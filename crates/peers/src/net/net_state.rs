//! State shared by the tasks of the control thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::Direction;
use crate::MemberRecord;
use crate::PeerCore;
use crate::PeerCounters;
use crate::net::link_error::LinkError;
use crate::net::peer_question::PeerQuestion;
use crate::wire::PeerFrame;
use crate::wire::PeerMessage;
use crate::wire::encode_frame;

/// Answers queries of peers, or returns `None` if there is no answer.
pub(crate) type QueryHandler = Rc<dyn Fn(PeerQuestion) -> Option<Bytes>>;

/// Capacity of the event queue shared by all links. Links stop reading while it is full.
pub(crate) const EVENT_QUEUE_CAPACITY: usize = 1_024;

/// The core and the state needed by links and queries.
pub(crate) struct NetState {
    pub(crate) core: RefCell<PeerCore>,
    pub(crate) fleet: String,
    /// Idle timeout of links.
    pub(crate) idle_timeout_ms: u64,
    pub(crate) counters: Arc<PeerCounters>,
    pub(crate) query_handler: RefCell<Option<QueryHandler>>,
    pub(crate) active_queries: Cell<usize>,
    /// Wakes the loop after a call to the core from outside it.
    pub(crate) wake: Notify,
    pub(crate) started_at: Instant,
    pub(crate) cancellation: CancellationToken,
}

impl NetState {
    pub(crate) fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    pub(crate) fn is_local_process(&self, member: &MemberRecord) -> bool {
        let core = self.core.borrow();
        core.own().host == member.host && core.own().incarnation == member.incarnation
    }

    /// Encodes a frame and counts it as sent.
    pub(crate) fn encode(&self, frame: &PeerFrame) -> Bytes {
        let bytes = encode_frame(frame);
        self.counters.count_frame(Direction::Sent, frame, bytes.len());
        bytes
    }

    /// Encodes the first frame of a link.
    pub(crate) fn encode_hello(&self) -> Bytes {
        let core = self.core.borrow();
        let message = PeerMessage::Hello { fleet: self.fleet.clone(), member: core.own().clone() };
        self.encode(&PeerFrame { config_version: core.config_version(), message })
    }
}

/// Events reported by links to the loop.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A link is established. `incoming` is set if the peer opened it.
    Up { link_id: u64, member: MemberRecord, incoming: Option<IncomingLink> },
    /// A frame was received.
    Frame { link_id: u64, frame: PeerFrame },
    /// A link closed.
    Down { link_id: u64, error: LinkError },
}

/// Handles with which the loop sends on a link opened by a peer, or closes it.
#[derive(Debug)]
pub(crate) struct IncomingLink {
    pub(crate) queue: mpsc::Sender<Bytes>,
    pub(crate) pending: Rc<Cell<usize>>,
    pub(crate) cancellation: CancellationToken,
}
