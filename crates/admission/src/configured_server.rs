//! Configuration of a server.

use std::sync::Arc;

use fulmargate_names::ServerName;
use fulmargate_names::ZoneName;

use crate::DrainState;

/// Zone, pool and drain state of a configured server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfiguredServer {
    /// Name of the server.
    pub server: ServerName,
    /// Availability zone of the server.
    pub zone: ZoneName,
    /// Servers of one zone and pool are interchangeable, for example those of one model.
    pub pool: Arc<str>,
    /// Drain state set by operators.
    pub drain: DrainState,
}
