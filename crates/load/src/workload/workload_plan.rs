//! The plan of a run's calls.

use std::time::Duration;

use fulmargate_stand::deployment::Deployment;
use fulmargate_stand::deployment::TeamSize;
use rand::Rng;
use rand::SeedableRng;
use rand::distr::Distribution;
use rand::distr::weighted::WeightedIndex;
use rand::rngs::StdRng;
use rand_distr::Exp;
use rand_distr::Zipf;

use super::planned_call::CallKind;
use super::planned_call::PlannedCall;
use super::planned_call::PrefixKey;
use super::planned_call::PromptCall;
use super::planned_call::ServiceUse;

const DEFAULT_SECONDS: u64 = 30;
const DEFAULT_RATE: f64 = 100.0;
const DEFAULT_ZIPF_EXPONENT: f64 = 0.9;
const DEFAULT_SERVICE_SHARE: f64 = 0.05;
const DEFAULT_RESENT_SHARE: f64 = 0.1;
const DEFAULT_ANSWER_TOKENS: usize = 16;
/// Longest time after which a caller sends a key again.
const RESEND_WITHIN_MS: u64 = 300;

/// Tokens of each level of a prompt, and how many texts each level has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LevelSizes {
    /// Tokens of a tenant's text.
    pub tenant_tokens: usize,
    /// Tokens of a service's text.
    pub service_tokens: usize,
    /// Tokens of a record's text.
    pub record_tokens: usize,
    /// Tokens of the question, which no two calls share.
    pub question_tokens: usize,
    /// Services of a large tenant.
    pub large_services: u16,
    /// Services of a small tenant.
    pub small_services: u16,
    /// Records of all tenants together, divided by their shares of the traffic.
    pub records: u16,
}

impl LevelSizes {
    /// Sizes at which all prefixes together are about twice what the deployment's engines cache.
    pub fn of(deployment: &Deployment) -> LevelSizes {
        let (record_tokens, records) = match deployment.name {
            // The utility's checking prompts are long.
            "utility" => (2_400, 580),
            _ => (1_500, 930),
        };
        LevelSizes {
            tenant_tokens: 500,
            service_tokens: 1_000,
            record_tokens,
            question_tokens: 40,
            large_services: 6,
            small_services: 3,
            records,
        }
    }

    fn services(&self, size: TeamSize) -> u16 {
        match size {
            TeamSize::Large => self.large_services,
            TeamSize::Small => self.small_services,
        }
    }
}

/// What is to be sent; equal plans give equal calls.
#[derive(Clone, Debug)]
pub struct WorkloadPlan {
    /// Seed of all that is drawn.
    pub seed: u64,
    /// Seed of the texts; plans with equal ones share their prefixes.
    pub text_seed: u64,
    /// How long calls are sent.
    pub duration: Duration,
    /// Calls a second on average; arrivals are a Poisson process.
    pub rate: f64,
    /// Exponent of the popularity of a tenant's records.
    pub zipf_exponent: f64,
    /// Share of the calls that go to the plain service.
    pub service_share: f64,
    /// Share of the plain service's calls whose key is sent a second time.
    pub resent_share: f64,
    /// After each such time other records are the popular ones.
    pub shift_every: Option<Duration>,
    /// Tokens of an answer.
    pub answer_tokens: usize,
    /// Sizes of prompts.
    pub sizes: LevelSizes,
}

impl WorkloadPlan {
    /// The usual mix of a deployment.
    pub fn new(deployment: &Deployment, seed: u64) -> WorkloadPlan {
        WorkloadPlan {
            seed,
            text_seed: seed,
            duration: Duration::from_secs(DEFAULT_SECONDS),
            rate: DEFAULT_RATE,
            zipf_exponent: DEFAULT_ZIPF_EXPONENT,
            service_share: DEFAULT_SERVICE_SHARE,
            resent_share: DEFAULT_RESENT_SHARE,
            shift_every: None,
            answer_tokens: DEFAULT_ANSWER_TOKENS,
            sizes: LevelSizes::of(deployment),
        }
    }

