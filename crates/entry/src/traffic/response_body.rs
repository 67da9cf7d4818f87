//! Response bodies sent to callers.

#[cfg(test)]
mod tests;

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc::Receiver;
use tokio_util::task::AbortOnDropHandle;

use crate::traffic::block_body::BlockBody;
use crate::traffic::caller_io::ResetSwitch;

/// Aborts a streamed response whose relay has ended without completing it: the connection is closed without the final
/// chunk, or reset if there are no chunks, so that the caller does not take the response for complete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream broke")]
pub(crate) struct StreamBroken;

/// What the relay of a stream sends to the caller's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamPiece {
    /// A part of the body.
    Bytes(Bytes),
    /// The body is complete. A relay that ends without this has not completed it.
    Complete,
}

/// A buffered body, or a stream that is relayed by a task.
pub(crate) enum ResponseBody {
    /// A body that was read completely before it is sent.
    Buffered(BlockBody),
    /// A body relayed chunk by chunk. The body is dropped when the caller disconnects, which aborts the
    /// task.
    Streamed {
        pieces: Receiver<StreamPiece>,
        _task: AbortOnDropHandle<()>,
        /// Resets the connection if it is closed before the end of the body; none if chunks show the end.
        reset: Option<ResetSwitch>,
    },
}

impl ResponseBody {
    pub(crate) fn buffered(bytes: Bytes) -> ResponseBody {
        ResponseBody::Buffered(BlockBody::from(bytes))
    }

    /// A streamed body of which an early end resets the connection.
    pub(crate) fn resetting(mut self, switch: ResetSwitch) -> ResponseBody {
        if let ResponseBody::Streamed { reset, .. } = &mut self {
            switch.set(true);
            *reset = Some(switch);
        }
        self
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match self.get_mut() {
            ResponseBody::Buffered(body) => Pin::new(body).poll_frame(context),
            ResponseBody::Streamed { pieces, reset, .. } => {
                let piece = pieces.poll_recv(context);
                piece.map(|piece| match piece {
                    Some(StreamPiece::Bytes(bytes)) => Some(Ok(Frame::data(bytes))),
                    Some(StreamPiece::Complete) => {
                        if let Some(switch) = reset {
                            switch.set(false);
                        }
                        None
                    }
                    None => Some(Err(StreamBroken)),
                })
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(body) => body.is_end_stream(),
            ResponseBody::Streamed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(body) => body.size_hint(),
            ResponseBody::Streamed { .. } => SizeHint::default(),
        }
    }
}
