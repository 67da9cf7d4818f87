//! Health state changes.

use fulmargate_names::ServerName;

/// A change of a server's health state, to be logged and applied to its gate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthEvent {
    /// The server.
    pub server: ServerName,
    /// The change.
    pub change: HealthChange,
}

/// Kind of a health state change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthChange {
    /// The server was ejected: close its gate.
    Ejected,
    /// The server fails but stays in use, because too few others are left.
    KeptByFloor,
    /// The server is in use again: open its gate.
    Restored,
    /// The server has a new incarnation: restart and open its gate.
    Restarted,
    /// The server is shutting down: close its gate.
    Leaving,
}
