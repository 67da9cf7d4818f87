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

/// The caller took too long over what was kept for it.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("the caller reads too slowly")]
pub(crate) struct CallerCutOff;

/// What both ends share. The pump keeps the account of bytes, so the queue itself has no bound.
#[derive(Default)]
struct StreamShared {
    queue: RefCell<VecDeque<Bytes>>,
    /// Bytes that the caller's connection has taken and the pump has not yet accounted for.
    taken: Cell<usize>,
    ended: Cell<bool>,
    gone: Cell<bool>,
    is_cut: Cell<bool>,
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

    /// Whether the caller has taken all.
    pub(crate) fn is_empty(&self) -> bool {
        self.shared.queue.borrow().is_empty()
    }

    /// Drops what is kept and breaks the caller's connection.
    pub(crate) fn cut_off(&self) {
        self.shared.queue.borrow_mut().clear();
        self.shared.is_cut.set(true);
        self.shared.body_waker.wake();
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
    type Error = CallerCutOff;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        self.shared.body_waker.register(cx.waker());
        if self.shared.is_cut.get() {
            return Poll::Ready(Some(Err(CallerCutOff)));
        }
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
