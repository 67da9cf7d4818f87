//! Several routers that share the quota of one team.

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

use super::Dice;
use super::ms;

const STEP_MS: u64 = 10;
const STEPS_PER_S: usize = 100;
pub(crate) const ZONES: usize = 3;
/// A configuration is in force everywhere after this time.
const APPLY_STEPS: usize = 3 * STEPS_PER_S;
/// Prompts of the two kinds, in tokens.
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
        reach_timeout: ms(1_200),
        end_timeout: Duration::from_secs(60),
    }
}

/// How routers share a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuotaWay {
    /// Each reports what it has admitted.
    Reports,
    /// Each has a share by its use, renewed once a second.
    Shares,
}

enum RouterQuota {
    Reports(Box<QuotaTracker>),
    Shares(Box<TeamLimiter>),
}

#[derive(Clone)]
enum RouterReport {
    Reports(QuotaReport),
    Shares(UsageReport),
}

/// Routers of three zones with the traffic of one team; time goes in steps, without a clock.
pub(crate) struct QuotaWorld {
    way: QuotaWay,
    routers: Vec<RouterQuota>,
    hosts: Vec<HostName>,
    team: TeamName,
    now: Instant,
    step: usize,
    dice: Dice,
    under_way: Vec<Vec<Letter>>,
    /// What routers have in force, and what they will have.
    quotas: Vec<Option<TeamQuota>>,
    changes: Vec<(usize, usize, Option<TeamQuota>)>,
    /// Quotas in force and when they were accepted.
    accepted: Vec<(usize, Option<TeamQuota>)>,
    report_steps: usize,
    /// Tokens a second that the team asks of each router.
    pub(crate) demand: Vec<f64>,
    /// Zones that are cut from the others.
    pub(crate) cut: [bool; ZONES],
    /// Routers that stand still.
    pub(crate) frozen: Vec<bool>,
    /// Reports to this zone are lost: its relay has ended.
    pub(crate) lost_relay: Option<usize>,
    /// Every so many reports one is late by seconds, and one is repeated.
    pub(crate) disorder: usize,
    starts: u16,
    pub(crate) asked: Vec<u64>,
    pub(crate) admitted: Vec<u64>,
    pub(crate) refused_requests: usize,
    pub(crate) requests: usize,
    /// Bytes of all reports, each counted once.
    pub(crate) report_bytes: usize,
    /// Retry-After of each refusal, and when it was.
    pub(crate) waits: Vec<(usize, Duration)>,
}

struct Letter {
    from: usize,
    to: usize,
    report: RouterReport,
    sent: Instant,
}

impl QuotaWorld {
    pub(crate) fn new(routers: usize, quota: Option<TeamQuota>, seed: u64) -> QuotaWorld {
        QuotaWorld::with_way(QuotaWay::Reports, routers, quota, seed)
    }

    pub(crate) fn with_way(
        way: QuotaWay,
        routers: usize,
        quota: Option<TeamQuota>,
        seed: u64,
    ) -> QuotaWorld {
        let hosts: Vec<HostName> =
            (0..routers).map(|index| HostName::new(&format!("entry-{index}"))).collect();
        let mut world = QuotaWorld {
            way,
            routers: Vec::new(),
            hosts,
            team: TeamName::new("museum"),
            now: Instant::now(),
            step: 0,
            dice: Dice(seed),
            under_way: Vec::new(),
            quotas: vec![quota; routers],
            changes: Vec::new(),
            accepted: vec![(0, quota)],
            report_steps: report_steps(way, routers),
            demand: vec![0.0; routers],
            cut: [false; ZONES],
            frozen: vec![false; routers],
            lost_relay: None,
            disorder: 0,
            starts: 0,
            asked: Vec::new(),
            admitted: Vec::new(),
            refused_requests: 0,
            requests: 0,
            report_bytes: 0,
            waits: Vec::new(),
        };
        world.routers = (0..routers).map(|router| world.router(router)).collect();
        world
    }

    fn router(&mut self, router: usize) -> RouterQuota {
        match self.way {
            QuotaWay::Reports => RouterQuota::Reports(Box::new(self.tracker(router))),
            QuotaWay::Shares => {
                let conf = LimiterConf { burst: Duration::from_secs(1), ..LimiterConf::default() };
                let limiter = TeamLimiter::new(self.hosts[router].clone(), conf);
                limiter.set_routers(&self.hosts);
                RouterQuota::Shares(Box::new(limiter))
            }
        }
    }

