//! One request inside an engine.

use std::sync::Arc;

use tokio::sync::mpsc;

use crate::token;

/// Why an engine did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobRefusal {
    /// The queue is full.
    Overloaded,
    /// New weights are being loaded.
    Loading,
    /// The weights in use are not those asked for.
    WeightsMismatch,
    /// The engine leaves.
    Leaving,
    /// The engine does not serve the model.
    UnknownModel,
}

/// What the first token's answer says of the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct JobStart {
    pub(crate) weights: u64,
    pub(crate) cached_tokens: usize,
    pub(crate) queue_tokens: usize,
    pub(crate) running: usize,
}

/// What an engine tells of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobNews {
    Refused(JobRefusal),
    Started(JobStart),
    /// The token of this index was generated.
    Token(usize),
    /// All tokens were generated.
    Done,
}

/// A request as the engine's core takes it.
pub(crate) struct EngineJob {
    pub(crate) model: Arc<str>,
    /// `None` keeps the prompt out of the cache.
    pub(crate) scope: Option<Arc<str>>,
    pub(crate) prompt: Arc<str>,
    pub(crate) wanted_weights: Option<u64>,
    pub(crate) priority: u8,
    pub(crate) resume_from: usize,
    pub(crate) answer_tokens: usize,
    pub(crate) news: mpsc::UnboundedSender<JobNews>,
}

impl EngineJob {
    /// Whether the caller has gone.
    pub(crate) fn is_cancelled(&self) -> bool {
        self.news.is_closed()
    }

    /// A caller that has gone needs no news.
    pub(crate) fn tell(&self, news: JobNews) {
        let _ = self.news.send(news);
    }

    /// Tokens to be computed before the first new one when nothing is cached: the prompt's and
    /// those that an earlier attempt has generated.
    pub(crate) fn prefill_tokens(&self) -> usize {
        token::prompt_tokens(&self.prompt) + self.resume_from
    }

    pub(crate) fn block_chain(&self, weights: u64) -> Vec<u64> {
        match &self.scope {
            Some(scope) => token::block_hashes(scope, weights, &self.prompt),
            None => Vec::new(),
        }
    }
}
