//! Identifier of a crash.

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;

/// Identifies a crash of a backend server. Each incarnation crashes at most once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId {
    /// The server.
    pub server: ServerName,
    /// The incarnation that crashed.
    pub incarnation: Incarnation,
}
