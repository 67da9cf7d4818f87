//! How much one server may have under way, learnt from its answers.

use std::time::Duration;

use tokio::time::Instant;

use crate::EngineReport;
use crate::GateConf;
use crate::gate_load::GateRoom;

/// Shrinking, once per round of answers.
const SHRINK: f64 = 0.8;
/// Shrinking when the server itself refuses.
const SHRINK_ON_REFUSAL: f64 = 0.6;
/// Shrinks follow each other no faster than this, for answers come in bunches.
const LEAST_PAUSE: Duration = Duration::from_millis(50);
/// How fast the best rate seen fades, per answer.
const RATE_FADE: f64 = 0.998;
/// Prompts below this say nothing of the prefill rate.
const LEAST_SAMPLE: u32 = 64;
/// Tokens gained per round of answers.
const TOKEN_STEP: f64 = 512.0;

/// Limits on requests and on prompt tokens that wait for prefill.
///
/// They grow while they hold requests back and the server reports little waiting, as fast as
/// answers come after a start and by about one request a round later; they shrink by a fifth when
/// the waiting passes the target. Several routers that share a server each see its whole queue, so
/// all of them shrink together and none can crowd out the rest.
#[derive(Debug)]
pub(crate) struct AdaptiveLimit {
    conf: GateConf,
    requests: f64,
    tokens: f64,
    /// Prompt tokens a second with nobody else waiting; 0 while unknown.
    prefill_rate: f64,
    /// Seconds to the first token that prefill doesn't explain, at best; infinite while unknown.
    base: f64,
    phase: GrowthPhase,
    shrunk: Option<Instant>,
    held_back: Option<GateRoom>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GrowthPhase {
    /// Since a start, until the first shrink.
    Fast,
    Slow,
}

impl AdaptiveLimit {
    /// The limits of a server of which nothing is known.
    pub(crate) fn new(conf: GateConf) -> AdaptiveLimit {
        AdaptiveLimit {
            conf,
            requests: f64::from(conf.first_requests),
            tokens: f64::from(conf.first_tokens),
            prefill_rate: 0.0,
            base: f64::INFINITY,
            phase: GrowthPhase::Fast,
            shrunk: None,
            held_back: None,
        }
    }

    /// Requests that may be under way.
    pub(crate) fn requests(&self) -> u32 {
        (self.requests as u32).max(1)
    }

    /// Prompt tokens that may wait for prefill.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// A limit held a request back.
    pub(crate) fn hold_back(&mut self, full: GateRoom) {
        self.held_back = Some(full);
    }

    /// Time from sending to the first token with nobody else waiting; zero while unknown.
    pub(crate) fn service_time(&self, prefill_tokens: u32) -> Duration {
        let base = if self.base.is_finite() { self.base } else { 0.0 };
        Duration::from_secs_f64(base + self.prefill_seconds(prefill_tokens))
    }

    /// Learns from an answer's first token, which came `ttft` after sending.
    pub(crate) fn first_token(&mut self, ttft: Duration, report: &EngineReport, now: Instant) {
        let computed = report.prompt_tokens.saturating_sub(report.cached_tokens);
        self.learn(ttft.as_secs_f64(), computed);
        if self.waiting(ttft.as_secs_f64(), computed, report) > self.conf.target_wait.as_secs_f64()
        {
            self.shrink(SHRINK, ttft, now);
            return;
        }
        match self.held_back.take() {
            Some(GateRoom::TokensFull) => self.grow_tokens(computed),
            Some(_) => self.grow_requests(),
            None => {}
        }
    }

    /// The server itself refused for its load.
    pub(crate) fn overloaded(&mut self, now: Instant) {
        self.shrink(SHRINK_ON_REFUSAL, LEAST_PAUSE, now);
    }

    /// The best rate seen stands for the server alone: waiting only ever lowers what one sees.
    fn learn(&mut self, seconds: f64, computed: u32) {
        self.prefill_rate *= RATE_FADE;
        if computed >= LEAST_SAMPLE && seconds > 0.0 {
            self.prefill_rate = self.prefill_rate.max(f64::from(computed) / seconds);
        }
        let rest = (seconds - self.prefill_seconds(computed)).max(0.0);
        self.base = rest.min(self.base / RATE_FADE);
    }

    /// Seconds of waiting at the server: by its own report, and by what the answer took beyond
    /// its own work. A report may be stale, and a slow answer may have other causes than a
    /// queue; the larger one counts, for a limit that is too low costs less than one too high.
    fn waiting(&self, seconds: f64, computed: u32, report: &EngineReport) -> f64 {
        let reported = self.prefill_seconds(report.queue_tokens);
        let seen = seconds - self.base - self.prefill_seconds(computed);
        reported.max(seen)
    }

    fn prefill_seconds(&self, tokens: u32) -> f64 {
        if self.prefill_rate > 0.0 { f64::from(tokens) / self.prefill_rate } else { 0.0 }
    }

    fn shrink(&mut self, factor: f64, pause: Duration, now: Instant) {
        let pause = pause.max(LEAST_PAUSE);
        if self.shrunk.is_some_and(|shrunk| now.saturating_duration_since(shrunk) < pause) {
            return;
        }
        self.shrunk = Some(now);
        self.phase = GrowthPhase::Slow;
        self.requests = (self.requests * factor).max(f64::from(self.conf.least_requests.max(1)));
        self.tokens = (self.tokens * factor).max(f64::from(self.conf.least_tokens));
    }

    fn grow_requests(&mut self) {
        let step = match self.phase {
            GrowthPhase::Fast => 1.0,
            GrowthPhase::Slow => 1.0 / self.requests,
        };
        self.requests = (self.requests + step).min(f64::from(self.conf.most_requests));
    }

    fn grow_tokens(&mut self, computed: u32) {
        let step = match self.phase {
            GrowthPhase::Fast => f64::from(computed),
            GrowthPhase::Slow => TOKEN_STEP * f64::from(computed) / self.tokens,
        };
        self.tokens = (self.tokens + step).min(f64::from(self.conf.most_tokens));
    }
}
