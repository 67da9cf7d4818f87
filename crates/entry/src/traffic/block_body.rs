//! A body in memory, in blocks that all copies share.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::state::HeldBytes;
use crate::traffic::response_body::StreamBroken;

/// The blocks of a body, and what is held for them.
struct HeldBlocks {
    blocks: Vec<Bytes>,
    _held: Option<HeldBytes>,
}

/// A body that is sent block by block. A copy begins where the original is.
#[derive(Clone)]
pub(crate) struct BlockBody {
    content: Arc<HeldBlocks>,
    /// Blocks that were sent.
    sent: usize,
    bytes_left: usize,
}

impl BlockBody {
    /// A body whose blocks are held until the last copy is dropped.
    pub(crate) fn new(blocks: Vec<Bytes>, held: Option<HeldBytes>) -> BlockBody {
        let bytes_left = blocks.iter().map(Bytes::len).sum();
        BlockBody { content: Arc::new(HeldBlocks { blocks, _held: held }), sent: 0, bytes_left }
    }

    /// The blocks that were not sent.
    pub(crate) fn blocks(&self) -> &[Bytes] {
        &self.content.blocks[self.sent..]
    }
}

impl From<Bytes> for BlockBody {
    fn from(bytes: Bytes) -> BlockBody {
        BlockBody::new(vec![bytes], None)
    }
}

impl Body for BlockBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        let body = self.get_mut();
        let Some(block) = body.blocks().first().cloned() else { return Poll::Ready(None) };
        body.sent += 1;
        body.bytes_left -= block.len();
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes_left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes_left as u64)
    }
}
