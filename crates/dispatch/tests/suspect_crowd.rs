//! Requests that ran beside one which crashes servers, on a clock of the test: none of them is convicted.

use std::time::Duration;

use fulmargate_dispatch::CheckVerdict;
use fulmargate_dispatch::CrashReason;
use fulmargate_dispatch::ProbeOutcome;
use fulmargate_dispatch::RunEnd;
use fulmargate_dispatch::RunStep;
use fulmargate_dispatch::RunSubject;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::SuspectConf;
use fulmargate_dispatch::SuspectReport;
use fulmargate_dispatch::SuspectTable;
use fulmargate_names::HostName;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(5);
/// Time from the begin of a run to the crash.
const CRASH_TIME: Duration = Duration::from_millis(30);
/// Time that a server takes for an innocent request.
const RUN_TIME: Duration = Duration::from_millis(400);
/// A server is back this long after its crash, as another incarnation.
const DOWN_TIME: Duration = Duration::from_secs(3);
const HISTORY: Duration = Duration::from_secs(20);
const SEEDS: u64 = 5;
/// Servers that may end under each crashing request.
const MAX_CRASHES: usize = 3;

/// Size of a fleet, the delay of its gossip, and what runs there.
#[derive(Clone, Copy, Debug)]
struct CrowdCase {
    hosts: usize,
    interval_ms: u64,
    /// Longest time of a message on its way.
    transit_ms: u64,
    servers: usize,
    /// Requests at each server that ends first, one of which is guilty.
    crowd: usize,
    guilty: usize,
}

const SIZES: [(usize, u64, u64); 4] = [(6, 28, 5), (30, 90, 5), (90, 90, 80), (195, 195, 80)];

#[derive(Clone, Copy)]
enum SendState {
    Idle { until: Instant },
    Waiting { ticket: u64 },
    Running { ticket: u64, run: u64, server: usize, incarnation: ServerKey, until: Instant },
    Done,
}

struct CrowdRequest {
    fingerprint: u128,
    host: usize,
    is_guilty: bool,
    state: SendState,
    served_at: Option<Instant>,
}

struct Server {
    key: ServerKey,
    back_at: Option<Instant>,
}

struct Message {
    from: usize,
    due: Instant,
    report: SuspectReport,
}

/// A check of a server that has ended, at one host.
struct Check {
    host: usize,
    server: ServerKey,
    due: Instant,
}

struct CrowdModel {
    case: CrowdCase,
    dice: StdRng,
    now: Instant,
    tables: Vec<SuspectTable>,
    servers: Vec<Server>,
    requests: Vec<CrowdRequest>,
    messages: Vec<Message>,
    checks: Vec<Check>,
    crashes: usize,
}

impl CrowdModel {
    fn new(case: CrowdCase, seed: u64) -> CrowdModel {
        let now = Instant::now();
        let interval = Duration::from_millis(case.interval_ms);
        let transit = Duration::from_millis(case.transit_ms);
        let settle_time = (interval + interval / 2).max(2 * transit) + Duration::from_millis(20);
        let mut tables = Vec::new();
        for number in 0..case.hosts {
            let mut table = SuspectTable::new(host(number), SuspectConf::default());
            table.set_settle_time(settle_time);
            tables.push(table);
        }
        let mut dice = StdRng::seed_from_u64(seed);
        let servers = (0..case.servers)
            .map(|number| Server { key: ServerKey(1 + number as u64), back_at: None })
            .collect();
        let mut requests = Vec::new();
        for number in 0..case.crowd * case.guilty {
            requests.push(CrowdRequest {
                fingerprint: dice.random(),
                host: dice.random_range(0..case.hosts),
                is_guilty: number < case.guilty,
                state: SendState::Idle { until: now },
                served_at: None,
            });
        }
        let mut model = CrowdModel {
            case,
            dice,
            now,
            tables,
            servers,
            requests,
            messages: Vec::new(),
            checks: Vec::new(),
            crashes: 0,
        };
        // Each guilty request is at a server of its own, with its part of the others.
        for number in 0..model.requests.len() {
            model.begin(number, 0, number % case.guilty);
        }
        model
    }