    fn tracker(&mut self, router: usize) -> QuotaTracker {
        self.starts += 1;
        let mut tracker = QuotaTracker::new(self.hosts[router].clone(), self.starts, conf());
        let named = self.hosts.iter().enumerate().map(|(index, host)| (host.clone(), zone(index)));
        tracker.set_routers(named, self.now);
        tracker.set_quotas(self.quotas[router].iter().map(|quota| (&self.team, *quota)), self.now);
        tracker
    }

    /// The same demand at all routers, in tokens a second of all together.
    pub(crate) fn spread(&mut self, tokens_per_s: f64) {
        let part = tokens_per_s / self.demand.len() as f64;
        self.demand.fill(part);
    }

    pub(crate) fn restart(&mut self, router: usize) {
        self.routers[router] = self.router(router);
    }

    /// A configuration is accepted; each router has it in force some time within the bound.
    pub(crate) fn change(&mut self, quota: Option<TeamQuota>) {
        self.accepted.push((self.step, quota));
        // A router never goes back to an earlier configuration.
        self.changes.clear();
        for router in 0..self.hosts.len() {
            let at = self.step + self.dice.below(APPLY_STEPS);
            self.changes.push((at, router, quota));
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
            if (self.step + router * 7).is_multiple_of(self.report_steps) && !self.frozen[router] {
                self.report(router);
            }
        }
        self.deliver();
        let (mut asked, mut admitted) = (0, 0);
        for router in 0..self.hosts.len() {
            let (router_asked, router_admitted) = self.serve(router);
            asked += router_asked;
            admitted += router_admitted;
        }
        self.asked.push(asked);
        self.admitted.push(admitted);
        self.now += ms(STEP_MS);
        self.step += 1;
    }

