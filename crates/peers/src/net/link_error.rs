//! Why a link ended.

use std::io;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;

use crate::wire::FrameError;

/// Why a link ended, or never was.
#[derive(Debug, Display, Error, From)]
pub(crate) enum LinkError {
    /// The connection could not be made or broke.
    #[display("connection: {_0}")]
    Io(io::Error),
    /// `h2` found a fault.
    #[display("h2: {_0}")]
    H2(h2::Error),
    /// A frame could not be read.
    #[display("{_0}")]
    Frame(FrameError),
    /// The first frame was not `Hello`.
    #[display("no hello")]
    NoHello,
    /// The peer belongs to another fleet.
    #[display("another fleet")]
    OtherFleet,
    /// The peer is this process.
    #[display("this host itself")]
    OwnHost,
    /// The peer turned the link away.
    #[display("turned away with status {status}")]
    #[from(ignore)]
    Refused {
        /// The status of its answer.
        status: u16,
    },
    /// The peer did not do its part in time.
    #[display("no answer in time")]
    Timeout,
    /// The peer closed the link.
    #[display("closed by the peer")]
    Closed,
    /// This host closed the link.
    #[display("closed here")]
    Dropped,
}

impl LinkError {
    /// Whether the peer does not speak as it should.
    pub(crate) fn is_unreadable(&self) -> bool {
        matches!(self, LinkError::Frame(_) | LinkError::NoHello)
    }

    /// Whether the peer must not be linked with.
    pub(crate) fn is_refusal(&self) -> bool {
        matches!(self, LinkError::OtherFleet | LinkError::OwnHost | LinkError::Refused { .. })
    }
}
