//! Simulation of routers that send to one server, which names a rate limit.

use std::time::Duration;

use fulmargate_admission::LimitReport;
use fulmargate_admission::NamedLimit;
use fulmargate_admission::QuotaConf;
use fulmargate_admission::ServerLimits;
use fulmargate_admission::StoredLimitSlot;
use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use tokio::time::Instant;

use super::TestRng;
use super::ms;

const STEP_MS: u64 = 5;
const STEPS_PER_S: usize = 200;
/// Key of the server.
const SERVER: u64 = 7;
/// Time from a request's arrival until its response is read.
const RESPONSE_STEPS: usize = 4;
/// Interval at which a waiting request tries again.
const RETRY_STEPS: usize = 4;
/// Time after the first response with a limit from which the sum over all hosts is judged.
const LEARNING_STEPS: usize = STEPS_PER_S / 2;
/// Interval at which routers write to the store and read from it.
const STORE_STEPS: usize = STEPS_PER_S / 2;
/// Requests that a bucket of its own holds, for the ways without reports.
const OWN_BURST: f64 = 1.0;

pub(crate) fn limit_conf() -> QuotaConf {
    QuotaConf {
        window: Duration::from_secs(4),
        overage: 0.0,
        slack: 4.0,
        report_delay: Duration::ZERO,
        reach_timeout: ms(1_200),
        end_timeout: Duration::from_secs(60),
    }
}

/// How routers share a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitSharing {
    /// `ServerLimits`: each router deducts what the others report.
    Reports,
    /// Each router has an equal part.
    EqualParts,
    /// As many routers as the limit has requests a second have equal parts, the others none.
    Subset,
    /// One router has the bucket, and the others ask it for each request.
    OneGranter,
}

/// Size of a deployment and the delay of its gossip.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSize {
    pub(crate) hosts: usize,
    /// Interval between two messages of a router.
    pub(crate) interval_ms: u64,
    /// Longest time from a router to another, with relays.
    pub(crate) delay_ms: u64,
}

pub(crate) const SIZES: &[FleetSize] = &[
    FleetSize { hosts: 6, interval_ms: 28, delay_ms: 5 },
    FleetSize { hosts: 30, interval_ms: 90, delay_ms: 5 },
    FleetSize { hosts: 90, interval_ms: 90, delay_ms: 80 },
    FleetSize { hosts: 195, interval_ms: 195, delay_ms: 80 },
];

/// A bucket without reports.
#[derive(Clone, Copy)]
struct OwnBucket {
    level: f64,
}

pub(crate) struct ServerLimitSimulation {
    pub(crate) sharing: LimitSharing,
    size: FleetSize,
    routers: Vec<ServerLimits>,
    buckets: Vec<OwnBucket>,
    /// Whether a router has seen the limit.
    has_learned: Vec<bool>,
    hosts: Vec<HostName>,
    now: Instant,
    step: usize,
    dice: TestRng,
    in_flight: Vec<Message>,
    responses: Vec<Response>,
    /// Requests per second for which each router would choose the server.
    pub(crate) demand: Vec<f64>,
    /// Group of each router; messages between groups are lost.
    pub(crate) group: Vec<usize>,
    pub(crate) paused: Vec<bool>,
    /// Share of messages that are lost.
    pub(crate) loss: f64,
    /// Steps for which a request waits if it is not admitted.
    pub(crate) patience_steps: usize,
    /// Routers of the waiting requests and the steps at which they leave.
    waiting: Vec<(usize, usize)>,
    /// The limit that the server names.
    pub(crate) limit: Option<f64>,
    /// Newest record of each key in the platform's store.
    store: Vec<StoredLimitSlot>,
    start_count: u16,
    /// Step of the first response that named a limit.
    pub(crate) first_named: Option<usize>,
    /// Step of each arrival at the server.
    pub(crate) arrivals: Vec<usize>,
    /// Messages that routers exchanged for the limit alone.
    pub(crate) asks: usize,
}

struct Message {
    from: usize,
    to: usize,
    report: LimitReport,
    due: usize,
}

struct Response {
    to: usize,
    named: NamedLimit,
    sent: Instant,
    due: usize,
}