    fn run(&mut self) {
        let steps = HISTORY.as_millis() / STEP.as_millis();
        for step in 0..steps as usize {
            self.now += STEP;
            self.exchange(step);
            self.finish_checks();
            for server in &mut self.servers {
                if server.back_at.is_some_and(|at| at <= self.now) {
                    *server = Server { key: ServerKey(self.dice.random()), back_at: None };
                }
            }
            for number in 0..self.requests.len() {
                self.advance(number);
            }
        }
    }

    fn exchange(&mut self, step: usize) {
        let interval_steps = (self.case.interval_ms / 5).max(1) as usize;
        for from in 0..self.case.hosts {
            if !(step + from).is_multiple_of(interval_steps) {
                continue;
            }
            let report = self.tables[from].take_report(self.case.hosts, self.now);
            if !report.is_empty() {
                let transit = self.dice.random_range(1..=self.case.transit_ms);
                let due = self.now + Duration::from_millis(transit);
                self.messages.push(Message { from, due, report });
            }
        }
        for message in std::mem::take(&mut self.messages) {
            if self.now < message.due {
                self.messages.push(message);
                continue;
            }
            for (to, table) in self.tables.iter_mut().enumerate() {
                if to != message.from {
                    table.merge(&host(message.from), &message.report, self.now);
                }
            }
        }
    }

    fn finish_checks(&mut self) {
        for check in std::mem::take(&mut self.checks) {
            if self.now < check.due {
                self.checks.push(check);
                continue;
            }
            let verdict = CheckVerdict::Crashed(CrashReason::UnreachedByAll);
            self.tables[check.host].finish_check(check.server, verdict, self.now);
        }
    }

    fn advance(&mut self, number: usize) {
        let now = self.now;
        let (state, at) = (self.requests[number].state, self.requests[number].host);
        let fingerprint = self.requests[number].fingerprint;
        match state {
            SendState::Idle { until } if until <= now => {
                let ticket = self.tables[at].issue_ticket();
                self.requests[number].state = SendState::Waiting { ticket };
            }
            SendState::Waiting { ticket } => {
                let up = self.servers.iter().filter(|server| server.back_at.is_none());
                let keys: Vec<ServerKey> = up.map(|server| server.key).collect();
                match self.tables[at].try_begin(fingerprint, ticket, &keys, now) {
                    // All hosts prefer the same server.
                    RunStep::Run => {
                        let first = self.servers.iter().position(|server| server.back_at.is_none());
                        if let Some(server) = first {
                            self.begin(number, ticket, server);
                        }
                    }
                    RunStep::RunAt(key) => {
                        let server = self.servers.iter().position(|server| server.key == key);
                        self.begin(number, ticket, server.expect("a server that is up"));
                    }
                    RunStep::Wait(_) => {}
                    RunStep::Convicted => self.requests[number].state = SendState::Done,
                }
            }
            SendState::Running { server, until, .. } if until <= now => {
                match self.requests[number].is_guilty {
                    true => self.crash(server),
                    false => self.complete(number),
                }
            }
            _ => {}
        }
    }

    fn begin(&mut self, number: usize, ticket: u64, server: usize) {
        let request = &mut self.requests[number];
        let incarnation = self.servers[server].key;
        let run = self.tables[request.host].begin_run(
            RunSubject::plain(request.fingerprint),
            incarnation,
            self.now,
        );
        let time = if request.is_guilty { CRASH_TIME } else { RUN_TIME };
        let until = self.now + time;
        request.state = SendState::Running { ticket, run, server, incarnation, until };
    }

    fn complete(&mut self, number: usize) {
        let request = &mut self.requests[number];
        let SendState::Running { ticket, run, .. } = request.state else { return };
        let table = &mut self.tables[request.host];
        table.end_run(run, RunEnd::Answered, self.now);
        table.clear(request.fingerprint, self.now);
        table.release(request.fingerprint, ticket, self.now);
        request.state = SendState::Done;
        request.served_at = Some(self.now);
    }

