//! Adaptive concurrency limit of one server.

use std::time::Duration;

use tokio::time::Instant;

use crate::EngineReport;
use crate::GateConf;
use crate::gate_load::GateCapacity;

/// Multiplicative decrease when the estimated queueing time exceeds the target.
const DECREASE_FACTOR: f64 = 0.8;
/// Multiplicative decrease when the server rejects a request as overloaded.
const OVERLOAD_DECREASE_FACTOR: f64 = 0.6;
/// Minimum time between two decreases, so that one burst of responses counts once.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(50);
/// Decay of the best observed prefill rate and base latency, per response.
const RATE_DECAY: f64 = 0.998;
/// Shorter prompts are ignored when the prefill rate is estimated.
const MIN_SAMPLE_TOKENS: u32 = 64;
/// Additive increase of the token limit per round of responses.
const TOKENS_PER_ROUND: f64 = 512.0;

/// Additive-increase, multiplicative-decrease limits on in-flight requests and on prompt tokens
/// that wait for prefill.
///
/// A limit increases only if it has delayed a request and the server's queue is short. Both limits
/// decrease when the queueing time exceeds the target. All routers observe the server's whole
/// queue, so they decrease their limits together.
#[derive(Debug)]
pub(crate) struct AdaptiveLimit {
    conf: GateConf,
    request_limit: f64,
    token_limit: f64,
    /// Best observed prefill rate, in tokens per second; 0 while unknown.
    prefill_tokens_per_s: f64,
    /// Lowest observed time to first token without prefill, in seconds; infinite while unknown.
    base_latency_s: f64,
    phase: IncreasePhase,
    last_decrease: Option<Instant>,
    limiting: Option<GateCapacity>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IncreasePhase {
    SlowStart,
    Additive,
}

impl AdaptiveLimit {
    pub(crate) fn new(conf: GateConf) -> AdaptiveLimit {
        AdaptiveLimit {
            conf,
            request_limit: f64::from(conf.initial_requests),
            token_limit: f64::from(conf.initial_tokens),
            prefill_tokens_per_s: 0.0,
            base_latency_s: f64::INFINITY,
            phase: IncreasePhase::SlowStart,
            last_decrease: None,
            limiting: None,
        }
    }

    /// Maximum number of in-flight requests.
    pub(crate) fn requests(&self) -> u32 {
        (self.request_limit as u32).max(1)
    }

    /// Maximum number of prompt tokens that wait for prefill.
    pub(crate) fn tokens(&self) -> f64 {
        self.token_limit
    }

    /// Records that a limit held a request back, which lets it grow with the next response.
    pub(crate) fn record_limiting(&mut self, room: GateCapacity) {
        self.limiting = Some(room);
    }

    /// Estimated time to first token on an idle server; zero while unknown.
    pub(crate) fn idle_ttft(&self, prefill_tokens: u32) -> Duration {
        let base_latency_s =
            if self.base_latency_s.is_finite() { self.base_latency_s } else { 0.0 };
        Duration::from_secs_f64(base_latency_s + self.prefill_seconds(prefill_tokens))
    }

    /// Updates the estimates and the limits from the time to first token of one response.
    pub(crate) fn first_token(&mut self, ttft: Duration, report: &EngineReport, now: Instant) {
        let computed = report.prompt_tokens.saturating_sub(report.cached_tokens);
        self.update_estimates(ttft.as_secs_f64(), computed);
        if self.queue_seconds(ttft.as_secs_f64(), computed, report)
            > self.conf.target_wait.as_secs_f64()
        {
            self.decrease(DECREASE_FACTOR, ttft, now);
            return;
        }
        match self.limiting.take() {
            Some(GateCapacity::TokensFull) => self.increase_tokens(computed),
            Some(_) => self.increase_requests(),
            None => {}
        }
    }

    /// Shrinks the limits after the server rejected a request as overloaded.
    pub(crate) fn overloaded(&mut self, now: Instant) {
        self.decrease(OVERLOAD_DECREASE_FACTOR, MIN_DECREASE_INTERVAL, now);
    }

    /// Queueing only lowers the observed rate, so the best one approximates the idle server.
    fn update_estimates(&mut self, seconds: f64, computed: u32) {
        self.prefill_tokens_per_s *= RATE_DECAY;
        if computed >= MIN_SAMPLE_TOKENS && seconds > 0.0 {
            self.prefill_tokens_per_s =
                self.prefill_tokens_per_s.max(f64::from(computed) / seconds);
        }
        let latency = (seconds - self.prefill_seconds(computed)).max(0.0);
        self.base_latency_s = latency.min(self.base_latency_s / RATE_DECAY);
    }

    /// Estimated queueing time at the server in seconds: the larger of the reported queue and the
    /// excess over the idle latency. The report may be stale and the excess may have other causes,
    /// but a limit that is too low costs less than one that is too high.
    fn queue_seconds(&self, seconds: f64, computed: u32, report: &EngineReport) -> f64 {
        let reported = self.prefill_seconds(report.queue_tokens);
        let excess = seconds - self.base_latency_s - self.prefill_seconds(computed);
        reported.max(excess)
    }

    fn prefill_seconds(&self, tokens: u32) -> f64 {
        if self.prefill_tokens_per_s > 0.0 {
            f64::from(tokens) / self.prefill_tokens_per_s
        } else {
            0.0
        }
    }

    fn decrease(&mut self, factor: f64, interval: Duration, now: Instant) {
        let interval = interval.max(MIN_DECREASE_INTERVAL);
        if self
            .last_decrease
            .is_some_and(|last_decrease| now.saturating_duration_since(last_decrease) < interval)
        {
            return;
        }
        self.last_decrease = Some(now);
        self.phase = IncreasePhase::Additive;
        self.request_limit =
            (self.request_limit * factor).max(f64::from(self.conf.min_requests.max(1)));
        self.token_limit = (self.token_limit * factor).max(f64::from(self.conf.min_tokens));
    }

    fn increase_requests(&mut self) {
        let step = match self.phase {
            IncreasePhase::SlowStart => 1.0,
            IncreasePhase::Additive => 1.0 / self.request_limit,
        };
        self.request_limit = (self.request_limit + step).min(f64::from(self.conf.max_requests));
    }

    fn increase_tokens(&mut self, computed: u32) {
        let step = match self.phase {
            IncreasePhase::SlowStart => f64::from(computed),
            IncreasePhase::Additive => TOKENS_PER_ROUND * f64::from(computed) / self.token_limit,
        };
        self.token_limit = (self.token_limit + step).min(f64::from(self.conf.max_tokens));
    }
}