impl ServerLimitSimulation {
    pub(crate) fn new(sharing: LimitSharing, size: FleetSize, seed: u64) -> ServerLimitSimulation {
        let hosts: Vec<HostName> =
            (0..size.hosts).map(|index| HostName::new(&format!("entry-{index}"))).collect();
        let mut simulation = ServerLimitSimulation {
            sharing,
            size,
            routers: Vec::new(),
            buckets: vec![OwnBucket { level: 0.0 }; size.hosts],
            has_learned: vec![false; size.hosts],
            hosts,
            now: Instant::now(),
            step: 0,
            dice: TestRng(seed),
            in_flight: Vec::new(),
            responses: Vec::new(),
            demand: vec![0.0; size.hosts],
            group: vec![0; size.hosts],
            paused: vec![false; size.hosts],
            loss: 0.0,
            patience_steps: 0,
            waiting: Vec::new(),
            limit: None,
            store: Vec::new(),
            start_count: 0,
            first_named: None,
            arrivals: Vec::new(),
            asks: 0,
        };
        simulation.routers = (0..size.hosts).map(|router| simulation.router(router)).collect();
        simulation
    }

    fn router(&mut self, router: usize) -> ServerLimits {
        self.start_count += 1;
        let mut limits =
            ServerLimits::new(self.hosts[router].clone(), self.start_count, limit_conf());
        let zone = |index: usize| ZoneName::new(&format!("zone-{}", index % 3));
        let routers =
            self.hosts.iter().enumerate().map(|(index, host)| (host.clone(), zone(index)));
        limits.set_routers(routers, self.now);
        self.store.iter().for_each(|record| limits.read_stored(record, self.now));
        limits.apply_stored(|server| server == SERVER, self.now);
        limits
    }

    /// Lets a router write to the store what is due, which all others then read.
    fn use_store(&mut self, router: usize) {
        let records = self.routers[router].take_due_writes(self.now);
        for record in records {
            self.store.retain(|stored| stored.slot != record.slot);
            self.store.push(record.clone());
            for reader in (0..self.size.hosts).filter(|reader| *reader != router) {
                self.routers[reader].read_stored(&record, self.now);
                self.routers[reader].apply_stored(|server| server == SERVER, self.now);
            }
        }
    }

    /// Restarts a router, which has learned nothing yet.
    pub(crate) fn restart(&mut self, router: usize) {
        self.routers[router] = self.router(router);
        self.buckets[router] = OwnBucket { level: 0.0 };
        self.has_learned[router] = false;
    }

    pub(crate) fn set_total_demand(&mut self, per_s: f64) {
        self.demand.fill(per_s / self.size.hosts as f64);
    }

    pub(crate) fn run(&mut self, seconds: f64) {
        for _ in 0..(seconds * STEPS_PER_S as f64) as usize {
            self.advance();
        }
    }

    fn advance(&mut self) {
        self.step += 1;
        self.now += ms(STEP_MS);
        self.deliver_messages();
        self.deliver_responses();
        if self.step.is_multiple_of(RETRY_STEPS) {
            self.retry_waiting();
        }
        let interval_steps = (self.size.interval_ms / STEP_MS).max(1) as usize;
        for router in 0..self.size.hosts {
            if self.paused[router] {
                continue;
            }
            if (self.step + router).is_multiple_of(interval_steps) {
                self.send_report(router);
            }
            if (self.step + router).is_multiple_of(STORE_STEPS) {
                self.use_store(router);
            }
            self.refill_own(router);
            let expected = self.demand[router] / STEPS_PER_S as f64;
            let mut requests = expected.floor() as usize;
            requests += usize::from(self.draw() < expected.fract());
            for _ in 0..requests {
                self.request(router);
            }
        }
    }

    /// Lets the requests that wait at routers try again.
    fn retry_waiting(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        for (router, until) in waiting {
            if self.step < until && !self.try_request(router) {
                self.waiting.push((router, until));
            }
        }
    }

    fn draw(&mut self) -> f64 {
        self.dice.below(1 << 30) as f64 / (1_u64 << 30) as f64
    }

    fn request(&mut self, router: usize) {
        if !self.try_request(router) && 0 < self.patience_steps {
            self.waiting.push((router, self.step + self.patience_steps));
        }
    }

