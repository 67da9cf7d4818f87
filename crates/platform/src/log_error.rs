//! Why a call to the platform failed.

use derive_more::Display;
use derive_more::Error;

/// Why a call to the platform failed, and what that says of an append.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum LogError {
    /// No connection could be made: no byte was sent.
    #[display("no connection to the platform")]
    NotSent,
    /// The platform says that it is out.
    #[display("the platform is out")]
    Out,
    /// The platform says that its rate is exceeded.
    #[display("the platform's rate is exceeded")]
    Throttled,
    /// The connection broke or no answer came in time.
    #[display("the platform's answer was lost")]
    Lost,
    /// An answer that is not in the protocol.
    #[display("the platform's answer cannot be read (status {status})")]
    Unreadable {
        /// HTTP status of the answer.
        status: u16,
    },
}

/// What a failed append says of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Landing {
    /// The record is not in the log, and this try will not put it there.
    Never,
    /// The record may be in the log, or may yet get there.
    Maybe,
}

impl LogError {
    /// What it says of an append's record.
    pub fn landing(self) -> Landing {
        match self {
            LogError::NotSent | LogError::Out | LogError::Throttled => Landing::Never,
            LogError::Lost | LogError::Unreadable { .. } => Landing::Maybe,
        }
    }
}
