//! Where a server stands.

use std::sync::Arc;

use fulmargate_names::ServerName;
use fulmargate_names::ZoneName;

use crate::DrainState;

/// A server as the configuration has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerSpot {
    /// Its name.
    pub server: ServerName,
    /// Its zone.
    pub zone: ZoneName,
    /// Servers of one zone and pool stand in for each other, for example those of one model.
    pub pool: Arc<str>,
    /// What operators want of it.
    pub drain: DrainState,
}
