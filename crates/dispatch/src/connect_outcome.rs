//! Outcome of a connection attempt.

/// Outcome of a connection attempt to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The connection was established.
    Reached,
    /// The server's host refused or reset the connection. Counts against the server also while a local
    /// network fault is suspected.
    Refused,
    /// The attempt timed out or failed in another way, including errors on this host such as a lack of ports.
    TimedOut,
}

impl ConnectOutcome {
    /// Label value in metrics.
    pub fn name(self) -> &'static str {
        match self {
            ConnectOutcome::Reached => "reached",
            ConnectOutcome::Refused => "refused",
            ConnectOutcome::TimedOut => "silent",
        }
    }
}
