//! Whether a silent server is still there.
//!
//! Answers servers that crash or are cut off while requests wait at them. One question for each server
//! and router is enough for all that wait there: asked for each request, silent servers were sent twice as
//! many connections as requests just when they were busiest.

use std::time::Duration;

use tokio::time::Instant;

use crate::ConnectEnd;

/// An answer to a question counts for so long: about as long as an engine takes for a long prompt.
const ANSWER_AGE: Duration = Duration::from_millis(250);
/// A question without an answer after this time is asked again; connections time out sooner.
const QUESTION_AGE: Duration = Duration::from_millis(400);
/// Connections that failed in a row before a server is taken for lost. A live one that has all the
/// connections it takes refuses one now and then, but answers others meanwhile.
const LOST_FAILURES: u32 = 3;
/// And the time between the first of these and now.
const LOST_SPAN: Duration = Duration::from_millis(600);
/// Silent connections in a row that have all that waits at the server give it up. When the host's own link
/// fills, the first connections fail before it can know that it is not the server; a second one does not.
const SILENT_FAILURES: u32 = 2;

/// What to do about a server that has been silent for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactStep {
    /// Try a connection, and say what came of it.
    Ask,
    /// It was there a moment ago, or somebody asks already.
    Wait,
    /// No connection has been had lately.
    Unreachable,
}

/// What connections to a server came to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerContact {
    failures: u32,
    /// The first of the failures in a row.
    failing_since: Option<Instant>,
    /// The newest connection that was had or not.
    newest: Option<(Instant, bool)>,
    /// The server itself said that there is none.
    is_refused: bool,
    asked: Option<Instant>,
}

impl ServerContact {
    /// A connection was had, or an answer came.
    pub(crate) fn reached(&mut self, now: Instant) {
        *self = ServerContact { newest: Some((now, true)), ..ServerContact::default() };
    }

    /// No connection was had.
    pub(crate) fn failed(&mut self, end: ConnectEnd, now: Instant) {
        self.failures += 1;
        self.failing_since.get_or_insert(now);
        self.newest = Some((now, false));
        self.is_refused = end == ConnectEnd::Refused;
        self.asked = None;
    }

    /// A request waits for a silent server. Who is told to ask is taken to do so. The host doubted itself until
    /// then, if it did.
    pub(crate) fn step(&mut self, doubted: Option<Instant>, now: Instant) -> ContactStep {
        match self.newest {
            Some((at, true)) if is_young(at, ANSWER_AGE, now) => return ContactStep::Wait,
            Some((at, false)) if is_young(at, ANSWER_AGE, now) && self.is_held(at, doubted) => {
                return ContactStep::Unreachable;
            }
            _ => {}
        }
        if self.asked.is_some_and(|asked| is_young(asked, QUESTION_AGE, now)) {
            return ContactStep::Wait;
        }
        self.asked = Some(now);
        ContactStep::Ask
    }

    /// Whether the server is taken for lost, and with it what waits there. Silence before the end of the host's
    /// doubt of itself does not count: right after it, all servers would be lost that were not reached yet.
    pub(crate) fn is_lost(&self, doubted: Option<Instant>, now: Instant) -> bool {
        let Some(failing_since) = self.failing_since else { return false };
        let since = match (self.is_refused, doubted) {
            (false, Some(doubted)) => failing_since.max(doubted),
            _ => failing_since,
        };
        LOST_SPAN <= now.saturating_duration_since(since) && LOST_FAILURES <= self.failures
    }

    /// Whether the failure is held against the server.
    fn is_held(&self, at: Instant, doubted: Option<Instant>) -> bool {
        let is_own = doubted.is_some_and(|doubted| at <= doubted);
        self.is_refused || (!is_own && SILENT_FAILURES <= self.failures)
    }
}

fn is_young(at: Instant, age: Duration, now: Instant) -> bool {
    now.saturating_duration_since(at) < age
}
