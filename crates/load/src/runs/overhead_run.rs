//! What a router adds to an engine's own answer, direct and routed in one run.

use std::rc::Rc;
use std::time::Duration;

use fulmargate_stand::deployment::Deployment;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::load_run::LoadRun;
use super::load_run::RunLimits;
use crate::calls::CallRecord;
use crate::calls::CallTarget;
use crate::calls::Verdict;
use crate::rig::ProcessorClock;
use crate::workload::WorkloadPlan;

/// Few enough to be cached whole by one engine.
const RECORDS: u16 = 8;
const WARM_UP_SECONDS: f64 = 3.0;
const LONGEST_US: u64 = 60_000_000;

/// One engine, one router before it, and how hard both are driven.
pub struct OverheadRun {
    /// The deployment whose model and teams are used.
    pub deployment: Rc<Deployment>,
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Address of the engine.
    pub engine: String,
    /// Address of the router, whose configuration has this engine only.
    pub router: String,
    /// Processor time of the router.
    pub clock: Option<ProcessorClock>,
    /// Calls a second, direct and routed together.
    pub rate: f64,
    /// Seconds of each part.
    pub seconds: f64,
    /// Tokens of an answer in the second part.
    pub answer_tokens: usize,
}

/// Times of one way, in milliseconds, from the actual send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PathTimes {
    /// Calls answered whole.
    pub whole: usize,
    /// Median time to the first token.
    pub ttft_p50_ms: f64,
    /// 99th percentile of the time to the first token.
    pub ttft_p99_ms: f64,
}

/// What the run found.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct OverheadFigures {
    /// Without the router.
    pub direct: PathTimes,
    /// Through the router, at the same time.
    pub routed: PathTimes,
    /// Routed less direct.
    pub added_p50_ms: f64,
    /// Routed less direct.
    pub added_p99_ms: f64,
    /// Tokens relayed in a second of the second part.
    pub tokens_per_s: f64,
    /// Tokens relayed in a second of the router's processor time.
    pub tokens_per_core_s: Option<f64>,
    /// Calls that got anything but a whole answer.
    pub errors: usize,
    /// Answers that must never be.
    pub faults: usize,
}

impl OverheadRun {
    /// First both ways at once with short answers, then routed only with long ones.
    pub async fn run(&self) -> OverheadFigures {
        let direct = self.load_run(CallTarget::Engines, self.rate / 2.0);
        let routed = self.load_run(CallTarget::Routers, self.rate / 2.0);
        let (direct_calls, routed_calls) = (direct.calls(), routed.calls());
        let (direct_records, routed_records) =
            tokio::join!(direct.run(&direct_calls), routed.run(&routed_calls));
        let direct = path_times(&direct_records);
        let routed = path_times(&routed_records);

        let mut relayed = self.load_run(CallTarget::Routers, self.rate);
        relayed.plan.answer_tokens = self.answer_tokens;
        let seconds = || self.clock.as_ref().map(ProcessorClock::seconds);
        let before = seconds();
        let relayed_records = relayed.run(&relayed.calls()).await;
        let spent = seconds().zip(before).map(|(after, before)| after - before);
        let tokens = (whole(&relayed_records).count() * self.answer_tokens) as f64;

        let all = || direct_records.iter().chain(&routed_records).chain(&relayed_records);
        OverheadFigures {
            direct,
            routed,
            added_p50_ms: routed.ttft_p50_ms - direct.ttft_p50_ms,
            added_p99_ms: routed.ttft_p99_ms - direct.ttft_p99_ms,
            tokens_per_s: tokens / relayed.plan.duration.as_secs_f64(),
            tokens_per_core_s: spent.filter(|spent| 0.0 < *spent).map(|spent| tokens / spent),
            errors: all().filter(|record| record.verdict != Verdict::Whole).count(),
            faults: all().filter(|record| matches!(record.verdict, Verdict::Faulty(_))).count(),
        }
    }

    fn load_run(&self, target: CallTarget, rate: f64) -> LoadRun {
        let mut plan = WorkloadPlan::new(&self.deployment, self.seed);
        plan.rate = rate;
        plan.duration = Duration::from_secs_f64(self.seconds + WARM_UP_SECONDS);
        plan.service_share = 0.0;
        plan.sizes.records = RECORDS;
        plan.sizes.large_services = 1;
        plan.sizes.small_services = 1;
        let address = match target {
            CallTarget::Engines => {
                // Other times than the routed calls, for at equal times one waits for the other.
                plan.seed = plan.seed.wrapping_add(1);
                self.engine.clone()
            }
            CallTarget::Routers => self.router.clone(),
        };
        LoadRun {
            deployment: Rc::clone(&self.deployment),
            plan,
            target,
            addresses: vec![address],
            limits: RunLimits::default(),
        }
    }
}

fn whole(records: &[CallRecord]) -> impl Iterator<Item = &CallRecord> {
    records.iter().filter(|record| record.verdict == Verdict::Whole)
}

fn path_times(records: &[CallRecord]) -> PathTimes {
    let mut times: Histogram<u64> =
        Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are those of the library");
    let measured = whole(records).filter(|record| WARM_UP_SECONDS <= record.at.as_secs_f64());
    for record in measured {
        let Some(first_token) = record.first_token else { continue };
        let time = first_token.saturating_sub(record.sent_late);
        times.saturating_record((time.as_micros() as u64).max(1));
    }
    let quantile_ms = |quantile| times.value_at_quantile(quantile) as f64 / 1_000.0;
    PathTimes {
        whole: times.len() as usize,
        ttft_p50_ms: quantile_ms(0.5),
        ttft_p99_ms: quantile_ms(0.99),
    }
}
