//! What a caller sent and saw.

use std::time::Duration;

use fulmargate_consortium_stand::CallerResponse;
use tokio::time::Instant;

/// Kinds of requests that callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RequestKind {
    /// Idempotent.
    Look,
    /// Not idempotent.
    Charge,
    /// A stream that may be resumed.
    Chat,
    /// A stream that may not.
    SingleChat,
    /// Idempotent, on a route of the newest configuration.
    NewRoute(u64),
}

impl RequestKind {
    /// The kinds that are always there.
    pub(crate) const LASTING: [RequestKind; 4] =
        [RequestKind::Look, RequestKind::Charge, RequestKind::Chat, RequestKind::SingleChat];

    /// Whether it may run at several servers.
    pub(crate) fn may_repeat(self) -> bool {
        !matches!(self, RequestKind::Charge | RequestKind::SingleChat)
    }

    /// Whether it carries a prompt and is answered by a stream.
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, RequestKind::Chat | RequestKind::SingleChat)
    }
}

/// How it ended for the caller.
#[derive(Clone, Debug)]
pub(crate) enum RequestEnd {
    Answered(CallerResponse),
    /// No answer, or not a whole head of one; for the report.
    Broken(#[allow(dead_code)] String),
    /// The caller left before the end.
    Left,
}

/// A request and its end.
#[derive(Clone, Debug)]
pub(crate) struct RequestRecord {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    pub(crate) key: &'static str,
    pub(crate) router: usize,
    /// The router's process that it went to.
    pub(crate) start: usize,
    /// How long the caller waits by its header.
    pub(crate) patience: Duration,
    pub(crate) sent: Instant,
    pub(crate) ended: Instant,
    pub(crate) end: RequestEnd,
}

impl RequestRecord {
    /// The status, if there was an answer.
    pub(crate) fn status(&self) -> Option<u16> {
        match &self.end {
            RequestEnd::Answered(answer) => Some(answer.status),
            _ => None,
        }
    }

    /// Whether it was answered well and wholly.
    pub(crate) fn is_served(&self) -> bool {
        match &self.end {
            RequestEnd::Answered(answer) => answer.status == 200 && answer.is_whole,
            _ => false,
        }
    }
}
