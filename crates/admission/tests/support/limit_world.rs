//! Several routers that share one team's limit.

use std::time::Duration;

use fulmargate_admission::LimiterConf;
use fulmargate_admission::TeamLimit;
use fulmargate_admission::TeamLimiter;
use fulmargate_admission::UsageReport;
use fulmargate_names::HostName;
use fulmargate_names::TeamName;
use tokio::time::Instant;

use super::Dice;
use super::ms;

/// Time from one step to the next.
const STEP_MS: u64 = 50;
/// Steps from one report of a router to its next.
const REPORT_STEPS: usize = 20;
/// The longest time that a report is under way, in steps.
const SLOWEST: usize = 28;

/// The team's limit in requests a second; its prompts have `PROMPT` tokens each.
pub(crate) const LIMIT: f64 = 120.0;
pub(crate) const PROMPT: u32 = 100;

/// Routers with one team's traffic; time goes in steps, without a clock.
pub(crate) struct LimitWorld {
    limiters: Vec<TeamLimiter>,
    hosts: Vec<HostName>,
    team: TeamName,
    limit: TeamLimit,
    now: Instant,
    step: usize,
    dice: Dice,
    under_way: Vec<Letter>,
    /// Requests that the team sends to each router a second.
    pub(crate) demand: Vec<f64>,
    /// Which routers hear which: `hears[to][from]`.
    pub(crate) hears: Vec<Vec<bool>>,
    /// Routers whose control stands still.
    pub(crate) frozen: Vec<bool>,
    owed: Vec<f64>,
    /// Requests admitted in each step, by router.
    pub(crate) admitted: Vec<Vec<u32>>,
}

struct Letter {
    due: usize,
    told: Instant,
    from: usize,
    to: usize,
    report: UsageReport,
}

/// A short burst, so that an excess of a moment shows.
pub(crate) fn conf() -> LimiterConf {
    LimiterConf { burst: ms(100), ..LimiterConf::default() }
}

impl LimitWorld {
    pub(crate) fn new(routers: usize, limit: TeamLimit, seed: u64) -> LimitWorld {
        let hosts: Vec<HostName> =
            (0..routers).map(|index| HostName::new(&format!("entry-{index}"))).collect();
        let limiter = |host: &HostName| {
            let limiter = TeamLimiter::new(host.clone(), conf());
            limiter.set_routers(&hosts);
            limiter
        };
        LimitWorld {
            limiters: hosts.iter().map(limiter).collect(),
            hosts,
            team: TeamName::new("museum"),
            limit,
            now: Instant::now(),
            step: 0,
            dice: Dice(seed),
            under_way: Vec::new(),
            demand: vec![0.0; routers],
            hears: vec![vec![true; routers]; routers],
            frozen: vec![false; routers],
            owed: vec![0.0; routers],
            admitted: Vec::new(),
        }
    }

    /// Cuts the routers below `at` from the rest, both ways.
    pub(crate) fn cut(&mut self, at: usize) {
        self.link(|to, from| (to < at) == (from < at));
    }

    /// Says which routers hear which.
    pub(crate) fn link(&mut self, hears: impl Fn(usize, usize) -> bool) {
        let routers = self.limiters.len();
        let row = |to| (0..routers).map(|from| hears(to, from)).collect();
        self.hears = (0..routers).map(row).collect();
    }

    pub(crate) fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 1_000 / STEP_MS {
            self.advance();
        }
    }

    fn advance(&mut self) {
        for router in 0..self.limiters.len() {
            if (self.step + router * 7).is_multiple_of(REPORT_STEPS) && !self.frozen[router] {
                self.report(router);
            }
        }
        let (due, later) =
            std::mem::take(&mut self.under_way).into_iter().partition(|it| it.due <= self.step);
        self.under_way = later;
        let due: Vec<Letter> = due;
        for letter in due {
            if self.hears[letter.to][letter.from] && !self.frozen[letter.to] {
                let host = &self.hosts[letter.from];
                self.limiters[letter.to].peer_usage(host, &letter.report, letter.told);
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
            let due = self.step + 1 + self.dice.below(SLOWEST);
            self.under_way.push(Letter { due, told: self.now, from, to, report: report.clone() });
        }
    }

    fn send(&mut self, router: usize) -> u32 {
        self.owed[router] += self.demand[router] * Duration::from_millis(STEP_MS).as_secs_f64();
        let mut admitted = 0;
        while self.owed[router] >= 1.0 {
            self.owed[router] -= 1.0;
            let limiter = &self.limiters[router];
            let answer = limiter.admit(&self.team, &self.limit, PROMPT, self.now);
            admitted += u32::from(answer.is_ok());
        }
        admitted
    }

    /// Requests a second that each router admitted over the last seconds.
    pub(crate) fn rates(&self, seconds: usize) -> Vec<f64> {
        let steps = seconds * 1_000 / STEP_MS as usize;
        let last = &self.admitted[self.admitted.len() - steps..];
        let sum = |router: usize| last.iter().map(|step| step[router]).sum::<u32>();
        (0..self.limiters.len()).map(|router| f64::from(sum(router)) / seconds as f64).collect()
    }

    /// The most that was admitted beyond the limit over any span of time, in requests.
    pub(crate) fn worst_excess(&self) -> f64 {
        let per_step = LIMIT * Duration::from_millis(STEP_MS).as_secs_f64();
        let mut excess = 0.0_f64;
        let mut worst = 0.0_f64;
        for step in &self.admitted {
            excess = (excess + f64::from(step.iter().sum::<u32>()) - per_step).max(0.0);
            worst = worst.max(excess);
        }
        worst
    }
}
