//! A fleet on virtual time that follows a series of weights versions: hosts that read late or not at all, start anew,
//! are frozen or cut off, and ask each other since when weights are outdated.

use std::ops::Range;
use std::time::Duration;

use fulmargate_names::WeightsVersion;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::weights_host::AgeSource;
use super::weights_host::HostClock;
use super::weights_host::PendingRead;
use super::weights_host::ReadTime;
use super::weights_host::WeightsHost;
use super::weights_host::WeightsReport;
use super::weights_judge::JudgeOutcome;
use super::weights_judge::ReportClaim;
use super::weights_judge::WeightsJudge;
use super::weights_topic::WeightsTopic;

pub(crate) const TICK_MS: u64 = 5;
/// Longest way of a message, or of a read without its wait, at hosts in touch.
pub(crate) const MAX_TRANSIT_MS: u64 = 60;
const TRANSIT_MS: Range<u64> = 2..MAX_TRANSIT_MS;
/// The same where something holds it up.
const SLOW_TRANSIT_MS: Range<u64> = 60..4_000;
/// Time until a read without an answer is given up.
const READ_TIMEOUT_MS: u64 = 1_500;
const RETRY_MS: Range<u64> = 50..1_000;
pub(crate) const RESTART_MS: u64 = 600;
const QUESTION_INTERVAL_MS: u64 = 100;
/// Hosts that are asked at a time.
const ASKED_HOSTS: usize = 2;
/// Versions of which a host may still have engines.
const USED_VERSIONS: usize = 12;
/// Pace of hosts that ask without need.
const SPARE_QUESTIONS_PER_S: f64 = 0.3;
pub(crate) const MAX_DRIFT_PPM: i64 = 200;
/// Uptime of a machine that was booted right before its process started.
const NEW_UPTIME_MS: Range<i64> = 0..2_000;
const OLD_UPTIME_MS: Range<i64> = 100_000..10_000_000;
/// Share of the starts before which the machine was booted.
const BOOT_SHARE: f64 = 0.25;
const HELD_UP_MS: Range<u64> = 300..9_000;
/// Pause between two checks of a host that has learned nothing.
const JUDGE_INTERVAL_MS: u64 = 100;

/// What is drawn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HistoryPlan {
    pub(crate) hosts: usize,
    pub(crate) run_ms: u64,
    pub(crate) bound: Duration,
    /// Kills, freezes and cuts a second.
    pub(crate) faults_per_s: f64,
    /// Share of the messages and reads that are slow, lost or repeated.
    pub(crate) bad_call_share: f64,
    /// When all hosts are killed at once.
    pub(crate) all_killed: Option<u64>,
    pub(crate) age_source: AgeSource,
    pub(crate) read_time: ReadTime,
}

enum FleetMessage {
    Question { from: usize, asked: u64, from_start: u64 },
    Reply { asked: u64, from_start: u64, report: WeightsReport, claim: ReportClaim },
}

struct Delivery {
    at: u64,
    to: usize,
    message: FleetMessage,
}

/// The fleet at one moment.
pub(crate) struct WeightsFleet {
    pub(crate) plan: HistoryPlan,
    pub(crate) topic: WeightsTopic,
    pub(crate) hosts: Vec<WeightsHost>,
    pub(crate) now: u64,
    pub(crate) rng: StdRng,
    /// Starts of hosts since the run began.
    pub(crate) started: Vec<usize>,
    deliveries: Vec<Delivery>,
    judge: WeightsJudge,
}

impl WeightsFleet {
    pub(crate) fn new(plan: HistoryPlan, topic: WeightsTopic, rng: StdRng) -> WeightsFleet {
        let mut fleet = WeightsFleet {
            plan,
            topic,
            hosts: Vec::new(),
            now: 0,
            rng,
            started: Vec::new(),
            deliveries: Vec::new(),
            judge: WeightsJudge::new(plan.bound),
        };
        for _ in 0..plan.hosts {
            let clock = fleet.draw_clock(OLD_UPTIME_MS);
            fleet.hosts.push(WeightsHost::new(clock, 0));
        }
        fleet
    }

