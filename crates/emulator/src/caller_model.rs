//! Callers' requests of a day.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::LogNormal;

use crate::CallKind;
use crate::FleetSpec;
use crate::LoadPattern;
use crate::call_kind::KindSpec;

/// A request as its caller means it.
#[derive(Clone, Debug)]
pub(crate) struct CallPlan {
    pub(crate) kind: CallKind,
    /// When it is sent first, in milliseconds.
    pub(crate) at: f64,
    pub(crate) router: usize,
    /// Hashes and tokens of the prompt's parts; the last one is its own.
    pub(crate) parts: Vec<(u64, u32)>,
    pub(crate) output: u32,
}

impl CallPlan {
    pub(crate) fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.1).sum()
    }
}

/// Draws the requests of a day, in the order of their times.
pub(crate) fn draw_calls(spec: &FleetSpec, pattern: LoadPattern, seed: u64) -> Vec<CallPlan> {
    let mut source = StdRng::seed_from_u64(seed);
    let mut calls = Vec::new();
    for kind in CallKind::ALL {
        let sheet = kind.spec();
        let records = draw_records(spec, &sheet, &mut source);
        let mut at = 0.0;
        loop {
            let second = at / 1_000.0;
            let rate = sheet.rate * spec.load_factor() * pattern.load(second);
            at -= source.random::<f64>().max(f64::MIN_POSITIVE).ln() / rate * 1_000.0;
            if spec.length_s * 1_000.0 <= at {
                break;
            }
            let is_hot = kind == CallKind::Review && source.random_bool(pattern.hot_share(second));
            let record = if is_hot { 0 } else { draw_record(records.len(), &mut source) };
            calls.push(draw_call(spec, kind, at, (record as u64, records[record]), &mut source));
        }
    }
    calls.sort_by(|a, b| a.at.total_cmp(&b.at));
    calls
}

/// Lengths of the records that prompts share.
fn draw_records(spec: &FleetSpec, sheet: &KindSpec, source: &mut StdRng) -> Vec<u32> {
    let count = sheet.records as f64 * spec.load_factor();
    let lengths = log_normal(sheet.shared_tokens, 0.6);
    (0..count as usize).map(|_| lengths.sample(source).min(40_000.0) as u32 + 1).collect()
}

/// Some are asked for more often than others.
fn draw_record(count: usize, source: &mut StdRng) -> usize {
    (source.random::<f64>().powf(1.3) * count as f64) as usize
}

fn draw_call(
    spec: &FleetSpec,
    kind: CallKind,
    at: f64,
    (record, shared): (u64, u32),
    source: &mut StdRng,
) -> CallPlan {
    let sheet = kind.spec();
    let own = log_normal(sheet.own_tokens, sheet.own_spread).sample(source).min(sheet.most_own);
    let output = log_normal(sheet.output_tokens, 0.8).sample(source).min(480.0);
    let hash = (record + 1) * 2 + u64::from(kind == CallKind::Lookup);
    CallPlan {
        kind,
        at,
        router: source.random_range(0..spec.routers),
        parts: vec![(hash.wrapping_mul(0x9e37_79b9), shared), (source.random(), own as u32 + 1)],
        output: output as u32 + 1,
    }
}

/// A distribution with this mean and this spread of the logarithm.
fn log_normal(mean: f64, spread: f64) -> LogNormal<f64> {
    let location = mean.ln() - spread * spread / 2.0;
    LogNormal::new(location, spread).unwrap_or_else(|_| unreachable!("the spread is positive"))
}
