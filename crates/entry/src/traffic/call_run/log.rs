//! What is told of a call: one line for each decision.

use fulmargate_dispatch::EngineChoice;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::scope_of;
use fulmargate_names::EventKind;
use fulmargate_names::TeamName;
use http::StatusCode;
use tokio::time::Instant;

use crate::state::boot_now;
use crate::telemetry::record_response;
use crate::traffic::answer::CallFailure;
use crate::traffic::call_run::CallRun;
use crate::traffic::send_attempt::SendFault;

impl CallRun {
    pub(super) fn tell_sent(&self, server: &ServerEntry, reason: &'static str) {
        let kind = EventKind::RequestSent;
        if !self.state.lines.allows(kind, Instant::now()) {
            return;
        }
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.facts().id,
            server = %server.name,
            reason,
            send = self.progress.sends() + 1,
            config_version = self.call.table.version().0,
            config_proof_ms = self.proof_ms(),
        );
    }

    pub(super) fn tell_prompt(&self, choice: &EngineChoice, reason: &'static str) {
        let kind = EventKind::RequestSent;
        if !self.state.lines.allows(kind, Instant::now()) {
            return;
        }
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.facts().id,
            server = %choice.server.name,
            reason,
            send = self.progress.sends() + 1,
            weights = choice.weights.0,
            prompt = self.facts().home_key().map(|key| format!("{:016x}", scope_of(&choice.salt) ^ key)),
            urgency = choice.urgency.level(),
            prompt_tokens = self.facts().prompt_tokens(),
            read_tokens = choice.read_tokens as u32,
            shared_tokens = self.facts().shared_tokens(),
            reread_tokens = choice.reread_tokens as u32,
            is_fetched = choice.fetch.is_some(),
            is_saved = choice.save_to.is_some(),
            queue_ms = choice.queue_ms as u64,
            waited_ms = self.facts().arrived.elapsed().as_millis() as u64,
            estimate_ms = choice.estimate_ms as u64,
            config_version = self.call.table.version().0,
            config_proof_ms = self.proof_ms(),
        );
    }

    /// Later lines tell of its end: `request_sent` with `waited_ms`, or `request_failed`.
    pub(super) fn tell_waits(&self) {
        let kind = EventKind::RequestWaits;
        if !self.state.lines.allows(kind, Instant::now()) {
            return;
        }
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.facts().id,
            prompt_tokens = self.facts().prompt_tokens(),
            line = self.state.waiting.len(),
            waited_ms = self.facts().arrived.elapsed().as_millis() as u64,
        );
    }

    fn proof_ms(&self) -> Option<u64> {
        self.state.proof().age(boot_now()).map(|age| age.as_millis() as u64)
    }

    pub(super) fn tell_fault(&self, fault: &SendFault, server: &ServerEntry) {
        let kind = EventKind::AttemptRetried;
        if self.state.lines.allows(kind, Instant::now()) {
            tracing::info!(
                event = kind.number(),
                name = kind.name(),
                id = %self.facts().id,
                server = %server.name,
                end = ?fault.end,
                reason = fault.reason,
                took_ms = self.facts().arrived.elapsed().as_millis() as u64,
            );
        }
    }

    /// The caller left, or the process ends. Without this line a request that a silent connection holds
    /// up is sent and never heard of again.
    pub(super) fn tell_caller_gone(&self) {
        let kind = EventKind::CallerGone;
        if !self.state.lines.allows(kind, Instant::now()) {
            return;
        }
        let facts = self.facts();
        let since = |at: Instant| at.duration_since(facts.arrived).as_millis() as u64;
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %facts.id,
            route = facts.route.name,
            first_event_ms = self.pace.first_event.map(since),
            last_event_ms = self.pace.last_event.map(since),
            sends = self.progress.sends() + 1,
            took_ms = facts.arrived.elapsed().as_millis() as u64,
        );
    }

    pub(crate) fn tell_ended(
        &self,
        kind: EventKind,
        status: StatusCode,
        failure: Option<&CallFailure>,
    ) {
        self.is_told.set(true);
        let facts = self.facts();
        record_response(facts, status.as_u16(), facts.arrived.elapsed());
        if !self.state.lines.allows(kind, Instant::now()) {
            return;
        }
        let first_event = self.pace.first_event.map(|at| at.duration_since(facts.arrived));
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %facts.id,
            route = facts.route.name,
            first_event_ms = first_event.map(|wait| wait.as_millis() as u64),
            longest_pause_ms = first_event.map(|_| self.pace.longest_pause.as_millis() as u64),
            silent_ms = self.pace.last_event.map(|at| at.elapsed().as_millis() as u64),
            team = facts.team.as_ref().map(TeamName::as_str),
            status = status.as_u16(),
            error = failure.map(|failure| failure.kind.row().code),
            detail = failure.map(|failure| failure.detail.as_str()),
            sends = self.progress.sends() + 1,
            took_ms = facts.arrived.elapsed().as_millis() as u64,
        );
    }
}
