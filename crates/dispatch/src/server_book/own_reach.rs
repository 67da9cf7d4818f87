//! What connections say of the host itself.

use tokio::time::Instant;

use crate::ConnectEnd;
use crate::ServerBook;
use crate::ServerKey;

impl ServerBook {
    /// A connection to the server was tried.
    pub fn tried(&mut self, _server: ServerKey, _end: ConnectEnd, _now: Instant) {}

    /// Whether connections that fail are most likely the host's own trouble.
    pub fn doubts_itself(&self, _now: Instant) -> bool {
        false
    }
}
