//! Enforces team rate limits shared by all routers.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::TeamName;
use indexmap::IndexMap;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::LimitRefusal;
use crate::LimiterConf;
use crate::TeamLimit;
use crate::TeamUsage;
use crate::UsageReport;
use crate::lock::lock;
use crate::peer_demand::PeerDemand;
use crate::router_reports::RouterReports;
use crate::team_rate::TeamRate;
use crate::team_state::TeamState;

/// Number of locks. Each guards a part of the teams, so that the periodic update blocks only few
/// requests at a time.
const SHARDS: usize = 32;
/// A team is reported when its demand exceeds this fraction of an equal share of its limit.
const REPORT_THRESHOLD: f64 = 0.5;

/// Enforces request and prompt token rate limits of teams, divided among routers by usage.
///
/// Each router enforces its own share of a limit. About once per second the routers exchange their
/// usage (`usage` and `peer_usage`) and update the shares. A share decreases immediately, but
/// increases only after the higher demand has been reported for as long as it takes to detect a
/// network partition. Unreachable routers keep an equal share. All routers together therefore stay
/// within the limit even while partitioned: over any time `t` they admit at most
/// `limit * (t + burst)`, plus two requests or one prompt per router. `docs/design/admission.md`
/// contains the proof and its assumptions.
#[derive(Debug)]
pub struct TeamLimiter {
    conf: LimiterConf,
    shards: Vec<Mutex<IndexMap<TeamName, TeamState>>>,
    router_reports: Mutex<RouterReports>,
    sharing: Mutex<SharingState>,
}

/// Result of the last step, read by every request.
#[derive(Clone, Debug)]
struct SharingState {
    /// Number of known routers, including this one.
    router_count: usize,
    peer_demand: Arc<PeerDemand>,
    /// Time of the last step. If it is too long ago, the shares by usage are no longer valid.
    last_step: Option<Instant>,
}

impl TeamLimiter {
    /// Creates a limiter for the router `own` without any other routers.
    pub fn new(own: HostName, conf: LimiterConf) -> TeamLimiter {
        let peer_demand = Arc::default();
        TeamLimiter {
            conf,
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
            router_reports: Mutex::new(RouterReports::new(own)),
            sharing: Mutex::new(SharingState { router_count: 1, peer_demand, last_step: None }),
        }
    }

    /// Sets the routers that share the limits. Unreachable routers must be included: otherwise each
    /// side of a network partition would use the whole limit.
    pub fn set_routers(&self, hosts: &[HostName]) {
        let router_count = lock(&self.router_reports).set_routers(hosts);
        lock(&self.sharing).router_count = router_count;
    }

    /// Admits a request of a team, or returns the time after which to retry.
    pub fn admit(
        &self,
        team: &TeamName,
        limit: &TeamLimit,
        prompt_tokens: u32,
        now: Instant,
    ) -> Result<(), LimitRefusal> {
        let sharing = lock(&self.sharing).clone();
        let mut teams = lock(self.shard(team));
        if !teams.contains_key(team) {
            self.evict_if_full(&mut teams);
            let rate = self.rate(&sharing, team, limit, None, now);
            teams.insert(team.clone(), TeamState::new(*limit, rate, &self.conf, now));
        }
        let Some(state) = teams.get_mut(team) else {
            return Ok(());
        };
        state.limit = *limit;
        let rate = self.rate(&sharing, team, limit, state.demand_rate(), now);
        state.set_rate(rate, &self.conf, now);
        state.admit(f64::from(prompt_tokens), now)
    }

    /// Refunds a request that no server ran.
    pub fn refund(&self, team: &TeamName, prompt_tokens: u32) {
        if let Some(state) = lock(self.shard(team)).get_mut(team) {
            state.refund(f64::from(prompt_tokens));
        }
    }

    /// Called about once per second: updates the shares and returns the report for the other
    /// routers.
    pub fn usage(&self, now: Instant) -> UsageReport {
        let (view_digest, peer_demand) = {
            let mut router_reports = lock(&self.router_reports);
            (router_reports.update(&self.conf, now), Arc::new(router_reports.peer_demand()))
        };
        let (router_count, elapsed) = self.begin_step(&peer_demand, now);
        let teams = self.teams_to_report(router_count, elapsed, now);
        let step =
            ShareStep { peer_demand, increase_delay: self.conf.increase_delay(router_count), now };
        for shard in &self.shards {
            for (name, state) in lock(shard).iter_mut() {
                self.update_share(&step, name, state, teams.get(name));
            }
        }
        let usage = |(team, rate): (TeamName, ReportedRate)| TeamUsage {
            team,
            requests_per_s: rate.requests,
            prompt_tokens_per_s: rate.tokens,
        };
        UsageReport { view_digest, teams: teams.into_iter().map(usage).collect() }
    }

    /// Applies a report that another router sent at `sent`. The limit holds only if delivery time
    /// counts towards the age of the report.
    pub fn peer_usage(&self, host: &HostName, report: &UsageReport, sent: Instant) {
        lock(&self.router_reports).record_report(host, report, sent);
    }

