//! Simulation of routers that share one team's quota.

use std::time::Duration;

use fulmargate_admission::LimiterConf;
use fulmargate_admission::QuotaConf;
use fulmargate_admission::QuotaReport;
use fulmargate_admission::QuotaTracker;
use fulmargate_admission::QuotaUnit;
use fulmargate_admission::TeamLimit;
use fulmargate_admission::TeamLimiter;
use fulmargate_admission::TeamQuota;
use fulmargate_admission::UsageReport;
use fulmargate_names::HostName;
use fulmargate_names::TeamName;
use fulmargate_names::ZoneName;
use tokio::time::Instant;

use super::TestRng;
use super::ms;

const STEP_MS: u64 = 10;
const STEPS_PER_S: usize = 100;
pub(crate) const ZONES: usize = 3;
/// Maximum time until a configuration change has reached all routers.
const APPLY_STEPS: usize = 3 * STEPS_PER_S;
/// The two prompt lengths in the traffic, in tokens.
const LONG_PROMPT: u64 = 9_260;
const SHORT_PROMPT: u64 = 1_190;

pub(crate) fn quota(rate_per_s: f64, burst: f64) -> TeamQuota {
    TeamQuota { rate_per_s, burst, unit: QuotaUnit::Tokens { plain: 200 } }
}

pub(crate) fn conf() -> QuotaConf {
    QuotaConf {
        window: Duration::from_secs(8),
        overage: 0.1,
        slack: 110_000.0,
        report_delay: Duration::ZERO,
        reach_timeout: ms(1_200),
        end_timeout: Duration::from_secs(60),
    }
}

/// How routers share a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SharingMode {
    /// `QuotaTracker`: routers report the tokens that they have admitted.
    Reports,
    /// `TeamLimiter`: each router has a share by usage, which is updated once per second.
    Shares,
}

enum SimulatedRouter {
    Reports(Box<QuotaTracker>),
    Shares(Box<TeamLimiter>),
}

#[derive(Clone)]
enum SimulatedReport {
    Reports(QuotaReport),
    Shares(UsageReport),
}

/// Simulated routers in three zones that receive one team's traffic, in simulated time.
pub(crate) struct QuotaSimulation {
    mode: SharingMode,
    routers: Vec<SimulatedRouter>,
    hosts: Vec<HostName>,
    team: TeamName,
    now: Instant,
    step: usize,
    dice: TestRng,
    in_flight: Vec<Vec<Message>>,
    /// Current quota of each router.
    quotas: Vec<Option<TeamQuota>>,
    /// Pending quota changes: step, router and new quota.
    changes: Vec<(usize, usize, Option<TeamQuota>)>,
    /// Configured quotas and the steps at which they were accepted.
    accepted: Vec<(usize, Option<TeamQuota>)>,
    report_steps: usize,
    /// Tokens per second that the team requests from each router.
    pub(crate) demand: Vec<f64>,
    /// Zones that are partitioned from the others.
    pub(crate) partitioned: [bool; ZONES],
    /// Routers whose process is paused.
    pub(crate) paused: Vec<bool>,
    /// Zone whose relay has stopped: reports to it are lost.
    pub(crate) lost_relay: Option<usize>,
    /// If greater than 0, on average one in this many reports is delayed by up to 3 s and delivered
    /// twice.
    pub(crate) disorder: usize,
    start_count: u16,
    pub(crate) requested: Vec<u64>,
    pub(crate) admitted: Vec<u64>,
    pub(crate) refused_requests: usize,
    pub(crate) requests: usize,
    /// Total size of all reports, each counted once.
    pub(crate) report_bytes: usize,
    /// Step and `Retry-After` of each refusal.
    pub(crate) refusals: Vec<(usize, Duration)>,
}

struct Message {
    from: usize,
    to: usize,
    report: SimulatedReport,
    sent: Instant,
}

impl QuotaSimulation {
    pub(crate) fn new(routers: usize, quota: Option<TeamQuota>, seed: u64) -> QuotaSimulation {
        QuotaSimulation::with_mode(SharingMode::Reports, routers, quota, seed)
    }

    pub(crate) fn with_mode(
        mode: SharingMode,
        routers: usize,
        quota: Option<TeamQuota>,
        seed: u64,
    ) -> QuotaSimulation {
        let hosts: Vec<HostName> =
            (0..routers).map(|index| HostName::new(&format!("entry-{index}"))).collect();
        let mut simulation = QuotaSimulation {
            mode,
            routers: Vec::new(),
            hosts,
            team: TeamName::new("museum"),
            now: Instant::now(),
            step: 0,
            dice: TestRng(seed),
            in_flight: Vec::new(),
            quotas: vec![quota; routers],
            changes: Vec::new(),
            accepted: vec![(0, quota)],
            report_steps: report_steps(mode, routers),
            demand: vec![0.0; routers],
            partitioned: [false; ZONES],
            paused: vec![false; routers],
            lost_relay: None,
            disorder: 0,
            start_count: 0,
            requested: Vec::new(),
            admitted: Vec::new(),
            refused_requests: 0,
            requests: 0,
            report_bytes: 0,
            refusals: Vec::new(),
        };
        simulation.routers = (0..routers).map(|router| simulation.router(router)).collect();
        simulation
    }

