//! Errors of links.

use std::io;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::wire::FrameError;

/// Reason why a link was closed or could not be established.
#[derive(Debug, Display, Error, From)]
pub(crate) enum LinkError {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// HTTP/2 error.
    #[display("HTTP/2 error: {_0}")]
    H2(h2::Error),
    /// An invalid frame was received.
    #[display("{_0}")]
    Frame(FrameError),
    /// The first frame was not `Hello`.
    #[display("the first frame is not a Hello")]
    MissingHello,
    /// The peer belongs to another fleet.
    #[display("the peer belongs to another fleet")]
    FleetMismatch,
    /// The host connected to itself.
    #[display("the host connected to itself")]
    SelfConnection,
    /// The peer rejected the link.
    #[display("rejected by the peer with status {status}")]
    #[from(ignore)]
    Refused {
        /// HTTP status of the response.
        status: u16,
    },
    /// The peer did not respond in time.
    #[display("timed out")]
    Timeout,
    /// The peer closed the link.
    #[display("closed by the peer")]
    ClosedByPeer,
    /// This host closed the link.
    #[display("closed locally")]
    ClosedLocally,
}

impl LinkError {
    /// Whether the peer violated the protocol.
    pub(crate) fn is_protocol_error(&self) -> bool {
        matches!(self, LinkError::Frame(_) | LinkError::MissingHello)
    }

    /// Whether one of the two hosts rejected the link.
    pub(crate) fn is_rejection(&self) -> bool {
        matches!(
            self,
            LinkError::FleetMismatch | LinkError::SelfConnection | LinkError::Refused { .. }
        )
    }
}
