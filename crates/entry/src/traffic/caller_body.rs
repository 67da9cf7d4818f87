//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc::Receiver;
use tokio_util::task::AbortOnDropHandle;

/// The stream broke: the connection is closed without the end of the body, so that the answer does
/// not look complete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream broke")]
pub(crate) struct StreamBroken;

/// A body that is whole, or a stream that a task relays.
pub(crate) enum CallerBody {
    /// Whole.
    Whole(Full<Bytes>),
    /// Relayed. The task ends when the caller leaves, which drops this.
    Relayed { pieces: Receiver<Result<Bytes, StreamBroken>>, _task: AbortOnDropHandle<()> },
}

impl CallerBody {
    /// A whole body.
    pub(crate) fn whole(bytes: Bytes) -> CallerBody {
        CallerBody::Whole(Full::new(bytes))
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match self.get_mut() {
            CallerBody::Whole(body) => {
                let frame = Pin::new(body).poll_frame(context);
                frame.map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
            }
            CallerBody::Relayed { pieces, .. } => {
                let piece = pieces.poll_recv(context);
                piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            CallerBody::Whole(body) => body.is_end_stream(),
            CallerBody::Relayed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            CallerBody::Whole(body) => body.size_hint(),
            CallerBody::Relayed { .. } => SizeHint::default(),
        }
    }
}
