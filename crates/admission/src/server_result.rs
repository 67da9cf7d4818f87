//! Result of one attempt, for server health.

/// Result of one attempt. Overload rejections and client errors count as answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerResult {
    /// The server answered.
    Answered,
    /// The server answered with an internal error.
    Failed,
    /// The connection broke after the request was written.
    Broken,
    /// Connecting or waiting for the answer timed out.
    TimedOut,
    /// The connection was refused: no process listens on the port.
    Closed,
}

impl ServerResult {
    /// Contribution to the count of consecutive failures.
    pub(crate) fn weight(self) -> u32 {
        match self {
            ServerResult::Answered => 0,
            ServerResult::Failed | ServerResult::Broken | ServerResult::TimedOut => 1,
            ServerResult::Closed => 2,
        }
    }
}
