//! Where a request's memory is taken from.

use std::rc::Rc;

use crate::state::HeldBytes;
use crate::state::MemoryShortage;
use crate::traffic::client_connection::ClientConnection;

/// The memory for callers.
#[derive(Clone)]
pub(crate) enum RequestMemory {
    /// Of a caller's connection.
    Caller(Rc<ClientConnection>),
}

impl RequestMemory {
    /// Takes memory, waiting for connections that are closed for it.
    pub(crate) async fn take(&self, bytes: usize) -> Result<HeldBytes, MemoryShortage> {
        match self {
            RequestMemory::Caller(client) => client.take(bytes).await,
        }
    }
}
