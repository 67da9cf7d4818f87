//! A router that runs.

use std::net::SocketAddr;
use std::thread::JoinHandle;

/// Where a router listens.
#[derive(Clone, Copy, Debug)]
pub struct RouterAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
}

/// A router that runs in threads of this process, until its token is cancelled.
pub struct RunningRouter {
    pub(crate) addresses: RouterAddresses,
    pub(crate) thread: JoinHandle<()>,
}

impl RunningRouter {
    /// Where it listens.
    pub fn addresses(&self) -> RouterAddresses {
        self.addresses
    }

    /// Waits until it has stopped.
    pub fn join(self) {
        if self.thread.join().is_err() {
            tracing::error!("the control thread panicked");
        }
    }
}
