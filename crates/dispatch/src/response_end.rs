//! Decides whether the response of a backend server is complete.

use derive_more::Display;

use crate::BodyFraming;

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

/// Where the content of a body ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum ContentEnd {
    /// The content is not a stream of events and does not tell.
    #[display("plain")]
    Plain,
    /// No event has come.
    #[display("no_event")]
    NoEvent,
    /// After a complete event.
    #[display("between_events")]
    BetweenEvents,
    /// Within a comment between two events.
    #[display("inside_comment")]
    InsideComment,
    /// Within an event.
    #[display("inside_event")]
    InsideEvent,
}

/// What is known of a server after one of its connections was closed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum ServerStanding {
    /// It was not checked.
    #[display("unchecked")]
    Unchecked,
    /// It accepts connections, or nothing shows that it does not.
    #[display("running")]
    Running,
    /// It is about to exit as planned.
    #[display("leaving")]
    Leaving,
    /// Its process has ended unplanned.
    #[display("gone")]
    Gone,
}

/// The end of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseEnd {
    /// What the response states about its end.
    pub framing: BodyFraming,
    /// How the body ended on its connection.
    pub transport: TransportEnd,
    /// Where the content ended.
    pub content: ContentEnd,
    /// Complete events of a stream.
    pub events: u64,
    /// Bytes after the last complete event of a stream.
    pub partial_bytes: usize,
}

/// Whether a response is complete.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum EndVerdict {
    /// It is.
    #[display("complete")]
    Complete,
    /// It depends on the server's standing, which was not checked.
    #[display("unconfirmed")]
    Unconfirmed,
    /// It was broken off.
    #[display("{_0}")]
    BrokenOff(BreakReason),
}

/// What shows that a response was broken off.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum BreakReason {
    /// The connection.
    #[display("the connection failed before the end of the response")]
    Connection,
    /// An incomplete event.
    #[display("the stream ended inside an event")]
    InsideEvent,
    /// An incomplete line, without framing.
    #[display("the connection was closed inside a line")]
    InsideLine,
    /// A stream without an event, without framing.
    #[display("the connection was closed before the first event")]
    NoEvent,
    /// The server, without framing.
    #[display("the connection was closed and the server is gone")]
    ServerGone,
}

impl ResponseEnd {
    /// Whether the response is complete, the only decision on this.
    ///
    /// Framing confirms the end of a body, but not that of an event. Without framing, the end of a process looks
    /// like the end of the body: the kernel closes its connections in good order.
    pub fn verdict(&self, server: ServerStanding) -> EndVerdict {
        if self.transport == TransportEnd::Failed {
            return EndVerdict::BrokenOff(BreakReason::Connection);
        }
        if self.content == ContentEnd::InsideEvent {
            return EndVerdict::BrokenOff(BreakReason::InsideEvent);
        }
        match (self.framing, self.content, server) {
            (BodyFraming::NoBody | BodyFraming::Length | BodyFraming::Chunked, ..) => {
                EndVerdict::Complete
            }
            (_, ContentEnd::InsideComment, _) => EndVerdict::BrokenOff(BreakReason::InsideLine),
            (_, ContentEnd::NoEvent, _) => EndVerdict::BrokenOff(BreakReason::NoEvent),
            (_, _, ServerStanding::Unchecked) => EndVerdict::Unconfirmed,
            (_, _, ServerStanding::Gone) => EndVerdict::BrokenOff(BreakReason::ServerGone),
            (_, _, ServerStanding::Running | ServerStanding::Leaving) => EndVerdict::Complete,
        }
    }
}
