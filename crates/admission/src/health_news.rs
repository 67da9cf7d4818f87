//! Changes of a server's use.

use fulmargate_names::ServerName;

/// A change of a server's use, to be logged and carried out at its gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthNews {
    /// The server.
    pub server: ServerName,
    /// What changed.
    pub change: HealthChange,
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// It is out of use: close its gate.
    Ejected,
    /// It would be out of use, but too few others are left.
    KeptByFloor,
    /// It is in use again: open its gate.
    Restored,
    /// It has started anew: restart and open its gate.
    Restarted,
    /// It gets nothing new: close its gate.
    Leaving,
}