    fn apply_changes(&mut self) {
        let step = self.step;
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.changes).into_iter().partition(|(at, ..)| *at <= step);
        self.changes = later;
        for (_, router, quota) in due {
            self.quotas[router] = quota;
            let quotas = quota.iter().map(|quota| (&self.team, *quota));
            if let RouterQuota::Reports(tracker) = &mut self.routers[router] {
                tracker.set_quotas(quotas, self.now);
            }
        }
    }

    fn report(&mut self, from: usize) {
        let report = match &mut self.routers[from] {
            RouterQuota::Reports(tracker) => RouterReport::Reports(tracker.take_report()),
            RouterQuota::Shares(limiter) => RouterReport::Shares(limiter.usage(self.now)),
        };
        let sent = self.now;
        self.report_bytes += bytes(&report);
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            // Relays pass reports on every four steps, once or twice.
            let mut delay = 1 + self.dice.below(8);
            if 0 < self.disorder && self.dice.below(self.disorder) == 0 {
                self.post(delay + 5, Letter { from, to, report: report.clone(), sent });
                delay += self.dice.below(3 * STEPS_PER_S);
            }
            self.post(delay, Letter { from, to, report: report.clone(), sent });
        }
    }

    fn post(&mut self, delay: usize, letter: Letter) {
        if self.under_way.len() <= delay {
            self.under_way.resize_with(delay + 1, Vec::new);
        }
        self.under_way[delay].push(letter);
    }

    fn deliver(&mut self) {
        if self.under_way.is_empty() {
            return;
        }
        let due = self.under_way.remove(0);
        for letter in due {
            let (from, to) = (letter.from % ZONES, letter.to % ZONES);
            let is_cut = from != to && (self.cut[from] || self.cut[to]);
            if is_cut || self.lost_relay == Some(to) {
                continue;
            }
            if self.frozen[letter.to] {
                self.post(1, letter);
                continue;
            }
            let host = self.hosts[letter.from].clone();
            match (&mut self.routers[letter.to], &letter.report) {
                (RouterQuota::Reports(tracker), RouterReport::Reports(report)) => {
                    tracker.receive(&host, report, self.now);
                }
                (RouterQuota::Shares(limiter), RouterReport::Shares(report)) => {
                    limiter.peer_usage(&host, report, letter.sent);
                }
                _ => {}
            }
        }
    }

    fn serve(&mut self, router: usize) -> (u64, u64) {
        let (mut asked, mut admitted) = (0, 0);
        if self.frozen[router] {
            return (asked, admitted);
        }
        let per_step = self.demand[router] / STEPS_PER_S as f64;
        let mut owed = per_step;
        while 0.0 < owed {
            let cost = if self.dice.below(2) == 0 { LONG_PROMPT } else { SHORT_PROMPT };
            let chance = (owed / cost as f64).min(1.0);
            owed -= cost as f64;
            if chance * 1e6 <= self.dice.below(1_000_000) as f64 {
                continue;
            }
            asked += cost;
            self.requests += 1;
            match self.admit(router, cost) {
                Ok(()) => admitted += cost,
                Err(wait) => {
                    self.refused_requests += 1;
                    self.waits.push((self.step, wait));
                }
            }
        }
        (asked, admitted)
    }

    fn admit(&mut self, router: usize, cost: u64) -> Result<(), Duration> {
        let Some(quota) = self.quotas[router] else { return Ok(()) };
        match &mut self.routers[router] {
            RouterQuota::Reports(tracker) => {
                let answer = tracker.admit(&self.team, &quota, cost, self.now);
                answer.map_err(|refusal| refusal.retry_after)
            }
            RouterQuota::Shares(limiter) => {
                let limit = TeamLimit {
                    requests_per_s: f64::INFINITY,
                    prompt_tokens_per_s: quota.rate_per_s,
                };
                let answer = limiter.admit(&self.team, &limit, cost as u32, self.now);
                answer.map_err(|refusal| refusal.retry_after)
            }
        }
    }

    /// The most that a window had beyond its bound, as a share of the bound; below 0 if none had more.
    pub(crate) fn worst_excess(&self) -> f64 {
        let window = 8 * STEPS_PER_S;
        let mut worst = f64::NEG_INFINITY;
        let mut sum: u64 = 0;
        for (end, tokens) in self.admitted.iter().enumerate() {
            sum += tokens;
            if window <= end {
                sum -= self.admitted[end - window];
            }
            let begin = (end + 1).saturating_sub(window);
            if let Some(bound) = self.bound(begin, end) {
                worst = worst.max(sum as f64 / bound - 1.0);
            }
        }
        worst
    }

    /// The highest quota that may have been in force in a window; none where none was.
    fn bound(&self, begin: usize, end: usize) -> Option<f64> {
        let mut most: Option<f64> = None;
        for (index, (accepted, quota)) in self.accepted.iter().enumerate() {
            let next = self.accepted.get(index + 1).map_or(usize::MAX, |(next, _)| *next);
            if end < *accepted || next.saturating_add(APPLY_STEPS) <= begin {
                continue;
            }
            let quota = (*quota)?;
            let conf = conf();
            let allowed = quota.rate_per_s * conf.window.as_secs_f64() + quota.burst;
            let bound = allowed * (1.0 + conf.overage) + conf.slack;
            most = Some(most.unwrap_or(0.0).max(bound));
        }
        most
    }

    /// Tokens a second that were admitted over the last seconds.
    pub(crate) fn rate(&self, seconds: usize) -> f64 {
        let last = &self.admitted[self.admitted.len() - seconds * STEPS_PER_S..];
        last.iter().sum::<u64>() as f64 / seconds as f64
    }

    pub(crate) fn dice(&mut self) -> &mut Dice {
        &mut self.dice
    }
}

pub(crate) fn zone(router: usize) -> ZoneName {
    ZoneName::new(&format!("zone-{}", router % ZONES))
}

/// Routers report the more seldom the more there are.
fn report_steps(way: QuotaWay, routers: usize) -> usize {
    match (way, routers) {
        (QuotaWay::Shares, _) => STEPS_PER_S,
        (QuotaWay::Reports, 0..=32) => 3,
        (QuotaWay::Reports, _) => (routers / 10).clamp(5, 60),
    }
}

/// Bytes of a report as routers encode it.
fn bytes(report: &RouterReport) -> usize {
    match report {
        // The start, the number of counts, and for each the team and two numbers.
        RouterReport::Reports(report) => 4 + report.counts.len() * (5 + 5 + 3),
        RouterReport::Shares(report) => 8 + report.teams.len() * 17,
    }
}
