//! Updates the state of a server after a failed send.

use std::sync::Arc;

use fulmargate_dispatch::SendOutcome;
use fulmargate_dispatch::ServerEntry;
use fulmargate_names::WeightsVersion;
use tokio::time::Instant;

use crate::telemetry::log_brittle_rejection;
use crate::traffic::request_handler::RequestHandler;
use crate::traffic::send_attempt::SendError;

impl RequestHandler {
    pub(super) fn exclude(&mut self, server: &Arc<ServerEntry>) {
        if !self.excluded_servers.contains(&server.key()) {
            self.excluded_servers.push(server.key());
        }
    }

    /// Updates the load, health and weights that are recorded for the server.
    pub(super) fn record_error(
        &self,
        error: &SendError,
        server: &Arc<ServerEntry>,
        sent_weights: Option<WeightsVersion>,
    ) {
        let now = Instant::now();
        let key = server.key();
        let target =
            self.facts().model.as_ref().and_then(|model| self.state.weights.load().target(model));
        match error.outcome {
            SendOutcome::NotSent | SendOutcome::Unreachable => {
                self.state.servers().record_unreachable(key, now);
            }
            SendOutcome::Refused => {
                log_brittle_rejection(&self.state, &self.facts().id, server);
                match &self.facts().model {
                    Some(model) => {
                        self.state.servers().record_prompt_rejection(key, model, target, now);
                    }
                    None => self.state.servers().record_rejection(key, now),
                }
            }
            SendOutcome::OtherServer => self.state.servers().forget(key),
            SendOutcome::OtherWeights => {
                if let (Some(model), Some(sent)) = (&self.facts().model, sent_weights) {
                    self.state.servers().record_weights_mismatch(key, model, sent, target);
                }
            }
            SendOutcome::TimedOut => self.state.servers().record_failure(key, now),
            SendOutcome::Broken => self.state.servers().record_failure(key, now),
        }
    }
}
