//! Makes the plan from all routers' demand.

use fulmargate_names::HostName;
use fulmargate_names::PromptHash;
use indexmap::IndexMap;

use crate::DemandReport;
use crate::FleetView;
use crate::PlacementConf;
use crate::SpreadPlan;
use crate::plan_draft::GroupLoad;
use crate::plan_draft::PlanDraft;

/// A host that has not been heard of for so long no longer counts.
const REPORT_TTL_MS: u64 = 5_000;

/// Makes the plan on the control thread of one router: that of the first live entry host by name.
/// Others keep one too and let it follow, so that any of them can go on. In a network partition
/// the side with most of the hosts makes the plan, and the other keeps the last one.
#[derive(Debug)]
pub struct PlanMaker {
    request_tokens: f64,
    reports: IndexMap<HostName, (DemandReport, u64)>,
    plan: SpreadPlan,
}

impl PlanMaker {
    /// No plan yet.
    pub fn new(conf: &PlacementConf) -> PlanMaker {
        let request_tokens = conf.request_tokens;
        PlanMaker { request_tokens, reports: IndexMap::new(), plan: SpreadPlan::default() }
    }

    /// Takes in what a router sees asked for, the own one included.
    pub fn hear(&mut self, host: &HostName, report: DemandReport, now_ms: u64) {
        self.reports.insert(host.clone(), (report, now_ms));
    }

    /// Goes on from a plan that another router made.
    pub fn follow(&mut self, plan: SpreadPlan) {
        self.plan = plan;
    }

    /// The plan in force.
    pub fn plan(&self) -> &SpreadPlan {
        &self.plan
    }

    /// A better plan, if there is one; the first one may be empty, which says that the hash alone
    /// spreads the load evenly. To be called about twice a second with the number of entry
    /// hosts that are believed to be live.
    ///
    /// No plan is made while half of them or more have not been heard: routers that cannot hear
    /// each other would each make one, and the same prefix would be kept by different servers for
    /// each of them. The old plan, which all have, stays in force.
    pub fn next(&mut self, view: &FleetView, hosts: usize, now_ms: u64) -> Option<SpreadPlan> {
        self.reports.retain(|_, (_, received_ms)| now_ms <= *received_ms + REPORT_TTL_MS);
        if self.reports.len() * 2 <= hosts {
            return None;
        }
        let (groups, unlisted_load) = self.loads();
        let spreads = PlanDraft::new(view, groups, unlisted_load, &self.plan)?.rebalanced();
        if spreads == self.plan.spreads && 0 < self.plan.version {
            return None;
        }
        self.plan = SpreadPlan { version: self.plan.version + 1, spreads };
        Some(self.plan.clone())
    }

    /// Work of each group a second, and of all that is in no report's list, in tokens of prefill.
    fn loads(&self) -> (Vec<GroupLoad>, f64) {
        let mut groups: IndexMap<PromptHash, f64> = IndexMap::new();
        let (mut all_requests, mut listed_requests) = (0.0, 0.0);
        for (report, _) in self.reports.values() {
            all_requests += report.requests_per_s;
            for demand in &report.groups {
                let load = demand.requests_per_s * (self.request_tokens + demand.uncached_tokens);
                *groups.entry(demand.prefix).or_default() += load;
                listed_requests += demand.requests_per_s;
            }
        }
        let listed: f64 = groups.values().sum();
        let unlisted_load =
            (all_requests / f64::max(listed_requests, 1e-9) - 1.0).max(0.0) * listed;
        let groups = groups.into_iter().map(|(group, load)| GroupLoad { group, load }).collect();
        (groups, unlisted_load)
    }
}
