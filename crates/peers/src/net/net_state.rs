//! What the tasks of the control thread share.

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

/// Answers questions of peers; `None` when there is nothing to say.
pub(crate) type Answerer = Rc<dyn Fn(PeerQuestion) -> Option<Bytes>>;

/// Frames of all links that wait for the loop; when it is full, links stop reading.
pub(crate) const EVENT_QUEUE: usize = 1_024;

/// The core, with what links and questions need of it.
pub(crate) struct NetState {
    pub(crate) core: RefCell<PeerCore>,
    pub(crate) fleet: String,
    /// After this an unused link is closed.
    pub(crate) idle_ms: u64,
    pub(crate) counters: Arc<PeerCounters>,
    pub(crate) answerer: RefCell<Option<Answerer>>,
    pub(crate) answers_open: Cell<usize>,
    /// Wakes the loop when the core was called from elsewhere.
    pub(crate) wake: Notify,
    pub(crate) started: Instant,
    pub(crate) cancellation: CancellationToken,
}

impl NetState {
    pub(crate) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub(crate) fn is_own(&self, member: &MemberRecord) -> bool {
        let core = self.core.borrow();
        core.own().host == member.host && core.own().incarnation == member.incarnation
    }

    /// Encodes a frame and counts it.
    pub(crate) fn encode(&self, frame: &PeerFrame) -> Bytes {
        let bytes = encode_frame(frame);
        self.counters.count_frame(Direction::Sent, frame, bytes.len());
        bytes
    }

    /// The first frame of a link.
    pub(crate) fn hello(&self) -> Bytes {
        let core = self.core.borrow();
        let message = PeerMessage::Hello { fleet: self.fleet.clone(), member: core.own().clone() };
        self.encode(&PeerFrame { in_force: core.in_force(), message })
    }
}

/// What links tell the loop.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A link is up; for one that a peer opened, with the queue to write to it.
    Up { link: u64, member: MemberRecord, accepted: Option<AcceptedLink> },
    /// A frame came.
    Frame { link: u64, frame: PeerFrame },
    /// A link is over.
    Down { link: u64, error: LinkError },
}

/// The loop's ends of a link that a peer opened.
#[derive(Debug)]
pub(crate) struct AcceptedLink {
    pub(crate) queue: mpsc::Sender<Bytes>,
    pub(crate) waiting: Rc<Cell<usize>>,
    pub(crate) cancellation: CancellationToken,
}