    /// A fleet with a drawn series of versions and drawn losses of history.
    pub(crate) fn drawn(plan: HistoryPlan, seed: u64) -> WeightsFleet {
        let mut rng = StdRng::seed_from_u64(seed);
        let shortest = if seed.is_multiple_of(2) { 300 } else { 1_500 };
        let mut topic = WeightsTopic::draw(shortest..4_000, plan.run_ms, &mut rng);
        for _ in 0..rng.random_range(0..4) {
            topic.drop_history(rng.random_range(4_000..plan.run_ms));
        }
        WeightsFleet::new(plan, topic, rng)
    }

    pub(crate) fn run(mut self) -> JudgeOutcome {
        while self.now < self.plan.run_ms {
            self.step();
        }
        self.judge.outcome()
    }

    pub(crate) fn outcome(&self) -> JudgeOutcome {
        self.judge.outcome()
    }

    /// Advances by one tick.
    pub(crate) fn step(&mut self) {
        self.now += TICK_MS;
        self.started.clear();
        self.start_hosts();
        self.play_faults();
        self.deliver();
        for number in 0..self.hosts.len() {
            if !self.hosts[number].is_running(self.now) {
                continue;
            }
            let has_read = self.read(number);
            self.ask(number);
            let is_due = (self.now + number as u64 * TICK_MS).is_multiple_of(JUDGE_INTERVAL_MS);
            if has_read || is_due {
                self.judge.check(&self.hosts[number], &self.topic, self.now);
            }
        }
    }

    fn draw_clock(&mut self, uptime_ms: Range<i64>) -> HostClock {
        let drift_ppm = self.rng.random_range(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM);
        HostClock { booted: self.now as i64 - self.rng.random_range(uptime_ms), drift_ppm }
    }

    fn start_hosts(&mut self) {
        for number in 0..self.hosts.len() {
            if self.hosts[number].stopped_until.is_none_or(|until| self.now < until) {
                continue;
            }
            let clock = match self.rng.random_bool(BOOT_SHARE) {
                true => self.draw_clock(NEW_UPTIME_MS),
                false => self.hosts[number].clock,
            };
            self.hosts[number] = WeightsHost::new(clock, self.now);
            self.started.push(number);
        }
    }

    pub(crate) fn stop(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        if host.stopped_until.is_none() {
            host.stopped_until = Some(self.now + RESTART_MS);
        }
    }

    fn play_faults(&mut self) {
        if self.plan.all_killed.is_some_and(|at| at <= self.now && self.now < at + TICK_MS) {
            (0..self.hosts.len()).for_each(|number| self.stop(number));
        }
        let share = self.plan.faults_per_s * TICK_MS as f64 / 1_000.0;
        if !self.rng.random_bool(share.min(1.0)) {
            return;
        }
        let number = self.rng.random_range(0..self.hosts.len());
        let until = self.now + self.rng.random_range(HELD_UP_MS);
        let kind = self.rng.random_range(0..5);
        let host = &mut self.hosts[number];
        match kind {
            0 => self.stop(number),
            1 => {
                host.frozen_until = until;
                host.hold_up();
            }
            2 => host.cut_store(until),
            3 => host.peer_cut_until = until,
            _ => {
                host.cut_store(until);
                host.peer_cut_until = until;
            }
        }
    }

    /// Returns whether an answer arrived.
    fn read(&mut self, number: usize) -> bool {
        let (now, time) = (self.now, self.plan.read_time);
        let host = &mut self.hosts[number];
        let Some(read) = host.pending else {
            if host.next_read <= now {
                let read = self.draw_read(number);
                self.hosts[number].pending = Some(read);
            }
            return false;
        };
        if now < read.arrives {
            return false;
        }
        host.pending = None;
        if read.is_lost {
            host.is_failing = true;
            host.hold_up();
            host.next_read = now + self.rng.random_range(RETRY_MS);
            return false;
        }
        host.next_read = now;
        host.apply_read(read, &self.topic, time, now);
        true
    }

