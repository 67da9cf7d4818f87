//! A request on its way.

use std::sync::Arc;

use crate::Choice;
use crate::PromptChain;
use crate::ReplyFacts;
use crate::ServerMeter;
use crate::choice::CachePrediction;
use crate::server_meter::CacheOutcome;

/// Part of the expected tokens that must be cached for an expectation to have been right.
const MIN_HIT_SHARE: f64 = 0.9;

/// A request that counts as load of its server until this is dropped, however it ends.
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
    /// The first token is owed.
    Waiting,
    /// Tokens come.
    Streaming,
}

/// What the answer's cached tokens teach.
#[derive(Clone, Copy, Debug)]
enum CacheFeedback {
    /// Nothing: no expectation, or cached tokens that may have been imported.
    None,
    /// How well home keeps its prompts, or how long a prefix stays cached.
    Prediction(CachePrediction),
}

/// Whether an answer came from the life of the server that was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyVerdict {
    /// It did.
    Expected,
    /// Another life answered; the control thread has to be told.
    OtherLife,
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

    /// The meter of the server it went to.
    pub fn meter(&self) -> &ServerMeter {
        &self.meter
    }

    /// Takes the first token for given. An answer in one piece shows nothing before its end; counted
    /// as owing a first token all that time, its server would look stalled and be passed over.
    pub fn assume_first_token(&mut self, now_ms: u64) {
        self.end_wait();
        self.meter.record_progress(now_ms);
    }

    pub(crate) fn chain(&self) -> &PromptChain {
        &self.chain
    }

    pub(crate) fn first_token(&mut self, reply: &ReplyFacts, now_ms: u64) -> ReplyVerdict {
        if self.state == RequestState::Streaming {
            return ReplyVerdict::Expected;
        }
        self.end_wait();
        if reply.incarnation != self.meter.incarnation() {
            return ReplyVerdict::OtherLife;
        }
        self.meter.record_reply(self.band, reply, now_ms);
        self.record_cache_feedback(reply);
        ReplyVerdict::Expected
    }

    fn record_cache_feedback(&self, reply: &ReplyFacts) {
        let CacheFeedback::Prediction(prediction) = self.feedback else { return };
        match prediction {
            CachePrediction::None => {}
            CachePrediction::Home { tokens } => {
                let share = f64::from(reply.cached_tokens) / f64::from(tokens.max(1));
                self.meter.record_home_hit(share.min(1.0));
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
    /// A request that fails, is cancelled or whose caller hangs up takes this path as well. Load
    /// that was never given back would make the server look busy for ever.
    fn drop(&mut self) {
        self.end_wait();
        self.meter.end_request();
    }
}
