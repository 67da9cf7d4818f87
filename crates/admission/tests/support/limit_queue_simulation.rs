//! Simulation of routers whose requests wait for one of several servers that name rate limits.

use std::collections::VecDeque;

use fulmargate_admission::LimitReport;
use fulmargate_admission::NamedLimit;
use fulmargate_admission::ServerLimits;
use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use tokio::time::Instant;

use super::TestRng;
use super::ms;
use super::server_limit_simulation::FleetSize;
use super::server_limit_simulation::limit_conf;

const STEP_MS: u64 = 10;
const STEPS_PER_S: usize = 100;
/// Steps between two attempts of the requests that wait at a router.
const POLL_STEPS: usize = 2;
/// Time from a request's arrival at a server until its response is read.
const RESPONSE_STEPS: usize = 2;
/// Time after the start from which arrivals are judged: each server's limit is known by then.
const LEARNING_STEPS: usize = 2 * STEPS_PER_S;

/// The load and the servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueCase {
    pub(crate) size: FleetSize,
    /// Longest time of a message on its way; `size` has the time that routers assume.
    pub(crate) real_delay_ms: u64,
    pub(crate) servers: usize,
    /// Requests a second that each server takes.
    pub(crate) limit: f64,
    /// Requests a second that arrive at each router while it has callers.
    pub(crate) demand: f64,
    /// Whether most routers have callers only every other five seconds.
    pub(crate) pauses: bool,
}

pub(crate) struct LimitQueueSimulation {
    case: QueueCase,
    hosts: Vec<HostName>,
    routers: Vec<ServerLimits>,
    /// Steps at which the waiting requests arrived.
    queues: Vec<VecDeque<usize>>,
    messages: Vec<Message>,
    responses: Vec<Response>,
    dice: TestRng,
    now: Instant,
    step: usize,
    /// Steps of the arrivals at each server.
    arrivals: Vec<Vec<usize>>,
    /// Times in steps that the served requests waited.
    pub(crate) waits: Vec<usize>,
}

struct Message {
    from: usize,
    to: usize,
    report: LimitReport,
    due: usize,
}

struct Response {
    to: usize,
    server: u64,
    sent: Instant,
    due: usize,
}

impl LimitQueueSimulation {
    pub(crate) fn new(case: QueueCase, seed: u64) -> LimitQueueSimulation {
        let count = case.size.hosts;
        let hosts: Vec<HostName> =
            (0..count).map(|index| HostName::new(&format!("entry-{index}"))).collect();
        let now = Instant::now();
        let mut routers = Vec::new();
        for (index, host) in hosts.iter().enumerate() {
            let mut router = ServerLimits::new(host.clone(), 1 + index as u16, limit_conf());
            let zone = |index: usize| ZoneName::new(&format!("zone-{}", index % 3));
            let others = hosts.iter().enumerate().map(|(index, host)| (host.clone(), zone(index)));
            router.set_routers(others, now);
            routers.push(router);
        }
        LimitQueueSimulation {
            case,
            hosts,
            routers,
            queues: vec![VecDeque::new(); count],
            messages: Vec::new(),
            responses: Vec::new(),
            dice: TestRng(seed),
            now,
            step: 0,
            arrivals: vec![Vec::new(); case.servers],
            waits: Vec::new(),
        }
    }

    pub(crate) fn run(&mut self, seconds: usize) {
        self.send_first_requests();
        for _ in 0..seconds * STEPS_PER_S {
            self.step += 1;
            self.now += ms(STEP_MS);
            self.deliver();
            let interval_steps = (self.case.size.interval_ms / STEP_MS).max(1) as usize;
            for router in 0..self.case.size.hosts {
                if (self.step + router).is_multiple_of(interval_steps) {
                    self.send_report(router);
                }
                self.accept_callers(router);
                if (self.step + router).is_multiple_of(POLL_STEPS) {
                    self.serve_queue(router);
                }
            }
        }
    }

