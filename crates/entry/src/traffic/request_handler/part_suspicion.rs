//! Parts of prompts that are suspected of crashing servers.

use fulmargate_dispatch::PartStanding;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::EventKind;
use tokio::time::Instant;

use crate::traffic::request_handler::RequestHandler;
use crate::traffic::suspect_run::SuspectTurn;

impl RequestHandler {
    /// What the crashes on record say of the request, by the parts of its prompt.
    pub(super) fn part_standing(&self) -> PartStanding {
        let mut suspects = self.state.suspects();
        if !suspects.has_evidence() {
            return PartStanding::Clear;
        }
        suspects.part_standing(&self.facts().part_keys())
    }

    /// Engines that the prompt has been sent to, and those at which parts of others are tried. They are used only if
    /// there is no other.
    pub(super) fn excluded_engines(&self) -> Vec<ServerKey> {
        let trials = self.state.suspects().trial_servers(Instant::now());
        [&self.excluded_servers[..], &trials].concat()
    }

    /// The part that this request tries.
    pub(super) fn tried_part(&self) -> Option<u128> {
        match self.part_standing() {
            PartStanding::Tried(part) => Some(part),
            PartStanding::Clear | PartStanding::Convicted(_) => None,
        }
    }

    /// Records an event of the answer. Once the server has been answering for a while, the parts of the prompt are
    /// cleared of earlier crashes, and the next request may try them.
    pub(crate) fn record_event(&mut self) {
        let Some(run) = &mut self.run else { return };
        if let Some(crashes) = run.record_event(Instant::now()) {
            self.finish_trial(crashes);
        }
    }

    /// Ends the trial of a part that has not crashed the server.
    pub(super) fn finish_trial(&mut self, crashes: usize) {
        if self.turn.as_ref().is_some_and(SuspectTurn::is_trial) {
            self.turn = None;
            self.turn_server = None;
        }
        if crashes == 0 {
            return;
        }
        self.state.fleet_record_change.notify_one();
        self.state.crash_evidence_change.notify_one();
        let kind = EventKind::PartCleared;
        if self.state.log_limiter.allows(kind, Instant::now()) {
            tracing::info!(
                event = kind.number(),
                name = kind.name(),
                id = %self.facts().id,
                crashes,
            );
        }
    }
}
