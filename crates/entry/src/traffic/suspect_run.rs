//! Runs of requests at servers, and turns of those that are suspected of crashing servers.

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::RunEnd;
use fulmargate_dispatch::RunStep;
use fulmargate_dispatch::RunSubject;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::SuspectKind;
use tokio::time::Instant;

use crate::state::SharedState;

/// Time for which a server has sent events of an answer, after which no part of the prompt crashes it any more.
const ANSWERING_TIME: Duration = Duration::from_millis(300);

/// A run of a request at a server. Dropping it means that its end is unclear.
pub(crate) struct SuspectRun {
    state: Arc<SharedState>,
    id: u64,
    end: RunEnd,
    first_event: Option<Instant>,
    is_answering: bool,
}

impl SuspectRun {
    /// Registers the run. Called before the first byte is sent.
    pub(crate) fn begin(
        state: Arc<SharedState>,
        subject: RunSubject,
        server: ServerKey,
    ) -> SuspectRun {
        let id = state.suspects().begin_run(subject, server, Instant::now());
        SuspectRun { state, id, end: RunEnd::Unclear, first_event: None, is_answering: false }
    }

    /// Records an event of the answer. Returns the number of crashes that no longer count against parts of the prompt
    /// once the server has been answering for long enough.
    pub(crate) fn record_event(&mut self, now: Instant) -> Option<usize> {
        let first_event = *self.first_event.get_or_insert(now);
        let is_due = !self.is_answering && ANSWERING_TIME <= now - first_event;
        is_due.then(|| self.record_answering())
    }

    /// The server has begun to answer. Returns the number of crashes that no longer count against parts of the prompt.
    pub(crate) fn record_answering(&mut self) -> usize {
        self.is_answering = true;
        self.state.suspects().record_answering(self.id, Instant::now())
    }

    /// The server has answered, or did not run the request.
    pub(crate) fn answered(mut self) {
        self.end = RunEnd::Answered;
    }
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        self.state.suspects().end_run(self.id, self.end, Instant::now());
    }
}

/// The right to send a request while it or a part of its prompt is suspected, which one holder at a time has over all
/// hosts.
pub(crate) struct SuspectTurn {
    state: Arc<SharedState>,
    kind: SuspectKind,
    /// Fingerprint of the request, or key of the part.
    key: u128,
    ticket: u64,
}

impl SuspectTurn {
    /// A turn of a request.
    pub(crate) fn of_request(state: Arc<SharedState>, fingerprint: u128) -> SuspectTurn {
        let ticket = state.suspects().issue_ticket();
        SuspectTurn { state, kind: SuspectKind::Request, key: fingerprint, ticket }
    }

    /// A trial of a part; `None` if too many requests wait for it.
    pub(crate) fn of_part(state: Arc<SharedState>, part: u128) -> Option<SuspectTurn> {
        let ticket = state.suspects().open_trial(part)?;
        Some(SuspectTurn { state, kind: SuspectKind::Part, key: part, ticket })
    }

    pub(crate) fn is_of(&self, kind: SuspectKind, key: u128) -> bool {
        (self.kind, self.key) == (kind, key)
    }

    pub(crate) fn is_trial(&self) -> bool {
        self.kind == SuspectKind::Part
    }

    /// Whether the request may be sent now, and to which of these servers, the least loaded first.
    pub(crate) fn step(&self, servers: &[ServerKey]) -> RunStep {
        let (key, ticket) = (self.key, self.ticket);
        self.state.suspects().try_begin(key, ticket, servers, Instant::now())
    }

    /// Whether the request may be sent to this server now.
    pub(crate) fn step_at(&self, server: ServerKey) -> RunStep {
        let (key, ticket) = (self.key, self.ticket);
        self.state.suspects().may_run_at(key, ticket, server, Instant::now())
    }

    /// Lets others run the request, or one with the part.
    pub(crate) fn release(&self) {
        self.state.suspects().release(self.key, self.ticket, Instant::now());
    }
}

impl Drop for SuspectTurn {
    fn drop(&mut self) {
        let now = Instant::now();
        match self.kind {
            SuspectKind::Request => self.state.suspects().release(self.key, self.ticket, now),
            SuspectKind::Part => self.state.suspects().close_trial(self.key, self.ticket, now),
        }
    }
}