    fn router(&mut self, router: usize) -> SimulatedRouter {
        match self.mode {
            SharingMode::Reports => SimulatedRouter::Reports(Box::new(self.tracker(router))),
            SharingMode::Shares => {
                let conf = LimiterConf { burst: Duration::from_secs(1), ..LimiterConf::default() };
                let limiter = TeamLimiter::new(self.hosts[router].clone(), conf);
                limiter.set_routers(&self.hosts);
                SimulatedRouter::Shares(Box::new(limiter))
            }
        }
    }

    fn tracker(&mut self, router: usize) -> QuotaTracker {
        self.start_count += 1;
        let mut tracker = QuotaTracker::new(self.hosts[router].clone(), self.start_count, conf());
        let zones = self.hosts.iter().enumerate().map(|(index, host)| (host.clone(), zone(index)));
        tracker.set_routers(zones, self.now);
        tracker.set_quotas(self.quotas[router].iter().map(|quota| (&self.team, *quota)), self.now);
        tracker
    }

    /// Sets the total demand in tokens per second, divided equally among the routers.
    pub(crate) fn set_total_demand(&mut self, tokens_per_s: f64) {
        let per_router = tokens_per_s / self.demand.len() as f64;
        self.demand.fill(per_router);
    }

    pub(crate) fn restart(&mut self, router: usize) {
        self.routers[router] = self.router(router);
    }

    /// Changes the quota. Each router applies it after a random time below `APPLY_STEPS`.
    pub(crate) fn change_quota(&mut self, quota: Option<TeamQuota>) {
        self.accepted.push((self.step, quota));
        // Routers never revert to an earlier configuration.
        self.changes.clear();
        for router in 0..self.hosts.len() {
            let apply_at = self.step + self.dice.below(APPLY_STEPS);
            self.changes.push((apply_at, router, quota));
        }
    }

