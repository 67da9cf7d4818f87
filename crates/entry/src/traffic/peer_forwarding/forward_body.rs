//! The body of a response that came through another host.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use h2::RecvStream;
use hyper::body::Body;
use hyper::body::Frame;

use crate::traffic::peer_forwarding::helper_connection::OpenStream;

/// Ends with the stream's last frame; a reset or the end of the connection is an error. Bytes are acknowledged to the
/// sender as they are taken, so that a slow caller slows down the server.
pub(crate) struct ForwardBody {
    /// What came with the head of the reply.
    first: Option<Bytes>,
    stream: RecvStream,
    /// Bytes that were taken and not acknowledged yet.
    unreleased: usize,
    _open: OpenStream,
}

impl ForwardBody {
    pub(crate) fn new(first: Bytes, stream: RecvStream, open: OpenStream) -> ForwardBody {
        let first = Some(first).filter(|first| !first.is_empty());
        ForwardBody { first, stream, unreleased: 0, _open: open }
    }
}

impl Body for ForwardBody {
    type Data = Bytes;
    type Error = h2::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, h2::Error>>> {
        let body = self.get_mut();
        if let Some(first) = body.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let taken = std::mem::take(&mut body.unreleased);
        if 0 < taken {
            body.stream.flow_control().release_capacity(taken)?;
        }
        let polled = body.stream.poll_data(context);
        if let Poll::Ready(Some(Ok(bytes))) = &polled {
            body.unreleased = bytes.len();
        }
        polled.map(|data| data.map(|result| result.map(Frame::data)))
    }
}