    fn draw_read(&mut self, number: usize) -> PendingRead {
        let sent = self.now;
        let is_slow = self.is_bad();
        let is_lost = sent < self.hosts[number].store_cut_until || is_slow && self.is_bad();
        let arrived = sent + self.draw_transit(is_slow);
        let answered = self.hosts[number].answers_at(&self.topic, arrived);
        let arrives = match is_lost {
            true => sent + READ_TIMEOUT_MS,
            false => answered + self.draw_transit(is_slow),
        };
        PendingRead { sent, answered, arrives, is_lost, is_slow }
    }

    fn is_bad(&mut self) -> bool {
        self.rng.random_bool(self.plan.bad_call_share)
    }

    fn draw_transit(&mut self, is_slow: bool) -> u64 {
        self.rng.random_range(if is_slow { SLOW_TRANSIT_MS } else { TRANSIT_MS })
    }

    fn ask(&mut self, number: usize) {
        let now = self.now;
        let host = &self.hosts[number];
        let is_due = host.next_question <= now;
        let is_new = Duration::from_millis(now - host.started) < self.plan.bound;
        let spare_share = SPARE_QUESTIONS_PER_S * TICK_MS as f64 / 1_000.0;
        let asks = is_due && is_new && self.lacks_ages(host)
            || self.plan.faults_per_s > 0.0 && self.rng.random_bool(spare_share);
        if is_due {
            self.hosts[number].next_question = now + QUESTION_INTERVAL_MS;
        }
        if !asks {
            return;
        }
        let from_start = self.hosts[number].started;
        for _ in 0..ASKED_HOSTS {
            let to = self.rng.random_range(0..self.hosts.len());
            let question = || FleetMessage::Question { from: number, asked: now, from_start };
            if to != number {
                self.send(number, to, question);
            }
        }
    }

    fn lacks_ages(&self, host: &WeightsHost) -> bool {
        let versions = self.topic.recent_versions(self.now, USED_VERSIONS);
        let lacks =
            |version: &WeightsVersion| host.outdated_for(*version, self.now) == Duration::MAX;
        host.has_listing() && versions.iter().any(lacks)
    }

    /// Sends a message, which may be late, lost, or arrive twice.
    fn send(&mut self, from: usize, to: usize, message: impl Fn() -> FleetMessage) {
        let (is_slow, is_lost, is_repeated) = (self.is_bad(), self.is_bad(), self.is_bad());
        if is_lost || self.now < self.hosts[from].peer_cut_until {
            return;
        }
        for _ in 0..=usize::from(is_repeated) {
            let at = self.now + self.draw_transit(is_slow);
            self.deliveries.push(Delivery { at, to, message: message() });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let hosts = &self.hosts;
        // A message to a frozen host waits until the host goes on.
        let is_due =
            |delivery: &mut Delivery| delivery.at <= now && hosts[delivery.to].frozen_until <= now;
        let due: Vec<Delivery> = self.deliveries.extract_if(.., is_due).collect();
        for delivery in due {
            let host = &self.hosts[delivery.to];
            if host.is_running(now) && host.peer_cut_until <= now {
                self.receive(delivery.to, delivery.message);
            }
        }
    }

    fn receive(&mut self, number: usize, message: FleetMessage) {
        let now = self.now;
        match message {
            FleetMessage::Question { from, asked, from_start } => {
                let report = self.hosts[number].report(now);
                let claim = self.judge.claim(&self.hosts[number], &self.topic, now);
                self.send(number, from, || FleetMessage::Reply {
                    asked,
                    from_start,
                    report: report.clone(),
                    claim: claim.clone(),
                });
            }
            FleetMessage::Reply { asked, from_start, report, claim } => {
                let host = &mut self.hosts[number];
                if from_start != host.started || !host.has_listing() {
                    return;
                }
                host.learn(asked, &report, self.plan.age_source, now);
                self.judge.check(host, &self.topic, now);
                self.judge.check_reply(host, &claim, asked, now);
            }
        }
    }
}
