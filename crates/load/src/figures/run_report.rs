//! The report of one run.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use fulmargate_stand::deployment::Deployment;
use indexmap::IndexMap;
use serde::Serialize;

use super::cache_judge::CacheJudge;
use super::latency_figures::LatencyFigures;
use super::latency_figures::LatencyGatherer;
use super::prompt_touch::PromptTouch;
use crate::calls::AnswerFault;
use crate::calls::CallRecord;
use crate::calls::Verdict;

const MAX_EXAMPLES: usize = 20;

/// What a report is about.
pub struct ReportScope<'a> {
    /// The deployment that was called.
    pub deployment: &'a Deployment,
    /// Prompts by the numbers of their calls.
    pub touches: &'a HashMap<u32, PromptTouch>,
    /// Calls planned before this are checked and not measured.
    pub warm_up: Duration,
    /// End of the plan.
    pub duration: Duration,
}

/// Figures of one run. Faults are counted over the whole run, all else after the warm-up.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// Calls made.
    pub calls: usize,
    /// Calls answered whole.
    pub whole: usize,
    /// Calls that got anything but a whole answer.
    pub errors: usize,
    /// Whole answers a second.
    pub goodput: f64,
    /// Share of prompt tokens that engines had cached.
    pub hit_rate: f64,
    /// Tokens of all prompts answered whole.
    pub prompt_tokens: usize,
    /// Prompt tokens computed that had been computed before in this run.
    pub recomputed_tokens: usize,
    /// Recomputed tokens by prompt tokens, comparable where policies refuse differing numbers.
    pub recomputed_share: f64,
    /// 99th percentile of the time to the first token, by class.
    pub ttft_p99_ms: IndexMap<String, f64>,
    /// Answers by what they said of the call.
    pub dispositions: BTreeMap<String, usize>,
    /// Typed errors by code.
    pub codes: BTreeMap<String, usize>,
    /// What must never happen, counted.
    pub faults: BTreeMap<AnswerFault, usize>,
    /// The first few of them, for whoever looks for the cause.
    pub examples: Vec<String>,
    /// Calls that were sent again or resumed after a broken connection.
    pub tried_again: usize,
    /// Times by class.
    pub classes: IndexMap<String, LatencyFigures>,
    /// Times by team.
    pub teams: IndexMap<String, LatencyFigures>,
}

impl RunReport {
    /// Draws up the report.
    pub fn new(scope: &ReportScope<'_>, records: &[CallRecord]) -> RunReport {
        let recomputed = CacheJudge::new(scope.touches).recomputed_tokens(records);
        let measured: Vec<&CallRecord> =
            records.iter().filter(|record| scope.warm_up <= record.at).collect();
        let prompts = || measured.iter().copied().filter(|record| record.is_prompt);
        let whole = measured.iter().filter(|record| record.verdict == Verdict::Whole).count();
        let classes = by_name(prompts(), |record| record.class.as_str().to_owned());
        let answered = || prompts().filter(|record| record.verdict == Verdict::Whole);
        let prompt_tokens: usize = answered().map(|record| record.prompt_tokens).sum();
        let cached_tokens: usize = answered().map(|record| record.cached_tokens).sum();
        let recomputed_tokens: usize =
            answered().filter_map(|record| recomputed.get(&record.number)).sum();
        let seconds = scope.duration.saturating_sub(scope.warm_up).as_secs_f64();
        RunReport {
            calls: measured.len(),
            whole,
            errors: measured.len() - whole,
            goodput: whole as f64 / seconds.max(1e-3),
            hit_rate: cached_tokens as f64 / prompt_tokens.max(1) as f64,
            prompt_tokens,
            recomputed_tokens,
            recomputed_share: recomputed_tokens as f64 / prompt_tokens.max(1) as f64,
            ttft_p99_ms: classes
                .iter()
                .map(|(class, figures)| (class.clone(), figures.ttft_p99_ms))
                .collect(),
            dispositions: counted(measured.iter().map(|record| {
                record.disposition.map_or("none", |disposition| disposition.as_str()).to_owned()
            })),
            codes: counted(measured.iter().filter_map(|record| record.error.clone())),
            faults: counted(records.iter().filter_map(|record| match record.verdict {
                Verdict::Faulty(fault) => Some(fault),
                _ => None,
            })),
            examples: records
                .iter()
                .filter(|record| matches!(record.verdict, Verdict::Faulty(_)))
                .take(MAX_EXAMPLES)
                .map(example)
                .collect(),
            tried_again: measured.iter().filter(|record| 0 < record.tries_again).count(),
            classes,
            teams: by_name(prompts(), |record| {
                scope.deployment.teams[record.team].name.to_string()
            }),
        }
    }

    /// How many answers were what must never be.
    pub fn fault_count(&self) -> usize {
        self.faults.values().sum()
    }
}

fn example(record: &CallRecord) -> String {
    let CallRecord { number, at, verdict, server, error, disposition, key, .. } = record;
    let at = at.as_secs_f64();
    let answer = format!("{disposition:?}, error {error:?}, server {server:?}");
    let tokens = format!("{} cached of {}", record.cached_tokens, record.prompt_tokens);
    format!("call {number} at {at:.3} s: {verdict:?}; {answer}; {tokens}; {key:?}")
}

fn counted<T: Ord>(items: impl Iterator<Item = T>) -> BTreeMap<T, usize> {
    let mut counts = BTreeMap::new();
    for item in items {
        *counts.entry(item).or_insert(0) += 1;
    }
    counts
}

fn by_name<'a>(
    records: impl Iterator<Item = &'a CallRecord>,
    name: impl Fn(&CallRecord) -> String,
) -> IndexMap<String, LatencyFigures> {
    let mut gatherers: IndexMap<String, LatencyGatherer> = IndexMap::new();
    for record in records {
        gatherers.entry(name(record)).or_default().add(record);
    }
    gatherers.sort_unstable_keys();
    gatherers.into_iter().map(|(name, gatherer)| (name, gatherer.figures())).collect()
}
