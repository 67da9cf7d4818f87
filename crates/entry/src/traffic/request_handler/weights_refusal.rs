//! Prompts that no engine takes since the weights of all are too old.

use std::time::Duration;

use fulmargate_names::EventKind;
use tokio::time::Instant;

use crate::state::boot_now;
use crate::traffic::prompt_queue::max_weights_age;
use crate::traffic::request_handler::RequestHandler;
use crate::traffic::request_handler::ResumePoint;

impl RequestHandler {
    /// Logs that no engine may take the prompt because of its weights, if that is so.
    pub(super) fn log_weights_refused(&self, point: &ResumePoint) {
        let Some(model) = &self.facts().model else { return };
        let Some(youngest) = self.youngest_weights_age(point) else { return };
        let max_age = max_weights_age(&self.state);
        let kind = EventKind::WeightsRefused;
        if youngest < max_age || !self.state.log_limiter.allows(kind, Instant::now()) {
            return;
        }
        let known = (youngest < Duration::MAX).then_some(youngest);
        tracing::warn!(
            event = kind.number(),
            name = kind.name(),
            id = %self.facts().id,
            %model,
            target_version = self.newest_weights().map(|version| version.0),
            youngest_ms = known.map(|age| age.as_millis() as u64),
            max_age_ms = max_age.as_millis() as u64,
        );
    }

    /// The shortest time for which an engine's weights count as outdated, `Duration::MAX` if that is known of none.
    /// `None` if there is no engine.
    fn youngest_weights_age(&self, point: &ResumePoint) -> Option<Duration> {
        let (model, service) = (self.facts().model.as_ref()?, self.service()?);
        let table = self.state.weights.load();
        let servers = self.state.servers();
        let engines = servers.states().filter(|engine| engine.entry().service == service);
        let versions = engines.filter_map(|engine| engine.weights(model));
        let allowed = versions.filter(|version| point.weights.is_none_or(|only| only == *version));
        allowed.map(|version| table.outdated_for(model, version, boot_now())).min()
    }
}
