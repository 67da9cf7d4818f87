//! One crash of a backend server.

use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;

/// One crash of a backend server: an incarnation ends once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId {
    /// The server.
    pub server: ServerName,
    /// The incarnation that ended.
    pub incarnation: Incarnation,
}
