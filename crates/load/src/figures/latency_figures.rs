//! Times to the first token and between tokens.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::calls::CallRecord;
use crate::calls::Verdict;

const LONGEST_US: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Gathers the times of some calls.
pub(super) struct LatencyGatherer {
    prompts: usize,
    whole: usize,
    prompt_tokens: usize,
    cached_tokens: usize,
    first_token: Histogram<u64>,
    between: Histogram<u64>,
}

/// Quantiles in milliseconds, of answers to prompts that came whole.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LatencyFigures {
    /// Prompts sent.
    pub prompts: usize,
    /// Those answered whole.
    pub whole: usize,
    /// Share of their prompt tokens that engines had cached.
    pub hit_rate: f64,
    /// From the planned time to the first token.
    pub ttft_p50_ms: f64,
    /// See `ttft_p50_ms`.
    pub ttft_p95_ms: f64,
    /// See `ttft_p50_ms`.
    pub ttft_p99_ms: f64,
    /// Between two tokens.
    pub between_p50_ms: f64,
    /// See `between_p50_ms`.
    pub between_p95_ms: f64,
    /// See `between_p50_ms`.
    pub between_p99_ms: f64,
}

impl Default for LatencyGatherer {
    fn default() -> LatencyGatherer {
        let histogram = || {
            Histogram::new_with_bounds(1, LONGEST_US, SIGNIFICANT_DIGITS)
                .expect("the bounds are those of the library")
        };
        LatencyGatherer {
            prompts: 0,
            whole: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            first_token: histogram(),
            between: histogram(),
        }
    }
}

impl LatencyGatherer {
    pub(super) fn add(&mut self, record: &CallRecord) {
        self.prompts += 1;
        if record.verdict != Verdict::Whole {
            return;
        }
        self.whole += 1;
        self.prompt_tokens += record.prompt_tokens;
        self.cached_tokens += record.cached_tokens;
        if let Some(first_token) = record.first_token {
            add_time(&mut self.first_token, first_token);
        }
        for gap in &record.token_gaps {
            add_time(&mut self.between, *gap);
        }
    }

    pub(super) fn figures(&self) -> LatencyFigures {
        LatencyFigures {
            prompts: self.prompts,
            whole: self.whole,
            hit_rate: self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64,
            ttft_p50_ms: quantile_ms(&self.first_token, 0.5),
            ttft_p95_ms: quantile_ms(&self.first_token, 0.95),
            ttft_p99_ms: quantile_ms(&self.first_token, 0.99),
            between_p50_ms: quantile_ms(&self.between, 0.5),
            between_p95_ms: quantile_ms(&self.between, 0.95),
            between_p99_ms: quantile_ms(&self.between, 0.99),
        }
    }
}

fn add_time(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record((time.as_micros() as u64).max(1));
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
