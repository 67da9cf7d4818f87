//! Why one attempt at a backend server failed.

use actix_web::http::StatusCode;
use bytes::Bytes;
use fulmargate_admission::ServerResult;
use fulmargate_relay::IdentityFault;

/// Why one attempt at a backend server failed, and with it what the server may have done.
#[derive(Debug, derive_more::Display)]
pub(crate) enum AttemptFailure {
    /// No connection could be made: no byte of the request left.
    #[display("no connection")]
    NotSent,
    /// No connection was made in time: no byte of the request left.
    #[display("no connection in time")]
    NotReached,
    /// The server says that it ran nothing.
    #[display("refused: {code}")]
    Refused {
        /// The code in its answer.
        code: String,
    },
    /// The request itself was answered with an error; another server would say the same.
    #[display("answered {status}")]
    Answered {
        /// The server's status.
        status: StatusCode,
        /// The server's body.
        body: Bytes,
    },
    /// The connection broke after the request was written.
    #[display("the connection broke")]
    Broken,
    /// No answer came in time; the connection was closed.
    #[display("no answer in time")]
    Late,
    /// The answer was not the one asked for.
    #[display("{_0}")]
    Foreign(IdentityFault),
    /// The server answered with an error.
    #[display("the server failed with {_0}")]
    ServerError(StatusCode),
}

impl AttemptFailure {
    /// Whether the server provably ran nothing.
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(
            self,
            AttemptFailure::NotSent | AttemptFailure::NotReached | AttemptFailure::Refused { .. }
        )
    }

    /// What it says of the server's health; a refusal for load says nothing.
    pub(crate) fn server_result(&self) -> Option<ServerResult> {
        match self {
            AttemptFailure::NotSent => Some(ServerResult::Closed),
            AttemptFailure::Broken => Some(ServerResult::Broken),
            AttemptFailure::Late | AttemptFailure::NotReached => Some(ServerResult::TimedOut),
            AttemptFailure::Foreign(_) | AttemptFailure::ServerError(_) => {
                Some(ServerResult::Failed)
            }
            AttemptFailure::Refused { .. } | AttemptFailure::Answered { .. } => None,
        }
    }
}
