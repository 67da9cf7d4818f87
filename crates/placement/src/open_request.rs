//! Load accounting and feedback for an open request.

use std::sync::Arc;

use crate::Choice;
use crate::PromptChain;
use crate::ReplyStats;
use crate::ServerMeter;
use crate::choice::CachePrediction;
use crate::server_meter::CacheOutcome;

/// Minimum fraction of the predicted tokens that must be cached for the prediction to be correct.
const MIN_HIT_SHARE: f64 = 0.9;

/// A request in progress. It counts towards its server's load until it is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    meter: Arc<ServerMeter>,
    chain: PromptChain,
    band: usize,
    uncached: u64,
    state: RequestState,
    feedback: CacheFeedback,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// Waiting for the first token.
    Waiting,
    /// The first token has been received.
    Streaming,
}

/// How to use the number of cached tokens in the reply.
#[derive(Clone, Copy, Debug)]
enum CacheFeedback {
    /// Not used, because the tokens may have been imported.
    None,
    /// Compare it with the prediction.
    Prediction(CachePrediction),
}

/// Whether a reply came from the server incarnation that was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplySource {
    /// The reply came from the selected incarnation.
    SelectedIncarnation,
    /// Another incarnation replied; the control thread must be notified.
    IncarnationMismatch,
}

impl OpenRequest {
    pub(crate) fn new(
        choice: &Choice,
        chain: &PromptChain,
        band: usize,
        uncached: u32,
        now_ms: u64,
    ) -> OpenRequest {
        let meter = choice.server.meter.clone();
        let uncached = u64::from(uncached);
        meter.begin_request(band, uncached, now_ms);
        let feedback = match choice.kv_source {
            Some(_) => CacheFeedback::None,
            None => CacheFeedback::Prediction(choice.prediction),
        };
        let state = RequestState::Waiting;
        OpenRequest { meter, chain: chain.clone(), band, uncached, state, feedback }
    }

    /// The meter of the request's server.
    pub fn meter(&self) -> &ServerMeter {
        &self.meter
    }

    /// Marks the first token as received without a reply. Used for non-streamed responses, which
    /// send nothing before they are complete; the server would otherwise appear stalled.
    pub fn mark_first_token(&mut self, now_ms: u64) {
        self.end_wait();
        self.meter.record_progress(now_ms);
    }

    pub(crate) fn chain(&self) -> &PromptChain {
        &self.chain
    }

    pub(crate) fn first_token(&mut self, reply: &ReplyStats, now_ms: u64) -> ReplySource {
        if self.state == RequestState::Streaming {
            return ReplySource::SelectedIncarnation;
        }
        self.end_wait();
        if reply.incarnation != self.meter.incarnation() {
            return ReplySource::IncarnationMismatch;
        }
        self.meter.record_reply(self.band, reply, now_ms);
        self.record_cache_feedback(reply);
        ReplySource::SelectedIncarnation
    }

    fn record_cache_feedback(&self, reply: &ReplyStats) {
        let CacheFeedback::Prediction(prediction) = self.feedback else { return };
        match prediction {
            CachePrediction::None => {}
            CachePrediction::Owner { tokens } => {
                let share = f64::from(reply.cached_tokens) / f64::from(tokens.max(1));
                self.meter.record_owner_hit(share.min(1.0));
            }
            CachePrediction::Hint { age_ms, tokens } => {
                let is_hit = f64::from(tokens) * MIN_HIT_SHARE <= f64::from(reply.cached_tokens);
                let outcome = if is_hit { CacheOutcome::Hit } else { CacheOutcome::Miss };
                self.meter.record_lifetime(age_ms as f64, outcome);
            }
        }
    }

    fn end_wait(&mut self) {
        if self.state == RequestState::Waiting {
            self.state = RequestState::Streaming;
            self.meter.end_wait(self.band, self.uncached);
        }
    }
}

impl Drop for OpenRequest {
    /// Releases the load however the request ends, including on failure and cancellation.
    fn drop(&mut self) {
        self.end_wait();
        self.meter.end_request();
    }
}