    /// Number of teams with state.
    pub fn team_count(&self) -> usize {
        self.shards.iter().map(|shard| lock(shard).len()).sum()
    }

    /// Rate limit of a team at this router: by usage if the team was reported, otherwise an equal
    /// share.
    fn rate(
        &self,
        sharing: &SharingState,
        team: &TeamName,
        limit: &TeamLimit,
        demand_rate: Option<TeamRate>,
        now: Instant,
    ) -> TeamRate {
        let equal_share =
            TeamRate::fraction_of(limit, self.conf.limit_share / sharing.router_count as f64);
        let Some(last_step) = sharing.last_step else {
            return equal_share;
        };
        // After a long pause of this process, the other routers have already reassigned its share.
        if now.saturating_duration_since(last_step) >= self.conf.stale_after {
            return demand_rate.map_or(equal_share, |rate| rate.min(equal_share));
        }
        match demand_rate {
            Some(rate) => rate,
            None if sharing.peer_demand.is_reported(team) => {
                sharing.peer_demand.rate(team, &self.group_limit(limit), TeamRate::default())
            }
            None => equal_share,
        }
    }

    /// Part of a limit that the routers exchanging reports share.
    fn group_limit(&self, limit: &TeamLimit) -> TeamLimit {
        TeamLimit {
            requests_per_s: limit.requests_per_s * self.conf.limit_share,
            prompt_tokens_per_s: limit.prompt_tokens_per_s * self.conf.limit_share,
        }
    }

    fn begin_step(&self, peer_demand: &Arc<PeerDemand>, now: Instant) -> (usize, Duration) {
        let mut sharing = lock(&self.sharing);
        let previous = sharing.last_step.replace(now);
        sharing.peer_demand = Arc::clone(peer_demand);
        (
            sharing.router_count,
            previous.map_or(Duration::ZERO, |at| now.saturating_duration_since(at)),
        )
    }

    /// Returns the teams with the highest demand relative to their limits, and removes idle teams.
    fn teams_to_report(
        &self,
        router_count: usize,
        elapsed: Duration,
        now: Instant,
    ) -> IndexMap<TeamName, ReportedRate> {
        let min_load = REPORT_THRESHOLD * self.conf.limit_share / router_count as f64;
        let idle = |state: &TeamState| {
            now.saturating_duration_since(state.last_request) > self.conf.team_ttl
        };
        let mut candidates = Vec::new();
        for shard in &self.shards {
            let mut teams = lock(shard);
            teams.retain(|_, state| !idle(state));
            for (name, state) in teams.iter_mut() {
                let demand = state.end_step(elapsed);
                let load = demand.load_of(&state.limit);
                if load > min_load {
                    candidates.push((load, name.clone(), ReportedRate::new(demand)));
                }
            }
        }
        candidates.sort_by(|(a, ..), (b, ..)| b.total_cmp(a));
        candidates.truncate(self.conf.report_teams);
        candidates.into_iter().map(|(_, name, rate)| (name, rate)).collect()
    }

    fn update_share(
        &self,
        step: &ShareStep,
        name: &TeamName,
        state: &mut TeamState,
        reported: Option<&ReportedRate>,
    ) {
        if reported.is_none() && !step.peer_demand.is_reported(name) {
            state.clear_demand_share();
            return;
        }
        let reported = reported.copied().map(ReportedRate::rate).unwrap_or_default();
        let own = state.record_report(reported, step.increase_delay, step.now);
        let rate = step.peer_demand.rate(name, &self.group_limit(&state.limit), own);
        state.set_demand_share(rate);
        state.set_rate(rate, &self.conf, step.now);
    }

    /// Evicts the least recently active team of a full shard.
    fn evict_if_full(&self, teams: &mut IndexMap<TeamName, TeamState>) {
        if teams.len() < self.conf.max_teams.div_ceil(SHARDS) {
            return;
        }
        let oldest = teams.values().enumerate().min_by_key(|(_, state)| state.last_request);
        if let Some((index, _)) = oldest {
            teams.swap_remove_index(index);
        }
    }

    fn shard(&self, team: &TeamName) -> &Mutex<IndexMap<TeamName, TeamState>> {
        let hash = xxh3_64(team.as_str().as_bytes()) as usize;
        &self.shards[hash % SHARDS]
    }
}

/// Inputs of a step.
struct ShareStep {
    peer_demand: Arc<PeerDemand>,
    increase_delay: Duration,
    now: Instant,
}

/// Demand of a team as reported to other routers, in the precision of the report.
#[derive(Clone, Copy, Debug)]
struct ReportedRate {
    requests: f32,
    tokens: f32,
}

impl ReportedRate {
    fn new(rate: TeamRate) -> ReportedRate {
        ReportedRate { requests: rate.requests as f32, tokens: rate.tokens as f32 }
    }

    fn rate(self) -> TeamRate {
        TeamRate { requests: f64::from(self.requests), tokens: f64::from(self.tokens) }
    }
}
