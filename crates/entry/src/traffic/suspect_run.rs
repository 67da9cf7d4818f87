//! Runs of requests at servers, and turns of those that are suspected of crashing servers.

use std::sync::Arc;

use fulmargate_dispatch::RunEnd;
use fulmargate_dispatch::RunStep;
use fulmargate_dispatch::ServerKey;
use tokio::time::Instant;

use crate::state::SharedState;

/// A run of a request at a server. Dropping it means that its end is unclear.
pub(crate) struct SuspectRun {
    state: Arc<SharedState>,
    id: u64,
    end: RunEnd,
}

impl SuspectRun {
    /// Registers the run. Called before the first byte is sent.
    pub(crate) fn begin(
        state: Arc<SharedState>,
        fingerprint: u128,
        server: ServerKey,
    ) -> SuspectRun {
        let id = state.suspects().begin_run(fingerprint, server);
        SuspectRun { state, id, end: RunEnd::Unclear }
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

/// The right to send a request while it is suspected, which one holder at a time has over all hosts.
pub(crate) struct SuspectTurn {
    state: Arc<SharedState>,
    fingerprint: u128,
    ticket: u64,
}

impl SuspectTurn {
    pub(crate) fn new(state: Arc<SharedState>, fingerprint: u128) -> SuspectTurn {
        let ticket = state.suspects().issue_ticket();
        SuspectTurn { state, fingerprint, ticket }
    }

    /// Whether the request may be sent now, and to which of these servers, the least loaded first.
    pub(crate) fn step(&self, servers: &[ServerKey]) -> RunStep {
        let (fingerprint, ticket) = (self.fingerprint, self.ticket);
        self.state.suspects().try_begin(fingerprint, ticket, servers, Instant::now())
    }

    /// Whether the request may be sent to this server now.
    pub(crate) fn step_at(&self, server: ServerKey) -> RunStep {
        let (fingerprint, ticket) = (self.fingerprint, self.ticket);
        self.state.suspects().may_run_at(fingerprint, ticket, server, Instant::now())
    }

    /// Lets others run the request.
    pub(crate) fn release(&self) {
        self.state.suspects().release(self.fingerprint, self.ticket, Instant::now());
    }
}

impl Drop for SuspectTurn {
    fn drop(&mut self) {
        self.release();
    }
}
