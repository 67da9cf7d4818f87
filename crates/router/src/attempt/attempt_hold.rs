//! What an attempt holds of its server.

use fulmargate_admission::EngineReport;
use fulmargate_admission::GateTicket;
use fulmargate_admission::SuspectRun;
use fulmargate_placement::OpenRequest;
use fulmargate_placement::Placer;
use fulmargate_placement::ReplyStats;
use tokio::time::Instant;

/// Resources of one attempt at its server: its place at the gate, its load and its run in the crash
/// detector. Dropping it releases all of them, however the attempt ends.
pub(crate) struct AttemptHold {
    pub(crate) load: OpenRequest,
    pub(crate) ticket: GateTicket,
    pub(crate) run: SuspectRun,
}

impl AttemptHold {
    /// The first token has come.
    pub(crate) fn first_token(&mut self, placer: &Placer, facts: &ReplyStats, now_ms: u64) {
        placer.first_token(&mut self.load, facts, now_ms);
        let report = EngineReport {
            prompt_tokens: facts.prompt_tokens,
            cached_tokens: facts.cached_tokens,
            queue_tokens: facts.queue_tokens,
        };
        self.ticket.first_token(&report, Instant::now());
    }

    /// The head of an answer in one piece has come, which says nothing of the time to its first
    /// token: only what was cached is learned.
    pub(crate) fn whole_head(&mut self, placer: &Placer, facts: &ReplyStats, now_ms: u64) {
        self.load.mark_first_token(now_ms);
        placer.first_token(&mut self.load, facts, now_ms);
    }

    /// The whole answer came.
    pub(crate) fn ended_well(self) {
        self.run.complete();
    }

    /// The connection broke before the whole answer came.
    pub(crate) fn broke(self) {
        self.run.connection_broke();
    }

    /// The server refused the request for its load.
    pub(crate) fn overloaded(self) {
        self.ticket.overloaded(Instant::now());
    }
}
