//! How many requests are open.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use tokio::sync::Notify;

/// Counts open requests, so that a planned stop can wait for the last of them.
///
/// actix-web cuts what is open once its own shutdown timeout passes; the router
/// stops it only when this count is zero, so that a planned stop cuts no stream.
#[derive(Clone, Default)]
pub(crate) struct OpenCount {
    inner: Arc<OpenInner>,
}

#[derive(Default)]
struct OpenInner {
    open: AtomicUsize,
    emptied: Notify,
}

/// One open request; dropping it closes it.
pub(crate) struct OpenGuard {
    inner: Arc<OpenInner>,
}

impl OpenCount {
    /// Counts one request until the guard is dropped.
    pub(crate) fn enter(&self) -> OpenGuard {
        self.inner.open.fetch_add(1, Ordering::SeqCst);
        OpenGuard { inner: Arc::clone(&self.inner) }
    }

    /// How many are open now.
    pub(crate) fn open(&self) -> usize {
        self.inner.open.load(Ordering::SeqCst)
    }

    /// Waits until none is open.
    pub(crate) async fn emptied(&self) {
        loop {
            let emptied = self.inner.emptied.notified();
            if self.open() == 0 {
                return;
            }
            emptied.await;
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        if self.inner.open.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.inner.emptied.notify_waiters();
        }
    }
}
