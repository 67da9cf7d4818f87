//! How a try for a connection to a server ended.

/// What a try for a connection says of the server and of the host's own link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectEnd {
    /// A connection was had.
    Reached,
    /// The server's host answered that there is none to be had: it says so of the server.
    Refused,
    /// Nothing was heard in time, or the host could not even try: the server is gone, or the host is cut
    /// short.
    Silent,
}

impl ConnectEnd {
    /// The name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            ConnectEnd::Reached => "reached",
            ConnectEnd::Refused => "refused",
            ConnectEnd::Silent => "silent",
        }
    }
}
