//! What an attempt says of its server.

/// What an attempt says of its server. Refusals for load and answers to bad requests are answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerResult {
    /// It answered.
    Answered,
    /// It answered with an error of its own.
    Failed,
    /// The connection broke after the request was written.
    Broken,
    /// It did not answer in time, or could not be reached in time.
    TimedOut,
    /// Its port is closed: no process is there.
    Closed,
}

impl ServerResult {
    /// What it adds to failures in a row.
    pub(crate) fn weight(self) -> u32 {
        match self {
            ServerResult::Answered => 0,
            ServerResult::Failed | ServerResult::Broken | ServerResult::TimedOut => 1,
            ServerResult::Closed => 2,
        }
    }
}
