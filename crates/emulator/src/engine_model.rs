//! An engine that reads prompts in pieces between the tokens of its streams.

use std::collections::VecDeque;

use crate::FleetSpec;
use crate::part_cache::CachedPart;
use crate::part_cache::PartCache;

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineJob {
    pub(crate) send: usize,
    pub(crate) parts: Vec<CachedPart>,
    pub(crate) total: u32,
    /// Tokens that a fetch has brought.
    pub(crate) fetched: u32,
    pub(crate) saves: bool,
    pub(crate) urgency: u8,
    pub(crate) output: u32,
    pub(crate) weights: u64,
}

/// A request that an engine has admitted.
#[derive(Clone, Debug)]
struct RunningJob {
    job: EngineJob,
    unread: f64,
    read: f64,
    made: u32,
}

/// What a step brought about.
#[derive(Default)]
pub(crate) struct StepOutcome {
    /// How long it takes, in milliseconds.
    pub(crate) took_ms: f64,
    /// Sends that get an event: the first one or not, and the last one or not.
    pub(crate) outputs: Vec<(usize, bool, bool)>,
    /// Prompts that have been read and go to the store.
    pub(crate) saved: Vec<Vec<CachedPart>>,
}

/// The engine.
pub(crate) struct EngineModel {
    pub(crate) cache: PartCache,
    waiting: VecDeque<EngineJob>,
    running: Vec<RunningJob>,
    pub(crate) weights: u64,
    /// Weights that it is ordered to load, and whether it loads already.
    pub(crate) order: Option<u64>,
    pub(crate) is_loading: bool,
    pub(crate) is_dark: bool,
    pub(crate) is_stepping: bool,
    /// Changes when what is under way becomes void.
    pub(crate) epoch: u64,
    /// Shared tokens that were read.
    pub(crate) read_tokens: f64,
}

impl EngineModel {
    pub(crate) fn new() -> EngineModel {
        EngineModel {
            cache: PartCache::default(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            weights: 1,
            order: None,
            is_loading: false,
            is_dark: false,
            is_stepping: false,
            epoch: 0,
            read_tokens: 0.0,
        }
    }

    /// Takes a request, or turns it away.
    pub(crate) fn take(&mut self, job: EngineJob) -> bool {
        if self.order.is_some() || job.weights != self.weights {
            return false;
        }
        self.waiting.push_back(job);
        true
    }

    /// The order to load; returns the requests that are thrown back.
    pub(crate) fn take_order(&mut self, weights: u64) -> Vec<usize> {
        self.order = Some(weights);
        self.waiting.drain(..).map(|job| job.send).collect()
    }

    /// Whether it has an order and nothing runs any more.
    pub(crate) fn may_load(&self) -> bool {
        self.order.is_some() && self.running.is_empty() && !self.is_loading && !self.is_dark
    }

    /// The weights are in place.
    pub(crate) fn loaded(&mut self) {
        self.weights = self.order.take().unwrap_or(self.weights);
        self.is_loading = false;
        self.cache.clear();
    }

    /// It is gone, with all that it had.
    pub(crate) fn crash(&mut self) {
        self.is_dark = true;
        self.epoch += 1;
        self.is_stepping = false;
        self.is_loading = false;
        self.order = None;
        self.waiting.clear();
        self.running.clear();
        self.cache.clear();
    }

    /// A caller has left.
    pub(crate) fn cancel(&mut self, send: usize) {
        self.waiting.retain(|job| job.send != send);
        self.running.retain(|running| running.job.send != send);
    }

    /// Whether there is anything to do.
    pub(crate) fn has_work(&self) -> bool {
        !self.running.is_empty() || !self.waiting.is_empty()
    }

    /// Requests that run or wait.
    pub(crate) fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Does one step: admits, reads one piece and makes a token for each stream.
    pub(crate) fn step(&mut self, spec: &FleetSpec) -> StepOutcome {
        self.admit(spec);
        let mut outcome = StepOutcome {
            took_ms: spec.step_ms + spec.slot_ms * self.running.len() as f64,
            ..StepOutcome::default()
        };
        let mut budget = spec.chunk;
        let mut done = Vec::new();
        for (index, running) in self.running.iter_mut().enumerate() {
            if 0.0 < running.unread {
                let piece = running.unread.min(budget);
                budget -= piece;
                running.unread -= piece;
                running.read += piece;
                outcome.took_ms += piece / spec.read_rate;
                outcome.took_ms += piece * running.read * spec.pairs_ms / 1e6;
                self.read_tokens += piece;
                if running.unread <= 0.0 {
                    done.push(index);
                }
                continue;
            }
            running.made += 1;
            let is_first = running.made == 1;
            let is_last = running.job.output <= running.made;
            if is_first || is_last || running.made.is_multiple_of(spec.event_tokens) {
                outcome.outputs.push((running.job.send, is_first, is_last));
            }
        }
        for index in done {
            let running = &self.running[index];
            let taken: u64 = self.running.iter().map(|running| u64::from(running.job.total)).sum();
            let room = spec.cache_tokens.saturating_sub(taken);
            self.cache.insert(&running.job.parts, room);
            if running.job.saves {
                outcome.saved.push(running.job.parts.clone());
            }
        }
        self.running.retain(|running| running.made < running.job.output);
        outcome
    }

    /// The most urgent first, as long as slots and memory last.
    fn admit(&mut self, spec: &FleetSpec) {
        while self.running.len() < spec.slots as usize && self.order.is_none() {
            let most_urgent = self.waiting.iter().map(|job| job.urgency).min();
            let next = self.waiting.iter().position(|job| Some(job.urgency) == most_urgent);
            let Some(next) = next else { return };
            let taken: u32 = self.running.iter().map(|running| running.job.total).sum();
            let needed = u64::from(taken + self.waiting[next].total);
            if spec.cache_tokens < needed && !self.running.is_empty() {
                return;
            }
            let Some(job) = self.waiting.remove(next) else { return };
            let cached = self.cache.match_tokens(&job.parts).max(job.fetched).min(job.total - 1);
            let unread = f64::from(job.total - cached);
            self.running.push(RunningJob { job, unread, read: f64::from(cached), made: 0 });
        }
    }
}
