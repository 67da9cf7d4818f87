//! Continuous batching, prefix cache and weights of an engine, without I/O.
//!
//! All times are milliseconds since the start of the life. `advance` goes through what happened up
//! to `now` in its order, so that a late wake-up shifts no event.

use std::sync::Arc;

use indexmap::IndexMap;

use super::engine_job::EngineJob;
use super::engine_job::JobNews;
use super::engine_job::JobRefusal;
use super::engine_job::JobStart;
use super::event_feed::CacheEventKind;
use super::event_feed::EventFeed;
use crate::FaultDesk;
use crate::block_cache::BlockCache;
use crate::block_cache::CacheChange;
use crate::deployment::EngineRates;
use crate::kv_run::KvRun;
use crate::token::BLOCK_TOKENS;

/// Requests that may wait for prefill.
const QUEUE_LIMIT: usize = 256;

struct WaitingJob {
    job: EngineJob,
    /// Tokens that were not cached when it came.
    uncached: usize,
}

struct Prefill {
    job: EngineJob,
    weights: u64,
    chain: Vec<u64>,
    cached_tokens: usize,
    begun: f64,
    done_at: f64,
    uncached: usize,
}

struct RunningJob {
    job: EngineJob,
    next_index: usize,
}

/// The state of one life of an engine.
pub(crate) struct EngineCore {
    rates: EngineRates,
    desk: FaultDesk,
    cache: BlockCache,
    pub(crate) feed: EventFeed,
    weights: IndexMap<Arc<str>, u64>,
    loading: IndexMap<Arc<str>, u64>,
    waiting: Vec<WaitingJob>,
    prefill: Option<Prefill>,
    running: Vec<RunningJob>,
    next_step: Option<f64>,
    fresh_runs: Vec<KvRun>,
}

impl EngineCore {
    pub(crate) fn new(
        rates: EngineRates,
        weights: IndexMap<Arc<str>, u64>,
        desk: FaultDesk,
        feed: EventFeed,
    ) -> EngineCore {
        EngineCore {
            rates,
            desk,
            cache: BlockCache::new(rates.cache_blocks),
            feed,
            weights,
            loading: IndexMap::new(),
            waiting: Vec::new(),
            prefill: None,
            running: Vec::new(),
            next_step: None,
            fresh_runs: Vec::new(),
        }
    }

    /// Takes a request in, or refuses it.
    pub(crate) fn submit(&mut self, now: f64, job: EngineJob) {
        self.advance(now);
        if let Some(refusal) = self.refusal(&job) {
            job.tell(JobNews::Refused(refusal));
            return;
        }
        let chain = job.block_chain(self.weights[&job.model]);
        let cached = self.cache.cached_run(&chain) * BLOCK_TOKENS;
        let uncached = job.prefill_tokens().saturating_sub(cached);
        self.waiting.push(WaitingJob { job, uncached });
        self.begin_prefill(now);
    }

    fn refusal(&self, job: &EngineJob) -> Option<JobRefusal> {
        if self.loading.contains_key(&job.model) {
            return Some(JobRefusal::Loading);
        }
        if !self.weights.contains_key(&job.model) {
            return Some(JobRefusal::UnknownModel);
        }
        if QUEUE_LIMIT <= self.waiting.len() {
            return Some(JobRefusal::Overloaded);
        }
        self.has_other_weights(job).then_some(JobRefusal::WeightsMismatch)
    }

    fn has_other_weights(&self, job: &EngineJob) -> bool {
        job.wanted_weights.is_some_and(|wanted| self.weights.get(&job.model) != Some(&wanted))
    }

    /// Goes through everything that happened up to `now`.
    pub(crate) fn advance(&mut self, now: f64) {
        while let Some(time) = self.next_event().filter(|time| *time <= now) {
            if self.prefill.as_ref().is_some_and(|prefill| prefill.done_at <= time) {
                self.end_prefill(time);
            } else {
                self.decode_step(time);
            }
            self.begin_prefill(time);
        }
    }

    /// When something happens next.
    pub(crate) fn next_event(&self) -> Option<f64> {
        let prefill = self.prefill.as_ref().map(|prefill| prefill.done_at);
        match (prefill, self.next_step) {
            (Some(prefill), Some(step)) => Some(prefill.min(step)),
            (prefill, step) => prefill.or(step),
        }
    }

    /// Frees what requests of callers that have gone still hold.
    pub(crate) fn reap(&mut self, now: f64) {
        self.advance(now);
        self.waiting.retain(|waiting| !waiting.job.is_cancelled());
        self.running.retain(|running| !running.job.is_cancelled());
        if self.prefill.as_ref().is_some_and(|prefill| prefill.job.is_cancelled()) {
            self.prefill = None;
        }
        self.begin_prefill(now);
    }

    /// Begins the most urgent waiting request if the prefill is idle and the batch has a slot.
    fn begin_prefill(&mut self, time: f64) {
        while self.prefill.is_none() && self.running.len() < self.rates.batch_limit {
            let most_urgent = (0..self.waiting.len()).min_by_key(|i| self.waiting[*i].job.priority);
            let Some(index) = most_urgent else { return };
            let job = self.waiting.remove(index).job;
            // The weights may have changed while the request waited.
            let Some(weights) = self.weights.get(&job.model).copied() else { continue };
            if self.has_other_weights(&job) {
                job.tell(JobNews::Refused(JobRefusal::WeightsMismatch));
                continue;
            }
            if !job.is_cancelled() {
                self.prefill = Some(self.new_prefill(time, job, weights));
            }
        }
    }