    /// Some router learns each server's limit.
    fn send_first_requests(&mut self) {
        for server in 0..self.case.servers {
            let to = self.dice.below(self.case.size.hosts);
            let server = server as u64 + 1;
            self.responses.push(Response { to, server, sent: self.now, due: 1 });
        }
    }

    fn accept_callers(&mut self, router: usize) {
        let is_paused = self.case.pauses && self.step / (5 * STEPS_PER_S) % 2 == 1;
        if is_paused && !router.is_multiple_of(9) {
            self.queues[router].clear();
            return;
        }
        let expected = self.case.demand / STEPS_PER_S as f64;
        let draw = self.dice.below(1 << 30) as f64 / f64::from(1 << 30);
        if draw < expected {
            self.queues[router].push_back(self.step);
        }
    }

    /// Places the requests that wait, as the choice of a server does: at any server with a token, else at one of them.
    fn serve_queue(&mut self, router: usize) {
        while let Some(arrived) = self.queues[router].front().copied() {
            if !self.try_place(router) {
                return;
            }
            self.queues[router].pop_front();
            self.waits.push(self.step - arrived);
        }
    }

    fn try_place(&mut self, router: usize) -> bool {
        let delay = ms(self.case.size.interval_ms + self.case.size.delay_ms);
        let now = self.now;
        let limits = &mut self.routers[router];
        let servers: Vec<u64> = (1..=self.case.servers as u64).collect();
        let open: Vec<u64> =
            servers.iter().copied().filter(|server| limits.has_tokens(*server, now)).collect();
        let candidates = if open.is_empty() { &servers } else { &open };
        let first = self.dice.below(candidates.len());
        for step in 0..candidates.len() {
            let server = candidates[(first + step) % candidates.len()];
            if limits.admit(server, delay, now).is_ok() {
                self.arrivals[server as usize - 1].push(self.step);
                let due = self.step + RESPONSE_STEPS;
                self.responses.push(Response { to: router, server, sent: now, due });
                return true;
            }
            if open.is_empty() {
                break;
            }
        }
        for server in servers {
            limits.wait_for(server, now);
        }
        false
    }

    fn send_report(&mut self, from: usize) {
        let report = self.routers[from].take_report(self.now);
        for to in 0..self.case.size.hosts {
            if to != from {
                let steps = (self.case.real_delay_ms / STEP_MS).max(1) as usize;
                let due = self.step + 1 + self.dice.below(steps);
                self.messages.push(Message { from, to, report: report.clone(), due });
            }
        }
    }

    fn deliver(&mut self) {
        let step = self.step;
        let is_due = |due: usize| due <= step;
        let messages = std::mem::take(&mut self.messages);
        for message in messages {
            if !is_due(message.due) {
                self.messages.push(message);
                continue;
            }
            let from = &self.hosts[message.from];
            self.routers[message.to].receive(from, &message.report, |_| true, self.now);
        }
        let responses = std::mem::take(&mut self.responses);
        for response in responses {
            if !is_due(response.due) {
                self.responses.push(response);
                continue;
            }
            let named = NamedLimit::PerSecond(self.case.limit);
            self.routers[response.to].observe(response.server, named, response.sent, self.now);
        }
    }

    /// The most arrivals at one server in any span of this length.
    pub(crate) fn max_in(&self, seconds: usize) -> usize {
        let span = seconds * STEPS_PER_S;
        let mut max = 0;
        for arrivals in &self.arrivals {
            let from = arrivals.partition_point(|step| *step < LEARNING_STEPS);
            let judged = &arrivals[from..];
            for (first, step) in judged.iter().enumerate() {
                let end = judged.partition_point(|other| *other < step + span);
                max = max.max(end - first);
            }
        }
        max
    }

    /// Judged arrivals as a part of what the limits allow.
    pub(crate) fn use_share(&self) -> f64 {
        let judged: usize = self
            .arrivals
            .iter()
            .map(|arrivals| arrivals.iter().filter(|step| LEARNING_STEPS <= **step).count())
            .sum();
        let seconds = (self.step - LEARNING_STEPS) as f64 / STEPS_PER_S as f64;
        judged as f64 / (seconds * self.case.limit * self.case.servers as f64)
    }
}
