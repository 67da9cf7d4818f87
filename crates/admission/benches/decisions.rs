//! Benchmarks of admission decisions with 8, 1,000 and 11,000 teams.

use std::collections::VecDeque;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::Bencher;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use fulmargate_admission::ClassConf;
use fulmargate_admission::ClassRule;
use fulmargate_admission::ClassTable;
use fulmargate_admission::ConfiguredServer;
use fulmargate_admission::CrashDetector;
use fulmargate_admission::Fingerprint;
use fulmargate_admission::GateConf;
use fulmargate_admission::GateEntry;
use fulmargate_admission::GateOutcome;
use fulmargate_admission::GateRequest;
use fulmargate_admission::GateTicket;
use fulmargate_admission::GateWaiter;
use fulmargate_admission::HealthConf;
use fulmargate_admission::HealthRegistry;
use fulmargate_admission::LimiterConf;
use fulmargate_admission::RequestClass;
use fulmargate_admission::ServerGate;
use fulmargate_admission::ServerResult;
use fulmargate_admission::SuspectConf;
use fulmargate_admission::TeamLimit;
use fulmargate_admission::TeamLimiter;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use fulmargate_names::ZoneName;
use tokio::runtime::Runtime;
use tokio::time::Instant;

const TEAMS: [usize; 3] = [8, 1_000, 11_000];
const LIMIT: TeamLimit = TeamLimit { requests_per_s: 1e9, prompt_tokens_per_s: 1e12 };

fn teams(count: usize) -> Vec<TeamName> {
    (0..count).map(|number| TeamName::new(&format!("team-{number}"))).collect()
}

fn batch(queue_limit: usize) -> Arc<ClassConf> {
    let deadline = Duration::from_secs(3_600);
    Arc::new(ClassConf { name: Arc::from("batch"), priority: 2, deadline, queue_limit })
}

fn request(team: &TeamName, class: &Arc<ClassConf>) -> GateRequest {
    let class = RequestClass::begin(class, Instant::now(), None);
    GateRequest { team: team.clone(), class, prefill_tokens: 100 }
}

/// A gate with this request limit.
fn gate(requests: u32) -> Arc<ServerGate> {
    let conf = GateConf {
        initial_requests: requests,
        min_requests: requests,
        initial_tokens: 1 << 20,
        ..GateConf::engine()
    };
    ServerGate::new(ServerName::new("engine-1"), conf)
}