    /// The server ends: connections of all runs break, and their hosts check it.
    fn crash(&mut self, crashed: usize) {
        self.crashes += 1;
        let now = self.now;
        self.servers[crashed].back_at = Some(now + DOWN_TIME);
        let verdict_time = 2 * (self.case.interval_ms + self.case.transit_ms);
        let due = now + Duration::from_millis(verdict_time);
        let mut hosts = Vec::new();
        for request in &mut self.requests {
            let SendState::Running { ticket, run, server, incarnation, .. } = request.state else {
                continue;
            };
            if server != crashed {
                continue;
            }
            let table = &mut self.tables[request.host];
            if table.begin_check(incarnation, now) {
                hosts.push((request.host, incarnation));
            }
            table.end_run(run, RunEnd::Unclear, now);
            table.release(request.fingerprint, ticket, now);
            request.state = SendState::Idle { until: now };
        }
        for (host, server) in hosts {
            self.tables[host].record_probe(server, ProbeOutcome::Failed, now);
            self.checks.push(Check { host, server, due });
        }
    }

    fn convicted_innocents(&self) -> usize {
        let is_convicted = |request: &&CrowdRequest| {
            self.tables.iter().any(|table| table.is_convicted(request.fingerprint, self.now))
        };
        self.requests.iter().filter(|request| !request.is_guilty).filter(is_convicted).count()
    }

    /// Times until the innocent requests were served, the shortest first.
    fn waits(&self, start: Instant) -> Vec<Duration> {
        let innocents = self.requests.iter().filter(|request| !request.is_guilty);
        let wait = |request: &CrowdRequest| {
            request.served_at.map_or(HISTORY, |at| at.saturating_duration_since(start))
        };
        let mut waits: Vec<Duration> = innocents.map(wait).collect();
        waits.sort_unstable();
        waits
    }
}

fn host(number: usize) -> HostName {
    HostName::new(&format!("host-{number}"))
}

fn check(case: CrowdCase) {
    let mut waits = Vec::new();
    for seed in 0..SEEDS {
        let mut model = CrowdModel::new(case, seed);
        let start = model.now;
        model.run();
        let innocents = model.convicted_innocents();
        assert_eq!(innocents, 0, "{case:?}, seed {seed}: innocent requests convicted");
        let (crashes, most) = (model.crashes, case.guilty * MAX_CRASHES);
        assert!(crashes <= most, "{case:?}, seed {seed}: {crashes} servers ended");
        waits.extend(model.waits(start));
    }
    waits.sort_unstable();
    let at = |share: f64| waits[((waits.len() - 1) as f64 * share) as usize].as_millis();
    println!("{case:?}: served after {} ms, 95 of 100 {}, last {}", at(0.5), at(0.95), at(1.0));
    assert!(
        waits.last().is_some_and(|last| *last < HISTORY),
        "{case:?}: an innocent is not served"
    );
}

fn check_sizes(servers: usize, crowd: usize, guilty: usize) {
    for (hosts, interval_ms, transit_ms) in SIZES {
        check(CrowdCase { hosts, interval_ms, transit_ms, servers, crowd, guilty });
    }
}

/// Guards against innocents that are convicted with a crashing request they ran beside.
#[test]
fn one_of_a_crowd_is_convicted() {
    check_sizes(12, 30, 1);
}

/// Guards against the same where there are fewer servers than suspects.
#[test]
fn one_of_a_crowd_is_convicted_at_three_servers() {
    check_sizes(3, 5, 1);
}

/// Guards against innocents that are convicted by the crashes of two requests together.
#[test]
fn two_of_a_crowd_are_convicted() {
    check_sizes(12, 20, 2);
}

/// Guards against innocents that are convicted by the crashes of several requests, with few crashes of each.
#[test]
fn four_of_a_crowd_are_convicted() {
    check_sizes(12, 8, 4);
}
