//! Simulation of routers that share one team's limit.

use std::time::Duration;

use fulmargate_admission::LimiterConf;
use fulmargate_admission::TeamLimit;
use fulmargate_admission::TeamLimiter;
use fulmargate_admission::UsageReport;
use fulmargate_names::HostName;
use fulmargate_names::TeamName;
use tokio::time::Instant;

use super::TestRng;
use super::ms;

/// Duration of a simulation step.
const STEP_MS: u64 = 50;
/// Number of steps between two reports of a router.
const REPORT_STEPS: usize = 20;
/// Maximum delivery time of a report, in steps.
const MAX_DELAY_STEPS: usize = 28;

/// The team's limit in requests per second.
pub(crate) const LIMIT: f64 = 120.0;
/// Tokens of each prompt.
pub(crate) const PROMPT: u32 = 100;

/// Simulated routers that receive one team's traffic, in simulated time.
pub(crate) struct LimitSimulation {
    limiters: Vec<TeamLimiter>,
    hosts: Vec<HostName>,
    team: TeamName,
    limit: TeamLimit,
    now: Instant,
    step: usize,
    dice: TestRng,
    in_flight: Vec<Message>,
    /// Requests per second that the team sends to each router.
    pub(crate) demand: Vec<f64>,
    /// Whether reports are delivered from one router to another, indexed as `links[to][from]`.
    pub(crate) links: Vec<Vec<bool>>,
    /// Routers that neither send nor receive reports. They still admit requests.
    pub(crate) control_paused: Vec<bool>,
    unsent: Vec<f64>,
    /// Requests admitted in each step, by router.
    pub(crate) admitted: Vec<Vec<u32>>,
}

struct Message {
    due: usize,
    sent: Instant,
    from: usize,
    to: usize,
    report: UsageReport,
}

/// Configuration with a short burst, so that brief excesses are visible.
pub(crate) fn conf() -> LimiterConf {
    LimiterConf { burst: ms(100), ..LimiterConf::default() }
}

impl LimitSimulation {
    pub(crate) fn new(routers: usize, limit: TeamLimit, seed: u64) -> LimitSimulation {
        let hosts: Vec<HostName> =
            (0..routers).map(|index| HostName::new(&format!("entry-{index}"))).collect();
        let limiter = |host: &HostName| {
            let limiter = TeamLimiter::new(host.clone(), conf());
            limiter.set_routers(&hosts);
            limiter
        };
        LimitSimulation {
            limiters: hosts.iter().map(limiter).collect(),
            hosts,
            team: TeamName::new("museum"),
            limit,
            now: Instant::now(),
            step: 0,
            dice: TestRng(seed),
            in_flight: Vec::new(),
            demand: vec![0.0; routers],
            links: vec![vec![true; routers]; routers],
            control_paused: vec![false; routers],
            unsent: vec![0.0; routers],
            admitted: Vec::new(),
        }
    }

    /// Partitions the network into the routers below `at` and the others.
    pub(crate) fn partition(&mut self, at: usize) {
        self.set_links(|to, from| (to < at) == (from < at));
    }

    /// Sets for which pairs of routers, receiver first, reports are delivered.
    pub(crate) fn set_links(&mut self, is_connected: impl Fn(usize, usize) -> bool) {
        let routers = self.limiters.len();
        let row = |to| (0..routers).map(|from| is_connected(to, from)).collect();
        self.links = (0..routers).map(row).collect();
    }

    pub(crate) fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.advance();
        }
    }

    fn advance(&mut self) {
        for router in 0..self.limiters.len() {
            if (self.step + router * 7).is_multiple_of(REPORT_STEPS) && !self.control_paused[router]
            {
                self.report(router);
            }
        }
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.due <= self.step);
        self.in_flight = later;
        let due: Vec<Message> = due;
        for message in due {
            if self.links[message.to][message.from] && !self.control_paused[message.to] {
                let host = &self.hosts[message.from];
                self.limiters[message.to].peer_usage(host, &message.report, message.sent);
            }
        }
        let admitted = (0..self.limiters.len()).map(|router| self.send(router)).collect();
        self.admitted.push(admitted);
        self.now += ms(STEP_MS);
        self.step += 1;
    }

    fn report(&mut self, from: usize) {
        let report = self.limiters[from].usage(self.now);
        for to in (0..self.limiters.len()).filter(|to| *to != from) {
            let due = self.step + 1 + self.dice.below(MAX_DELAY_STEPS);
            self.in_flight.push(Message { due, sent: self.now, from, to, report: report.clone() });
        }
    }

    fn send(&mut self, router: usize) -> u32 {
        self.unsent[router] += self.demand[router] * Duration::from_millis(STEP_MS).as_secs_f64();
        let mut admitted = 0;
        while self.unsent[router] >= 1.0 {
            self.unsent[router] -= 1.0;
            let limiter = &self.limiters[router];
            let answer = limiter.admit(&self.team, &self.limit, PROMPT, self.now);
            admitted += u32::from(answer.is_ok());
        }
        admitted
    }

    /// Requests per second admitted by each router during the last `seconds`.
    pub(crate) fn rates(&self, seconds: usize) -> Vec<f64> {
        let steps = seconds * 1_000 / STEP_MS as usize;
        let last = &self.admitted[self.admitted.len() - steps..];
        let sum = |router: usize| last.iter().map(|step| step[router]).sum::<u32>();
        (0..self.limiters.len()).map(|router| f64::from(sum(router)) / seconds as f64).collect()
    }

    /// Maximum number of requests admitted beyond the limit over any time interval.
    pub(crate) fn max_excess(&self) -> f64 {
        let per_step = LIMIT * Duration::from_millis(STEP_MS).as_secs_f64();
        let mut excess = 0.0_f64;
        let mut max_excess = 0.0_f64;
        for step in &self.admitted {
            excess = (excess + f64::from(step.iter().sum::<u32>()) - per_step).max(0.0);
            max_excess = max_excess.max(excess);
        }
        max_excess
    }
}