    /// Tokens of all prefixes together.
    pub fn working_set_tokens(&self, deployment: &Deployment) -> usize {
        let sizes = &self.sizes;
        let services: usize =
            deployment.teams.iter().map(|team| usize::from(sizes.services(team.size))).sum();
        let records: usize =
            deployment.teams.iter().map(|team| usize::from(self.records(team.share))).sum();
        deployment.teams.len() * sizes.tenant_tokens
            + services * sizes.service_tokens
            + records * sizes.record_tokens
    }

    /// Draws all calls, in the order of their times.
    ///
    /// Times, teams and records come from separate generators, so that a change of one part of
    /// the plan leaves the other parts as they were.
    pub fn calls(&self, deployment: &Deployment) -> Vec<PlannedCall> {
        let mut drawer = CallDrawer::new(self, deployment);
        let pause = Exp::new(self.rate).expect("the rate is above 0");
        let mut times = StdRng::seed_from_u64(self.seed);
        let mut at = Duration::ZERO;
        let mut calls = Vec::new();
        loop {
            at += Duration::from_secs_f64(pause.sample(&mut times));
            if self.duration <= at {
                return calls;
            }
            calls.push(drawer.draw(calls.len() as u32, at));
        }
    }

    fn records(&self, share: f64) -> u16 {
        (f64::from(self.sizes.records) * share).round().max(1.0) as u16
    }

    /// How many times the popular records have changed by then.
    fn shifts(&self, at: Duration) -> usize {
        let Some(every) = self.shift_every else { return 0 };
        (at.as_nanos() / every.as_nanos().max(1)) as usize
    }
}

/// Draws one call after the other.
struct CallDrawer<'a> {
    plan: &'a WorkloadPlan,
    deployment: &'a Deployment,
    teams: WeightedIndex<f64>,
    popularity: Vec<Zipf<f64>>,
    rng: StdRng,
}

impl<'a> CallDrawer<'a> {
    fn new(plan: &'a WorkloadPlan, deployment: &'a Deployment) -> CallDrawer<'a> {
        let shares = deployment.teams.iter().map(|team| team.share);
        let popularity = |share: f64| {
            let records = f64::from(plan.records(share));
            Zipf::new(records, plan.zipf_exponent)
                .expect("there is a record, and the exponent is positive")
        };
        CallDrawer {
            plan,
            deployment,
            teams: WeightedIndex::new(shares).expect("shares are positive"),
            popularity: deployment.teams.iter().map(|team| popularity(team.share)).collect(),
            rng: StdRng::seed_from_u64(!plan.seed),
        }
    }

    fn draw(&mut self, number: u32, at: Duration) -> PlannedCall {
        let team = self.teams.sample(&mut self.rng);
        let kind = if self.rng.random_bool(self.plan.service_share) {
            CallKind::Service(self.draw_service_use(team))
        } else {
            CallKind::Prompt(self.draw_prompt(team, at))
        };
        PlannedCall { number, at, class: self.deployment.teams[team].class, kind }
    }

    fn draw_prompt(&mut self, team: usize, at: Duration) -> PromptCall {
        let rank = self.popularity[team].sample(&mut self.rng) as usize - 1;
        let plan = self.plan;
        let records = usize::from(plan.records(self.deployment.teams[team].share));
        let services = usize::from(plan.sizes.services(self.deployment.teams[team].size));
        // Each shift moves the head of the ranking by a third of the records.
        let record = (rank + plan.shifts(at) * records.div_ceil(3)) % records;
        let prefix = PrefixKey {
            team: team as u16,
            service: (record % services) as u16,
            record: record as u16,
        };
        PromptCall { prefix, max_tokens: plan.answer_tokens }
    }

    fn draw_service_use(&mut self, team: usize) -> ServiceUse {
        let call = self.rng.random_range(0..self.deployment.calls.len());
        let mut service_use = ServiceUse::new(team as u16, call as u16, self.rng.random());
        if self.rng.random_bool(self.plan.resent_share) {
            let after = self.rng.random_range(0..RESEND_WITHIN_MS);
            service_use.sent_again_after = Some(Duration::from_millis(after));
        }
        service_use
    }
}
