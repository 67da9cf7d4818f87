//! Outcome of a connection attempt.

/// Outcome of a connection attempt to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectOutcome {
    /// The connection was established.
    Reached,
    /// The server's host refused the connection, which shows a fault of the server.
    Refused,
    /// The attempt timed out, or could not be made. Either the server is gone, or the local network is faulty.
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
