//! Computes the placement plan from all routers' demand reports.

use fulmargate_names::HostName;
use fulmargate_names::PromptHash;
use indexmap::IndexMap;

use crate::DemandReport;
use crate::FleetView;
use crate::PlacementConf;
use crate::SpreadPlan;
use crate::plan_draft::GroupLoad;
use crate::plan_draft::PlanDraft;

/// Demand reports expire after this time.
const REPORT_TTL_MS: u64 = 5_000;

/// Computes the placement plan on the control thread of one router, the reachable entry host with the
/// lowest name. The other routers follow its plan, so that any of them can take over. In a network
/// partition, only the side with the majority of hosts updates the plan.
#[derive(Debug)]
pub struct Planner {
    request_tokens: f64,
    reports: IndexMap<HostName, (DemandReport, u64)>,
    plan: SpreadPlan,
}

impl Planner {
    /// Creates a maker without a plan.
    pub fn new(conf: &PlacementConf) -> Planner {
        let request_tokens = conf.request_tokens;
        Planner { request_tokens, reports: IndexMap::new(), plan: SpreadPlan::default() }
    }

    /// Records a router's demand report, including the router's own.
    pub fn hear(&mut self, host: &HostName, report: DemandReport, now_ms: u64) {
        self.reports.insert(host.clone(), (report, now_ms));
    }

    /// Replaces the plan with one received from another router.
    pub fn follow(&mut self, plan: SpreadPlan) {
        self.plan = plan;
    }

    /// The current plan.
    pub fn plan(&self) -> &SpreadPlan {
        &self.plan
    }

    /// Returns an improved plan, or `None` if it is unchanged. The first plan may be empty, in
    /// which case all groups are placed by hash. Call this about twice a second with the number of
    /// entry hosts that are considered reachable.
    ///
    /// The plan changes only with reports from a majority of the hosts. Otherwise routers in
    /// separate partitions would compute different plans and place the same prefix on different
    /// servers.
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

    /// Load of each group, and the estimated load of all unlisted groups, in prefill tokens per
    /// second.
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
