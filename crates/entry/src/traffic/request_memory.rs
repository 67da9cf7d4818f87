//! Where a request's memory is taken from.

use std::rc::Rc;

use crate::state::HeldBytes;
use crate::state::MemoryHolder;
use crate::state::MemoryShortage;
use crate::traffic::client_connection::ClientConnection;

/// The memory for callers, or that for requests of other hosts.
#[derive(Clone)]
pub(crate) enum RequestMemory {
    /// Of a caller's connection.
    Caller(Rc<ClientConnection>),
    /// Of a request that another host has forwarded.
    Forwarded(MemoryHolder),
}

impl RequestMemory {
    /// Takes memory, waiting for connections that are closed for it.
    pub(crate) async fn take(&self, bytes: usize) -> Result<HeldBytes, MemoryShortage> {
        match self {
            RequestMemory::Caller(client) => client.take(bytes).await,
            RequestMemory::Forwarded(holder) => holder.take(bytes, 0),
        }
    }

    /// Takes memory for what was admitted with its request, closing others for it.
    pub(crate) fn take_always(&self, bytes: usize) -> HeldBytes {
        match self {
            RequestMemory::Caller(client) => client.take_always(bytes),
            RequestMemory::Forwarded(holder) => holder.take_always(bytes),
        }
    }
}
