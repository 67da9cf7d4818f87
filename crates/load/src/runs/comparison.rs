//! All policies on the same arrivals, each on a fresh rig, beside the bound.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use fulmargate_stand::deployment::Deployment;
use indexmap::IndexMap;
use serde::Serialize;

use super::disturbance::Disturbance;
use super::load_run::LoadRun;
use super::load_run::RunLimits;
use crate::calls::CallRecord;
use crate::calls::CallTarget;
use crate::figures::BoundFigures;
use crate::figures::EvictionRule;
use crate::figures::PromptTouch;
use crate::figures::ReportScope;
use crate::figures::RunReport;
use crate::figures::replay_bound;
use crate::load_error::LoadError;
use crate::rig::ImportSources;
use crate::rig::Rig;
use crate::workload::PlannedCall;
use crate::workload::WorkloadPlan;

/// The product's policy and the baselines.
pub const POLICIES: [&str; 4] = ["cost", "round_robin", "least_load", "prefix_hash"];
/// Rate and length of the replay that the capacity is worked out from.
const CAPACITY_RATE: f64 = 500.0;
const CAPACITY_TIME: Duration = Duration::from_secs(40);
const CAPACITY_WARM_UP: Duration = Duration::from_secs(10);

/// What is compared.
pub struct Comparison {
    /// The deployment.
    pub deployment: Rc<Deployment>,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Policies by their names in the configuration.
    pub policies: Vec<String>,
    /// Loads as shares of the capacity.
    pub loads: Vec<f64>,
    /// Disturbances; each is a run of its own.
    pub disturbances: Vec<Disturbance>,
    /// Where engines may import from.
    pub imports: ImportSources,
    /// Sent and checked, not measured.
    pub warm_up: Duration,
    /// Sent, checked and measured.
    pub measured: Duration,
}

/// What replays say of the arrivals.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct BoundReport {
    /// Share of prompt tokens found in the cache.
    pub hit_rate: f64,
    /// Tokens computed again.
    pub recomputed_tokens: usize,
    /// Recomputed tokens by prompt tokens.
    pub recomputed_share: f64,
}

/// One load under one disturbance.
#[derive(Clone, Debug, Serialize)]
pub struct ComparisonCell {
    /// Share of the capacity.
    pub load: f64,
    /// Calls a second.
    pub rate: f64,
    /// The disturbance's name.
    pub disturbance: &'static str,
    /// No placement can do better without importing blocks from a store.
    pub bound: BoundReport,
    /// No placement can do better with a store that holds everything.
    pub bound_with_store: BoundReport,
    /// One cache of the fleet's size that evicts as engines do.
    pub pooled_lru: BoundReport,
    /// Reports by policy.
    pub policies: IndexMap<String, RunReport>,
}

/// Everything that was found.
#[derive(Clone, Debug, Serialize)]
pub struct ComparisonReport {
    /// The deployment's name.
    pub deployment: &'static str,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Calls a second at a load of 1; `Comparison::capacity` says how it is defined.
    pub capacity: f64,
    /// One for each load and disturbance.
    pub cells: Vec<ComparisonCell>,
}

impl Comparison {
    /// Calls a second that the engines' prefill can carry if half of the fleet's cache is lost to
    /// copies: rate at which the tokens that one LRU cache of half the fleet's size misses fill all
    /// engines. It depends on the deployment, the sizes and the seed only, and on no policy.
    pub fn capacity(&self) -> f64 {
        let mut plan = WorkloadPlan::new(&self.deployment, self.seed);
        plan.rate = CAPACITY_RATE;
        plan.duration = CAPACITY_TIME;
        let run = self.load_run(plan, Vec::new());
        let touches = counted_touches(&run, CAPACITY_WARM_UP);
        let blocks = self.fleet_blocks() / 2;
        let misses =
            replay_bound(&touches, blocks, EvictionRule::LeastRecent).computed_per_prompt();
        let rates = &self.deployment.rates;
        let tokens_per_s =
            rates.prefill_tokens_per_ms * 1_000.0 * self.deployment.engines.len() as f64;
        tokens_per_s / misses.max(1.0) / (1.0 - run.plan.service_share)
    }

