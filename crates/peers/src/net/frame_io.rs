//! Reads and writes frames on an HTTP/2 stream.

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

/// Timeout of each step of connection setup.
pub(crate) const SETUP_TIMEOUT: Duration = Duration::from_secs(3);

/// Receiving half of a link.
pub(crate) struct FrameReceiver {
    body: RecvStream,
    reader: FrameReader,
    state: Rc<NetState>,
}

impl FrameReceiver {
    pub(crate) fn new(body: RecvStream, state: Rc<NetState>) -> FrameReceiver {
        FrameReceiver { body, reader: FrameReader::default(), state }
    }

    /// Receives the next frame. Framing is lost after an invalid frame, so every error closes the
    /// link.
    pub(crate) async fn next(&mut self) -> Result<PeerFrame, LinkError> {
        loop {
            if let Some(bytes) = self.reader.next_frame()? {
                let frame = decode_frame(&bytes)?;
                self.state.counters.count_frame(Direction::Received, &frame, bytes.len());
                return Ok(frame);
            }
            let chunk = self.body.data().await.ok_or(LinkError::ClosedByPeer)??;
            self.body.flow_control().release_capacity(chunk.len())?;
            self.reader.push(&chunk);
        }
    }

    /// Receives the first frame, which identifies the peer.
    pub(crate) async fn receive_hello(&mut self) -> Result<MemberRecord, LinkError> {
        let frame = timeout(SETUP_TIMEOUT, self.next()).await.map_err(|_| LinkError::Timeout)??;
        let PeerMessage::Hello { fleet, member } = frame.message else {
            return Err(LinkError::MissingHello);
        };
        if fleet != self.state.fleet {
            return Err(LinkError::FleetMismatch);
        }
        if self.state.is_local_process(&member) {
            return Err(LinkError::SelfConnection);
        }
        Ok(member)
    }
}

/// Frames to be sent, with the number of those not yet written.
pub(crate) struct FrameQueue {
    pub(crate) frames: mpsc::Receiver<Bytes>,
    pub(crate) pending: Rc<Cell<usize>>,
}

/// Writes queued frames until the sender of the queue is dropped.
pub(crate) async fn write_queued_frames(
    stream: &mut SendStream<Bytes>,
    queue: &mut FrameQueue,
) -> Result<(), LinkError> {
    while let Some(frame) = queue.frames.recv().await {
        write_all(stream, frame).await?;
        queue.pending.set(queue.pending.get().saturating_sub(1));
    }
    Err(LinkError::ClosedLocally)
}

/// Writes all bytes. Waits for flow-control capacity first, because `h2` would otherwise buffer any
/// amount.
pub(crate) async fn write_all(
    stream: &mut SendStream<Bytes>,
    mut bytes: Bytes,
) -> Result<(), LinkError> {
    while !bytes.is_empty() {
        stream.reserve_capacity(bytes.len());
        let capacity = poll_fn(|context| stream.poll_capacity(context))
            .await
            .ok_or(LinkError::ClosedByPeer)??;
        let part = bytes.split_to(capacity.min(bytes.len()));
        stream.send_data(part, false)?;
    }
    Ok(())
}
