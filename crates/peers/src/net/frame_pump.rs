//! Frames into and out of an `h2` stream.

use std::cell::Cell;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::SendStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::Direction;
use crate::MemberRecord;
use crate::net::link_error::LinkError;
use crate::net::net_state::NetState;
use crate::wire::FrameReader;
use crate::wire::PeerFrame;
use crate::wire::PeerMessage;
use crate::wire::decode_frame;

/// Time for each step until a link is up.
pub(crate) const SETUP_TIMEOUT: Duration = Duration::from_secs(3);

/// The reading side of an exchange.
pub(crate) struct FrameSource {
    body: RecvStream,
    reader: FrameReader,
    state: Rc<NetState>,
}

impl FrameSource {
    pub(crate) fn new(body: RecvStream, state: Rc<NetState>) -> FrameSource {
        FrameSource { body, reader: FrameReader::default(), state }
    }

    /// The next frame. An unreadable one ends the link: what follows it cannot be trusted.
    pub(crate) async fn next(&mut self) -> Result<PeerFrame, LinkError> {
        loop {
            if let Some(bytes) = self.reader.next_frame()? {
                let frame = decode_frame(&bytes)?;
                self.state.counters.count_frame(Direction::Received, &frame, bytes.len());
                return Ok(frame);
            }
            let chunk = self.body.data().await.ok_or(LinkError::Closed)??;
            self.body.flow_control().release_capacity(chunk.len())?;
            self.reader.push(&chunk);
        }
    }

    /// The first frame, which says who speaks.
    pub(crate) async fn hello(&mut self) -> Result<MemberRecord, LinkError> {
        let frame = timeout(SETUP_TIMEOUT, self.next()).await.map_err(|_| LinkError::Timeout)??;
        let PeerMessage::Hello { fleet, member } = frame.message else {
            return Err(LinkError::NoHello);
        };
        if fleet != self.state.fleet {
            return Err(LinkError::OtherFleet);
        }
        if self.state.is_own(&member) {
            return Err(LinkError::OwnHost);
        }
        Ok(member)
    }
}

/// The writing side's queue, and how many frames of it are not written yet.
pub(crate) struct FrameQueue {
    pub(crate) frames: mpsc::Receiver<Bytes>,
    pub(crate) waiting: Rc<Cell<usize>>,
}

/// Writes frames until the queue's other end is dropped.
pub(crate) async fn write_queue(
    stream: &mut SendStream<Bytes>,
    queue: &mut FrameQueue,
) -> Result<(), LinkError> {
    while let Some(frame) = queue.frames.recv().await {
        write_bytes(stream, frame).await?;
        queue.waiting.set(queue.waiting.get().saturating_sub(1));
    }
    Err(LinkError::Dropped)
}

/// Waits for the peer's window before it hands bytes to `h2`, which would else keep any amount.
pub(crate) async fn write_bytes(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
) -> Result<(), LinkError> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let granted =
            poll_fn(|context| stream.poll_capacity(context)).await.ok_or(LinkError::Closed)??;
        let part = bytes.split_to(granted.min(bytes.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}
