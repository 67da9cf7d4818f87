//! Log lines about a request.
//!
//! `took_ms` is the time since the request arrived, `silent_ms` the time since the last event of its stream.
//! `framing`, `body_end`, `content_end`, `events`, `partial_bytes` and `server_check` tell how the last response body
//! that was read ended and what its verdict rests on.

use std::time::Duration;

use fulmargate_admission::LimitGrant;
use fulmargate_dispatch::EngineChoice;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::scope_of;
use fulmargate_names::EventKind;
use fulmargate_names::SoftwareVersion;
use fulmargate_names::TeamName;
use fulmargate_names::WeightsVersion;
use http::StatusCode;
use tokio::time::Instant;

use crate::state::boot_now;
use crate::telemetry::count_limit_decision;
use crate::telemetry::record_response;
use crate::traffic::request_failure::RequestFailure;
use crate::traffic::request_handler::RequestHandler;
use crate::traffic::request_handler::end_check::JudgedEnd;
use crate::traffic::send_attempt::SendError;

impl RequestHandler {
    pub(super) fn log_sent(
        &self,
        server: &ServerEntry,
        reason: &'static str,
        grant: Option<LimitGrant>,
    ) {
        if grant.is_some() {
            count_limit_decision("admitted");
        }
        let kind = EventKind::RequestSent;
        if !self.state.log_limiter.allows(kind, Instant::now()) {
            return;
        }
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.facts().id,
            server = %server.name,
            version = server.version.as_ref().map(SoftwareVersion::as_str),
            reason,
            send = self.progress.sends() + 1,
            limit = grant.map(|grant| grant.rate_per_s),
            limit_left = grant.map(|grant| (grant.available * 100.0).round() / 100.0),
            limit_report_ms = grant.and_then(|grant| grant.report_age).map(|age| age.as_millis() as u64),
            config_version = self.decoded.table.version().0,
            config_proof_ms = self.proof_ms(),
        );
    }

    pub(super) fn log_prompt_sent(
        &self,
        choice: &EngineChoice,
        reason: &'static str,
        grant: Option<LimitGrant>,
    ) {
        if grant.is_some() {
            count_limit_decision("admitted");
        }
        let kind = EventKind::RequestSent;
        if !self.state.log_limiter.allows(kind, Instant::now()) {
            return;
        }
        let weights_age = self.weights_age(choice.weights);
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.facts().id,
            server = %choice.server.name,
            version = choice.server.version.as_ref().map(SoftwareVersion::as_str),
            reason,
            send = self.progress.sends() + 1,
            limit = grant.map(|grant| grant.rate_per_s),
            limit_left = grant.map(|grant| (grant.available * 100.0).round() / 100.0),
            limit_report_ms = grant.and_then(|grant| grant.report_age).map(|age| age.as_millis() as u64),
            weights = choice.weights.0,
            newest_weights = self.newest_weights().map(|version| version.0),
            weights_age_ms = weights_age.as_millis() as u64,
            prompt = self.facts().owner_key().map(|key| format!("{:016x}", scope_of(&choice.salt) ^ key)),
            urgency = choice.urgency.level(),
            prompt_tokens = self.facts().prompt_tokens(),
            read_tokens = choice.prefill_tokens as u32,
            shared_tokens = self.facts().shared_tokens(),
            reread_tokens = choice.recomputed_tokens as u32,
            is_fetched = choice.fetch.is_some(),
            is_saved = choice.save_to.is_some(),
            queue_ms = choice.queue_ms as u64,
            waited_ms = self.facts().arrived.elapsed().as_millis() as u64,
            estimate_ms = choice.estimate_ms as u64,
            config_version = self.decoded.table.version().0,
            config_proof_ms = self.proof_ms(),
        );
    }

    pub(super) fn newest_weights(&self) -> Option<WeightsVersion> {
        let model = self.facts().model.as_ref()?;
        self.state.weights.load().target(model)
    }

    /// The time for which these weights count as outdated.
    fn weights_age(&self, weights: WeightsVersion) -> Duration {
        let model = self.facts().model.as_ref();
        let table = self.state.weights.load();
        model.map_or(Duration::ZERO, |model| table.outdated_for(model, weights, boot_now()))
    }

    /// Logs that the prompt is queued. `request_sent` or `request_failed` follows.
    pub(super) fn log_queued(&self) {
        let kind = EventKind::RequestWaits;
        if !self.state.log_limiter.allows(kind, Instant::now()) {
            return;
        }
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %self.facts().id,
            prompt_tokens = self.facts().prompt_tokens(),
            line = self.state.prompt_queue.len(),
            waited_ms = self.facts().arrived.elapsed().as_millis() as u64,
        );
    }

    fn end_field<T>(&self, field: impl Fn(JudgedEnd) -> T) -> Option<T> {
        self.judged_end.map(field)
    }

    fn proof_ms(&self) -> Option<u64> {
        self.state.proof().age(boot_now()).map(|age| age.as_millis() as u64)
    }

    pub(super) fn log_retry(&self, error: &SendError, server: &ServerEntry) {
        let kind = EventKind::AttemptRetried;
        if self.state.log_limiter.allows(kind, Instant::now()) {
            tracing::info!(
                event = kind.number(),
                name = kind.name(),
                id = %self.facts().id,
                server = %server.name,
                end = ?error.outcome,
                reason = error.reason,
                framing = self.end_field(|judged| display(judged.end.framing)),
                body_end = self.end_field(|judged| display(judged.end.transport)),
                content_end = self.end_field(|judged| display(judged.end.content)),
                events = self.end_field(|judged| judged.end.events),
                partial_bytes = self.end_field(|judged| judged.end.partial_bytes),
                server_check = self.end_field(|judged| display(judged.standing)),
                took_ms = self.facts().arrived.elapsed().as_millis() as u64,
            );
        }
    }

    /// Logs that the caller has disconnected, or that the process terminates.
    pub(super) fn log_caller_gone(&self) {
        let kind = EventKind::CallerGone;
        if !self.state.log_limiter.allows(kind, Instant::now()) {
            return;
        }
        let facts = self.facts();
        let since = |at: Instant| at.duration_since(facts.arrived).as_millis() as u64;
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %facts.id,
            route = facts.route.name,
            first_event_ms = self.timing.first_event.map(since),
            last_event_ms = self.timing.last_event.map(since),
            sends = self.progress.sends() + 1,
            took_ms = facts.arrived.elapsed().as_millis() as u64,
        );
    }

    pub(crate) fn log_ended(
        &self,
        kind: EventKind,
        status: StatusCode,
        failure: Option<&RequestFailure>,
    ) {
        self.end_is_logged.set(true);
        let facts = self.facts();
        let took = facts.arrived.elapsed();
        record_response(facts, status.as_u16(), took);
        if kind == EventKind::RequestEnded && status.is_success() {
            self.state.durations().record(&facts.route.name, took, Instant::now());
        }
        if !self.state.log_limiter.allows(kind, Instant::now()) {
            return;
        }
        let first_event = self.timing.first_event.map(|at| at.duration_since(facts.arrived));
        tracing::info!(
            event = kind.number(),
            name = kind.name(),
            id = %facts.id,
            route = facts.route.name,
            first_event_ms = first_event.map(|wait| wait.as_millis() as u64),
            longest_pause_ms = first_event.map(|_| self.timing.max_gap.as_millis() as u64),
            silent_ms = self.timing.last_event.map(|at| at.elapsed().as_millis() as u64),
            team = facts.team.as_ref().map(TeamName::as_str),
            status = status.as_u16(),
            error = failure.map(|failure| failure.kind.row().code),
            detail = failure.map(|failure| failure.detail.as_str()),
            framing = self.end_field(|judged| display(judged.end.framing)),
            body_end = self.end_field(|judged| display(judged.end.transport)),
            content_end = self.end_field(|judged| display(judged.end.content)),
            events = self.end_field(|judged| judged.end.events),
            partial_bytes = self.end_field(|judged| judged.end.partial_bytes),
            server_check = self.end_field(|judged| display(judged.standing)),
            sends = self.progress.sends() + 1,
            took_ms = facts.arrived.elapsed().as_millis() as u64,
        );
    }
}