    /// Runs everything; `tell` hears what is about to be run.
    pub async fn run(&self, tell: impl Fn(&str)) -> Result<ComparisonReport, LoadError> {
        let capacity = self.capacity();
        let mut cells = Vec::new();
        for load in &self.loads {
            for disturbance in &self.disturbances {
                cells.push(self.cell(*load, load * capacity, *disturbance, &tell).await?);
            }
        }
        Ok(ComparisonReport { deployment: self.deployment.name, seed: self.seed, capacity, cells })
    }

    async fn cell(
        &self,
        load: f64,
        rate: f64,
        disturbance: Disturbance,
        tell: &impl Fn(&str),
    ) -> Result<ComparisonCell, LoadError> {
        let mut plan = WorkloadPlan::new(&self.deployment, self.seed);
        plan.rate = rate;
        plan.duration = self.warm_up + self.measured;
        disturbance.prepare(&mut plan);
        let touches = counted_touches(&self.load_run(plan.clone(), Vec::new()), self.warm_up);
        let bound = |blocks, rule| BoundReport::new(&replay_bound(&touches, blocks, rule));
        let fleet = self.fleet_blocks();
        let mut policies = IndexMap::new();
        for policy in &self.policies {
            tell(&format!("load {load}, {}, {policy}", disturbance.name()));
            let report = self.policy_report(policy, &plan, disturbance).await?;
            policies.insert(policy.clone(), report);
        }
        Ok(ComparisonCell {
            load,
            rate,
            disturbance: disturbance.name(),
            bound: bound(fleet, EvictionRule::FurthestUse),
            bound_with_store: bound(usize::MAX, EvictionRule::FurthestUse),
            pooled_lru: bound(fleet, EvictionRule::LeastRecent),
            policies,
        })
    }

    async fn policy_report(
        &self,
        policy: &str,
        plan: &WorkloadPlan,
        disturbance: Disturbance,
    ) -> Result<RunReport, LoadError> {
        let rig = Rig::start_with(&self.deployment, policy, self.imports).await?;
        let run = self.load_run(plan.clone(), rig.caller_addresses());
        let calls = run.calls();
        let touches = run.touches(&calls);
        let disturbed = disturbance.bring_about(&rig, self.warm_up, plan.duration);
        let (mut records, disturbed) = tokio::join!(run.run(&calls), disturbed);
        disturbed?;
        rig.judge(&touches, &mut records).await?;
        rig.stop();
        Ok(self.report(&run, &touches, &records))
    }

    fn report(
        &self,
        run: &LoadRun,
        touches: &HashMap<u32, PromptTouch>,
        records: &[CallRecord],
    ) -> RunReport {
        let scope = ReportScope {
            deployment: &self.deployment,
            touches,
            warm_up: self.warm_up,
            duration: run.plan.duration,
        };
        RunReport::new(&scope, records)
    }

    fn load_run(&self, plan: WorkloadPlan, addresses: Vec<String>) -> LoadRun {
        LoadRun {
            deployment: Rc::clone(&self.deployment),
            plan,
            target: CallTarget::Routers,
            addresses,
            limits: RunLimits::default(),
        }
    }

    fn fleet_blocks(&self) -> usize {
        self.deployment.engines.len() * self.deployment.rates.cache_blocks
    }
}

impl BoundReport {
    fn new(figures: &BoundFigures) -> BoundReport {
        BoundReport {
            hit_rate: figures.hit_rate(),
            recomputed_tokens: figures.recomputed_tokens,
            recomputed_share: figures.recomputed_tokens as f64
                / figures.prompt_tokens.max(1) as f64,
        }
    }
}

/// The prompts of a run in their order; those of the warm-up only fill the cache.
fn counted_touches(run: &LoadRun, warm_up: Duration) -> Vec<PromptTouch> {
    let library = run.library();
    let touch = |call: &PlannedCall| {
        let mut touch = PromptTouch::of(call, &library)?;
        touch.is_counted = warm_up <= call.at;
        Some(touch)
    };
    run.calls().iter().filter_map(touch).collect()
}