    fn new_prefill(&mut self, time: f64, job: EngineJob, weights: u64) -> Prefill {
        let chain = job.block_chain(weights);
        let run = self.cache.cached_run(&chain);
        self.cache.touch(&chain[..run]);
        let cached_tokens = run * BLOCK_TOKENS;
        let uncached = job.prefill_tokens().saturating_sub(cached_tokens).max(1);
        let ms = self.desk.paced_ms(uncached as f64 / self.rates.prefill_tokens_per_ms);
        Prefill { job, weights, chain, cached_tokens, begun: time, done_at: time + ms, uncached }
    }

    fn end_prefill(&mut self, time: f64) {
        let Some(prefill) = self.prefill.take() else { return };
        let Prefill { job, weights, chain, cached_tokens, .. } = prefill;
        // Blocks of weights that were replaced meanwhile are of no use to anyone.
        if let Some(scope) = job.scope.as_ref().filter(|_| self.weights[&job.model] == weights) {
            self.store(time, scope, weights, &chain);
        }
        if self.desk.crash_if_marked(&job.prompt) {
            return;
        }
        job.tell(JobNews::Started(JobStart {
            weights,
            cached_tokens,
            queue_tokens: self.queue_tokens(time),
            running: self.load() + 1,
        }));
        let running = RunningJob { next_index: job.resume_from, job };
        if let Some(running) = running.generate() {
            self.running.push(running);
            self.next_step.get_or_insert(time + self.desk.paced_ms(self.rates.decode_step_ms));
        }
    }

    /// Gives a token to each running request.
    fn decode_step(&mut self, time: f64) {
        let running = std::mem::take(&mut self.running);
        self.running = running.into_iter().filter_map(RunningJob::generate).collect();
        let step_ms = self.desk.paced_ms(self.rates.decode_step_ms);
        self.next_step = (!self.running.is_empty()).then_some(time + step_ms);
    }

    fn store(&mut self, time: f64, scope: &Arc<str>, weights: u64, chain: &[u64]) {
        let change = self.cache.insert(scope, weights, chain);
        self.publish(time, scope, &change);
        if !change.stored.is_empty() {
            self.fresh_runs.push(KvRun::new(scope, weights, &change.stored));
        }
    }

    fn publish(&mut self, time: f64, scope: &Arc<str>, change: &CacheChange) {
        for hash in &change.stored {
            self.publish_one(time, CacheEventKind::Stored, *hash, scope);
        }
        for (hash, scope) in &change.evicted {
            self.publish_one(time, CacheEventKind::Evicted, *hash, scope);
        }
    }

    fn publish_one(&mut self, time: f64, kind: CacheEventKind, hash: u64, scope: &Arc<str>) {
        if self.desk.drops_event() {
            self.feed.lose();
        } else {
            self.feed.push(time, kind, hash, scope);
        }
    }

    /// Takes in blocks that were computed elsewhere under the weights in use.
    pub(crate) fn import(&mut self, now: f64, scope: &Arc<str>, weights: u64, chain: &[u64]) {
        self.advance(now);
        let change = self.cache.insert(scope, weights, chain);
        self.publish(now, scope, &change);
    }

    /// The cached start of a chain.
    pub(crate) fn export(&self, scope: &str, weights: u64, chain: &[u64]) -> Vec<u64> {
        self.cache.export(scope, weights, chain)
    }

    /// Blocks computed since the last call, for the KV store.
    pub(crate) fn take_fresh_runs(&mut self) -> Vec<KvRun> {
        std::mem::take(&mut self.fresh_runs)
    }

    /// Empties the cache.
    pub(crate) fn clear_cache(&mut self, now: f64) {
        self.cache.clear();
        self.publish_one(now, CacheEventKind::Cleared, 0, &Arc::from(""));
    }

    /// New requests for the model are refused until `end_loading`.
    pub(crate) fn begin_loading(&mut self, model: &Arc<str>, version: u64) {
        self.loading.insert(Arc::clone(model), version);
    }

    /// Puts weights in use; `None` if they could not be loaded, which leaves the old ones.
    pub(crate) fn end_loading(&mut self, now: f64, model: &Arc<str>, version: Option<u64>) {
        self.advance(now);
        self.loading.shift_remove(model);
        if let Some(version) = version
            && self.weights.insert(Arc::clone(model), version) != Some(version)
        {
            self.clear_cache(now);
        }
    }

    pub(crate) fn weights(&self) -> &IndexMap<Arc<str>, u64> {
        &self.weights
    }

    pub(crate) fn loading(&self) -> &IndexMap<Arc<str>, u64> {
        &self.loading
    }

    pub(crate) fn cached_blocks(&self) -> usize {
        self.cache.len()
    }

    /// Uncached prompt tokens that wait for prefill, those of the current one that are left included.
    pub(crate) fn queue_tokens(&self, now: f64) -> usize {
        let waiting: usize = self.waiting.iter().map(|waiting| waiting.uncached).sum();
        let current = self.prefill.as_ref().map_or(0, |prefill| prefill.tokens_left(now));
        waiting + current
    }

    /// Requests taken in and not ended.
    pub(crate) fn load(&self) -> usize {
        self.waiting.len() + usize::from(self.prefill.is_some()) + self.running.len()
    }
}

impl Prefill {
    fn tokens_left(&self, now: f64) -> usize {
        let left = (self.done_at - now) / (self.done_at - self.begun);
        (left.clamp(0.0, 1.0) * self.uncached as f64) as usize
    }
}

impl RunningJob {
    /// Generates one token; `None` once the request is over.
    fn generate(mut self) -> Option<RunningJob> {
        if self.job.is_cancelled() {
            return None;
        }
        if self.next_index < self.job.answer_tokens {
            self.job.tell(JobNews::Token(self.next_index));
            self.next_index += 1;
        }
        if self.next_index < self.job.answer_tokens {
            return Some(self);
        }
        self.job.tell(JobNews::Done);
        None
    }
}
