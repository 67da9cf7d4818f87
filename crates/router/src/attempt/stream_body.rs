//! The way from a stream's pump to the caller's connection, on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use actix_web::body::BodySize;
use actix_web::body::MessageBody;
use bytes::Bytes;
use futures_util::task::AtomicWaker;
use tokio::sync::Notify;

/// What both ends share. The pump keeps the account of bytes, so the queue itself has no bound.
#[derive(Default)]
struct StreamShared {
    queue: RefCell<VecDeque<Bytes>>,
    /// Bytes that the caller's connection has taken and the pump has not yet accounted for.
    taken: Cell<usize>,
    ended: Cell<bool>,
    gone: Cell<bool>,
    body_waker: AtomicWaker,
    pump_waker: Notify,
}

/// The pump's end.
pub(crate) struct StreamSink {
    shared: Rc<StreamShared>,
}

/// The caller's end: the answer's body.
pub(crate) struct StreamBody {
    shared: Rc<StreamShared>,
}

/// Both ends of a new stream.
pub(crate) fn stream_body() -> (StreamSink, StreamBody) {
    let shared = Rc::new(StreamShared::default());
    (StreamSink { shared: Rc::clone(&shared) }, StreamBody { shared })
}

impl StreamSink {
    /// Hands bytes to the caller's connection.
    pub(crate) fn push(&self, bytes: Bytes) {
        if bytes.is_empty() {
            return;
        }
        self.shared.queue.borrow_mut().push_back(bytes);
        self.shared.body_waker.wake();
    }

    /// Bytes taken since the last call.
    pub(crate) fn take_count(&self) -> usize {
        self.shared.taken.replace(0)
    }

    /// Whether the caller has hung up.
    pub(crate) fn is_gone(&self) -> bool {
        self.shared.gone.get()
    }

    /// Waits until the caller has taken bytes or hung up.
    pub(crate) async fn changed(&self) {
        self.shared.pump_waker.notified().await;
    }
}

impl Drop for StreamSink {
    fn drop(&mut self) {
        self.shared.ended.set(true);
        self.shared.body_waker.wake();
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        self.shared.gone.set(true);
        self.shared.pump_waker.notify_one();
    }
}

impl MessageBody for StreamBody {
    type Error = std::convert::Infallible;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.shared.body_waker.register(cx.waker());
        if let Some(bytes) = self.shared.queue.borrow_mut().pop_front() {
            self.shared.taken.set(self.shared.taken.get() + bytes.len());
            self.shared.pump_waker.notify_one();
            return Poll::Ready(Some(Ok(bytes)));
        }
        if self.shared.ended.get() {
            return Poll::Ready(None);
        }
        Poll::Pending
    }
}
