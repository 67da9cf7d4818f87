//! How the response of a backend server ended.

use derive_more::Display;

/// What a response states about the end of its body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum BodyFraming {
    /// There is no body.
    #[display("none")]
    NoBody,
    /// The body has a stated length.
    #[display("length")]
    Length,
    /// The body comes in chunks, the last of which is empty.
    #[display("chunked")]
    Chunked,
    /// The body ends with its connection.
    #[display("until_close")]
    UntilClose,
}

/// How a body ended on its connection.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum TransportEnd {
    /// At the end that the framing states; without framing, by an orderly close.
    #[display("finished")]
    Finished,
    /// By a reset, a timeout, or a close before the end that the framing states.
    #[display("failed")]
    Failed,
}

/// The end of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseEnd {
    /// What the response states about its end.
    pub framing: BodyFraming,
    /// How the body ended.
    pub transport: TransportEnd,
    /// Complete events of a stream; none for a response that is not a stream.
    pub events: Option<u64>,
    /// Bytes after the last complete event of a stream.
    pub partial_bytes: usize,
}