fn for_teams(c: &mut Criterion, name: &str, bench: impl Fn(&mut Bencher<'_>, usize)) {
    let mut group = c.benchmark_group(name);
    for count in TEAMS {
        group.bench_function(BenchmarkId::from_parameter(count), |b| bench(b, count));
    }
    group.finish();
}

fn bench_limiter(c: &mut Criterion) {
    for_teams(c, "limiter: admit", |b, count| {
        let (limiter, teams) = (limiter(), teams(count));
        let mut next_team = teams.iter().cycle();
        b.iter(|| {
            let team = next_team.next().expect("endless");
            limiter.admit(black_box(team), &LIMIT, 100, Instant::now())
        });
    });
    for_teams(c, "limiter: usage report", |b, count| {
        let (limiter, teams) = (limiter(), teams(count));
        let now = Instant::now();
        assert!(teams.iter().all(|team| limiter.admit(team, &LIMIT, 100, now).is_ok()));
        b.iter(|| limiter.usage(Instant::now()));
    });
}

fn limiter() -> TeamLimiter {
    TeamLimiter::new(HostName::new("entry-0"), LimiterConf::default())
}

fn bench_gate(c: &mut Criterion) {
    for_teams(c, "gate: enter and leave below the limit", |b, count| {
        let (gate, class) = (gate(64), batch(100_000));
        let requests: Vec<_> = teams(count).iter().map(|team| request(team, &class)).collect();
        let mut next_request = requests.iter().cycle();
        b.iter(|| gate.enter(next_request.next().expect("endless"), Instant::now()));
    });
    for_teams(c, "gate: enter, wait and leave, one request of each team queued", |b, count| {
        let mut queued_gate = QueuedGate::new(count);
        b.iter(|| queued_gate.advance());
    });
    for_teams(c, "gate: enter at a full queue, one request of each team queued", |b, count| {
        let mut queued_gate = QueuedGate::new(count);
        queued_gate.class = batch(count);
        let team = queued_gate.teams[0].clone();
        let request = request(&team, &queued_gate.class);
        b.iter(|| queued_gate.gate.enter(black_box(&request), Instant::now()));
    });
}

/// A gate with one queued request of each team.
struct QueuedGate {
    runtime: Runtime,
    gate: Arc<ServerGate>,
    class: Arc<ClassConf>,
    teams: Vec<TeamName>,
    in_flight: Option<GateTicket>,
    waiting: VecDeque<GateWaiter>,
    next: usize,
}

impl QueuedGate {
    fn new(count: usize) -> QueuedGate {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let mut queued_gate = QueuedGate {
            runtime: builder.enable_time().build().expect("a runtime"),
            gate: gate(1),
            class: batch(100_000),
            teams: teams(count),
            in_flight: None,
            waiting: VecDeque::new(),
            next: 0,
        };
        for _ in 0..=count {
            queued_gate.enter();
        }
        queued_gate
    }

    fn enter(&mut self) {
        let team = &self.teams[self.next % self.teams.len()];
        self.next += 1;
        match self.gate.enter(&request(team, &self.class), Instant::now()) {
            GateEntry::Decided(GateOutcome::Admitted(ticket)) => self.in_flight = Some(ticket),
            GateEntry::Queued(waiter) => self.waiting.push_back(waiter),
            GateEntry::Decided(other) => panic!("neither admitted nor queued: {other:?}"),
        }
    }

    /// Completes the in-flight request, admits the next one and queues another.
    fn advance(&mut self) {
        self.in_flight = None;
        let waiter = self.waiting.pop_front().expect("a request is queued");
        match self.runtime.block_on(waiter.wait()) {
            GateOutcome::Admitted(ticket) => self.in_flight = Some(ticket),
            other => panic!("not admitted: {other:?}"),
        }
        self.enter();
    }
}

fn bench_classes(c: &mut Criterion) {
    for_teams(c, "classes: classify with one rule per team", |b, count| {
        let teams = teams(count);
        let rule = |team: &TeamName| ClassRule {
            team: Some(team.clone()),
            model: None,
            path: None,
            class: Arc::from("batch"),
        };
        let rules = teams.iter().map(rule).collect();
        let table = ClassTable::new(vec![(*batch(9)).clone()], rules, "batch")
            .expect("default class is defined");
        let mut next_team = teams.iter().cycle();
        b.iter(|| {
            let team = next_team.next().expect("endless");
            Arc::clone(table.classify(black_box(team), None, "/v1/completions"))
        });
    });
}

fn bench_suspects(c: &mut Criterion) {
    let mut group = c.benchmark_group("suspects: begin and end a run, by other runs in flight");
    for in_flight in [8, 784, 8_000] {
        group.bench_function(BenchmarkId::from_parameter(in_flight), |b| {
            let detector = CrashDetector::new(SuspectConf::default());
            let now = Instant::now();
            let servers: Vec<ServerName> =
                (0..16).map(|number| ServerName::new(&format!("engine-{number}"))).collect();
            let begin = |number: u128| {
                let server = &servers[number as usize % servers.len()];
                detector
                    .begin(Fingerprint(number), server, Incarnation(1), now)
                    .expect("not a suspect")
            };
            let _others: Vec<_> = (0..in_flight).map(begin).collect();
            let mut number = 1 << 64;
            b.iter(|| {
                number += 1;
                begin(number).complete();
            });
        });
    }
    group.finish();
    let body = vec![7; 16_384];
    let team = TeamName::new("museum");
    c.bench_function("fingerprint: 16 KiB body", |b| {
        b.iter(|| Fingerprint::of(1, &team, "describer", black_box(&body)));
    });
}

fn bench_health(c: &mut Criterion) {
    let mut group = c.benchmark_group("health: record a result, list all servers");
    for count in [12, 1_200] {
        let registry = HealthRegistry::new(HealthConf::default());
        let now = Instant::now();
        let configured = |number: usize| ConfiguredServer {
            server: ServerName::new(&format!("engine-{number}")),
            zone: ZoneName::new("north"),
            pool: Arc::from("describer"),
            drain: fulmargate_admission::DrainState::InUse,
        };
        let configured_servers: Vec<ConfiguredServer> = (0..count).map(configured).collect();
        registry.set_servers(&configured_servers, now);
        let server = &configured_servers[count / 2].server;
        group.bench_function(BenchmarkId::new("result", count), |b| {
            b.iter(|| registry.record_result(server, None, ServerResult::Answered, now));
        });
        group.bench_function(BenchmarkId::new("all", count), |b| {
            b.iter(|| registry.all_availability(now));
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default()
        .sample_size(30)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(2));
    targets = bench_limiter, bench_gate, bench_classes, bench_suspects, bench_health
}
criterion_main!(benches);