    pub(crate) fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds * STEPS_PER_S as f64) as usize {
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.apply_changes();
        for router in 0..self.hosts.len() {
            if (self.step + router * 7).is_multiple_of(self.report_steps) && !self.paused[router] {
                self.report(router);
            }
        }
        self.deliver();
        let (mut requested, mut admitted) = (0, 0);
        for router in 0..self.hosts.len() {
            let (router_requested, router_admitted) = self.serve(router);
            requested += router_requested;
            admitted += router_admitted;
        }
        self.requested.push(requested);
        self.admitted.push(admitted);
        self.now += ms(STEP_MS);
        self.step += 1;
    }

    fn apply_changes(&mut self) {
        let step = self.step;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.changes)
            .into_iter()
            .partition(|(apply_at, ..)| *apply_at <= step);
        self.changes = later;
        for (_, router, quota) in due {
            self.quotas[router] = quota;
            let quotas = quota.iter().map(|quota| (&self.team, *quota));
            if let SimulatedRouter::Reports(tracker) = &mut self.routers[router] {
                tracker.set_quotas(quotas, self.now);
            }
        }
    }

    fn report(&mut self, from: usize) {
        let report = match &mut self.routers[from] {
            SimulatedRouter::Reports(tracker) => SimulatedReport::Reports(tracker.take_report()),
            SimulatedRouter::Shares(limiter) => SimulatedReport::Shares(limiter.usage(self.now)),
        };
        let sent = self.now;
        self.report_bytes += encoded_size(&report);
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            // One or two relays, each of which forwards reports every four steps.
            let mut delay = 1 + self.dice.below(8);
            if 0 < self.disorder && self.dice.below(self.disorder) == 0 {
                self.send_after(delay + 5, Message { from, to, report: report.clone(), sent });
                delay += self.dice.below(3 * STEPS_PER_S);
            }
            self.send_after(delay, Message { from, to, report: report.clone(), sent });
        }
    }

    fn send_after(&mut self, delay: usize, message: Message) {
        if self.in_flight.len() <= delay {
            self.in_flight.resize_with(delay + 1, Vec::new);
        }
        self.in_flight[delay].push(message);
    }

    fn deliver(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let due = self.in_flight.remove(0);
        for message in due {
            let (from, to) = (message.from % ZONES, message.to % ZONES);
            let is_partitioned = from != to && (self.partitioned[from] || self.partitioned[to]);
            if is_partitioned || self.lost_relay == Some(to) {
                continue;
            }
            if self.paused[message.to] {
                self.send_after(1, message);
                continue;
            }
            let host = self.hosts[message.from].clone();
            match (&mut self.routers[message.to], &message.report) {
                (SimulatedRouter::Reports(tracker), SimulatedReport::Reports(report)) => {
                    tracker.receive(&host, report, self.now);
                }
                (SimulatedRouter::Shares(limiter), SimulatedReport::Shares(report)) => {
                    limiter.peer_usage(&host, report, message.sent);
                }
                _ => {}
            }
        }
    }

    fn serve(&mut self, router: usize) -> (u64, u64) {
        let (mut requested, mut admitted) = (0, 0);
        if self.paused[router] {
            return (requested, admitted);
        }
        let per_step = self.demand[router] / STEPS_PER_S as f64;
        let mut remaining = per_step;
        while 0.0 < remaining {
            let cost = if self.dice.below(2) == 0 { LONG_PROMPT } else { SHORT_PROMPT };
            let chance = (remaining / cost as f64).min(1.0);
            remaining -= cost as f64;
            if chance * 1e6 <= self.dice.below(1_000_000) as f64 {
                continue;
            }
            requested += cost;
            self.requests += 1;
            match self.admit(router, cost) {
                Ok(()) => admitted += cost,
                Err(retry_after) => {
                    self.refused_requests += 1;
                    self.refusals.push((self.step, retry_after));
                }
            }
        }
        (requested, admitted)
    }

    fn admit(&mut self, router: usize, cost: u64) -> Result<(), Duration> {
        let Some(quota) = self.quotas[router] else { return Ok(()) };
        match &mut self.routers[router] {
            SimulatedRouter::Reports(tracker) => {
                let answer = tracker.admit(&self.team, &quota, cost, self.now);
                answer.map_err(|refusal| refusal.retry_after)
            }
            SimulatedRouter::Shares(limiter) => {
                let limit = TeamLimit {
                    requests_per_s: f64::INFINITY,
                    prompt_tokens_per_s: quota.rate_per_s,
                };
                let answer = limiter.admit(&self.team, &limit, cost as u32, self.now);
                answer.map_err(|refusal| refusal.retry_after)
            }
        }
    }

    /// Maximum excess of any window over its limit, as a fraction of the limit. Negative if all
    /// windows are within the limit.
    pub(crate) fn max_excess(&self) -> f64 {
        let window = 8 * STEPS_PER_S;
        let mut max_excess = f64::NEG_INFINITY;
        let mut sum: u64 = 0;
        for (end, tokens) in self.admitted.iter().enumerate() {
            sum += tokens;
            if window <= end {
                sum -= self.admitted[end - window];
            }
            let begin = (end + 1).saturating_sub(window);
            if let Some(max_tokens) = self.max_tokens(begin, end) {
                max_excess = max_excess.max(sum as f64 / max_tokens - 1.0);
            }
        }
        max_excess
    }

    /// Maximum tokens allowed in a window under the quotas that may have been in force; `None` if
    /// there may have been no quota.
    fn max_tokens(&self, begin: usize, end: usize) -> Option<f64> {
        let mut max_allowed: Option<f64> = None;
        for (index, (accepted, quota)) in self.accepted.iter().enumerate() {
            let next = self.accepted.get(index + 1).map_or(usize::MAX, |(next, _)| *next);
            if end < *accepted || next.saturating_add(APPLY_STEPS) <= begin {
                continue;
            }
            let quota = (*quota)?;
            let conf = conf();
            let allowed = quota.rate_per_s * conf.window.as_secs_f64() + quota.burst;
            let max_tokens = allowed * (1.0 + conf.overage) + conf.slack;
            max_allowed = Some(max_allowed.unwrap_or(0.0).max(max_tokens));
        }
        max_allowed
    }

    /// Tokens per second admitted during the last `seconds`.
    pub(crate) fn rate(&self, seconds: usize) -> f64 {
        let last = &self.admitted[self.admitted.len() - seconds * STEPS_PER_S..];
        last.iter().sum::<u64>() as f64 / seconds as f64
    }

    pub(crate) fn dice(&mut self) -> &mut TestRng {
        &mut self.dice
    }
}

pub(crate) fn zone(router: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{}", router % ZONES))
}

/// Steps between two reports of a router, which grow with the number of routers.
fn report_steps(mode: SharingMode, routers: usize) -> usize {
    match (mode, routers) {
        (SharingMode::Shares, _) => STEPS_PER_S,
        (SharingMode::Reports, 0..=32) => 3,
        (SharingMode::Reports, _) => (routers / 10).clamp(5, 60),
    }
}

/// Encoded size of a report.
fn encoded_size(report: &SimulatedReport) -> usize {
    match report {
        // Start ID and number of counts, then a team key and two integers per count.
        SimulatedReport::Reports(report) => 4 + report.counts.len() * (5 + 5 + 3),
        SimulatedReport::Shares(report) => 8 + report.teams.len() * 17,
    }
}