    fn try_request(&mut self, router: usize) -> bool {
        if !self.admits(router) {
            return false;
        }
        self.arrivals.push(self.step);
        let named = match self.limit {
            Some(rate) => NamedLimit::PerSecond(rate),
            None => NamedLimit::Absent,
        };
        if self.limit.is_some() {
            self.first_named.get_or_insert(self.step + RESPONSE_STEPS);
        }
        let due = self.step + RESPONSE_STEPS;
        self.responses.push(Response { to: router, named, sent: self.now, due });
        true
    }

    fn admits(&mut self, router: usize) -> bool {
        let report_delay = ms(self.size.interval_ms + self.size.delay_ms);
        if self.sharing == LimitSharing::Reports {
            return self.routers[router].admit(SERVER, report_delay, self.now).is_ok();
        }
        if !self.has_learned[router] {
            return true;
        }
        let holder = match self.sharing {
            LimitSharing::OneGranter => 0,
            _ => router,
        };
        self.asks += usize::from(holder != router);
        let bucket = &mut self.buckets[holder];
        let is_admitted = 1.0 <= bucket.level;
        if is_admitted {
            bucket.level -= 1.0;
        }
        is_admitted
    }

    fn refill_own(&mut self, router: usize) {
        let Some(rate) = self.limit else { return };
        let holders = match self.sharing {
            LimitSharing::EqualParts => self.size.hosts,
            LimitSharing::Subset => (rate.ceil() as usize).clamp(1, self.size.hosts),
            LimitSharing::OneGranter | LimitSharing::Reports => 1,
        };
        if holders <= router {
            return;
        }
        let filled = rate / holders as f64 / STEPS_PER_S as f64;
        let level = self.buckets[router].level + filled;
        self.buckets[router].level = level.min(OWN_BURST + filled);
    }

    fn send_report(&mut self, from: usize) {
        let report = self.routers[from].take_report(self.now);
        for to in 0..self.size.hosts {
            let is_lost =
                self.group[from] != self.group[to] || (0.0 < self.loss && self.draw() < self.loss);
            if from == to || is_lost {
                continue;
            }
            let delay_steps = 1 + self.dice.below((self.size.delay_ms / STEP_MS).max(1) as usize);
            let due = self.step + delay_steps;
            self.in_flight.push(Message { from, to, report: report.clone(), due });
        }
    }

    fn deliver_messages(&mut self) {
        let in_flight = std::mem::take(&mut self.in_flight);
        for message in in_flight {
            if self.step < message.due || self.paused[message.to] {
                self.in_flight.push(message);
                continue;
            }
            let host = self.hosts[message.from].clone();
            let learned = self.routers[message.to].receive(
                &host,
                &message.report,
                |server| server == SERVER,
                self.now,
            );
            self.has_learned[message.to] |= !learned.is_empty();
        }
    }

    fn deliver_responses(&mut self) {
        let responses = std::mem::take(&mut self.responses);
        for response in responses {
            if self.step < response.due || self.paused[response.to] {
                self.responses.push(response);
                continue;
            }
            let router = &mut self.routers[response.to];
            router.observe(SERVER, response.named, response.sent, self.now);
            self.has_learned[response.to] |= matches!(response.named, NamedLimit::PerSecond(_));
        }
    }

    /// Steps of the arrivals that are judged.
    fn judged(&self) -> &[usize] {
        let Some(first_named) = self.first_named else { return &[] };
        let from = first_named + LEARNING_STEPS;
        let start = self.arrivals.partition_point(|step| *step < from);
        &self.arrivals[start..]
    }

    /// The most judged arrivals in any span of this length.
    pub(crate) fn max_in(&self, seconds: f64) -> usize {
        let span = (seconds * STEPS_PER_S as f64) as usize;
        let judged = self.judged();
        let mut start = 0;
        let mut max = 0;
        for (end, step) in judged.iter().enumerate() {
            while judged[start] + span <= *step {
                start += 1;
            }
            max = max.max(end + 1 - start);
        }
        max
    }

    /// Arrivals per second in the last seconds.
    pub(crate) fn rate(&self, seconds: f64) -> f64 {
        let from = self.step.saturating_sub((seconds * STEPS_PER_S as f64) as usize);
        let start = self.arrivals.partition_point(|step| *step <= from);
        (self.arrivals.len() - start) as f64 / seconds
    }
}
