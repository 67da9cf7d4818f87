//! Benchmarks of server selection, feedback, prompt hashing and planning.

use std::hint::black_box;
use std::sync::Arc;

use criterion::Bencher;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use fulmargate_placement::ChainBuilder;
use fulmargate_placement::Choice;
use fulmargate_placement::ClassWeights;
use fulmargate_placement::FleetServer;
use fulmargate_placement::FleetView;
use fulmargate_placement::MeterRegistry;
use fulmargate_placement::PlacementConf;
use fulmargate_placement::PlacementRequest;
use fulmargate_placement::Placer;
use fulmargate_placement::Planner;
use fulmargate_placement::PolicyKind;
use fulmargate_placement::PromptChain;
use fulmargate_placement::PromptScope;
use fulmargate_placement::ReplyStats;

const SIZES: [usize; 3] = [12, 1_200, 12_000];
const WEIGHTS: ClassWeights = ClassWeights { priority: 0, ttft: 1.0, recompute: 0.1 };
/// Prompt groups per server.
const GROUPS_PER_SERVER: usize = 2;
/// Prompts per group.
const PROMPTS_PER_GROUP: usize = 4;
/// Number of groups in a demand report.
const REPORTED_GROUPS: usize = 256;

fn view(conf: &PlacementConf, servers: usize) -> FleetView {
    let mut meters = MeterRegistry::new(conf);
    let server = |number: usize| FleetServer {
        zone: ZoneName::new("north"),
        zone_ms: 1.0,
        meter: meters.meter(&ServerName::new(&format!("server{number}")), Incarnation(1)),
    };
    FleetView::new(conf, (0..servers).map(server).collect())
}

/// Prompts of 3,000 tokens. Adjacent prompts belong to different groups.
fn chains(servers: usize) -> Vec<PromptChain> {
    let scope = PromptScope::from_text("team/m/".to_owned(), WeightsVersion(1));
    let tenant = "tenant.".repeat(300);
    let chain = |number: usize| {
        let service = format!("service {:06}", number % (GROUPS_PER_SERVER * servers)).repeat(300);
        let record = format!("record {number:06}").repeat(500);
        PromptChain::new(&scope, &[&tenant, &service, &record, "What is it?"])
    };
    (0..GROUPS_PER_SERVER * PROMPTS_PER_GROUP * servers).map(chain).collect()
}

fn reply(choice: &Choice) -> ReplyStats {
    ReplyStats {
        incarnation: choice.server.meter.incarnation(),
        prompt_tokens: 3_000,
        cached_tokens: 2_900,
        queue_tokens: 0,
        running: 8,
        ttft_ms: 12.0,
    }
}

/// A placer that has served every prompt, and a view with the resulting plan.
fn warm_placer(servers: usize, chains: &[PromptChain]) -> (Placer, FleetView) {
    let conf = PlacementConf::default();
    let placer = Placer::new(conf.clone());
    let view = view(&conf, servers);
    for iteration in 0..4 * chains.len() {
        let now_ms = (iteration * 1_000 / chains.len()) as u64;
        serve(&placer, &view, &chains[iteration % chains.len()], now_ms);
    }
    let mut maker = Planner::new(&conf);
    maker.hear(&HostName::new("host"), placer.demand(REPORTED_GROUPS, 5_000), 5_000);
    let plan = maker.next(&view, 1, 5_000).expect("first plan");
    (placer, view.with_plan(&plan))
}

fn serve(placer: &Placer, view: &FleetView, chain: &PromptChain, now_ms: u64) {
    let policy = PolicyKind::Cost;
    let request = PlacementRequest { policy, weights: WEIGHTS, excluded: &[], now_ms };
    let choice = placer.choose(view, chain, &request).expect("usable server");
    let mut open = placer.begin(&choice, chain, WEIGHTS, now_ms);
    placer.first_token(&mut open, &reply(&choice), now_ms);
}

fn bench_choices(criterion: &mut Criterion) {
    for policy in PolicyKind::ALL {
        let mut group = criterion.benchmark_group(format!("choose/{}", policy.name()));
        for servers in SIZES {
            let chains = chains(servers);
            let (placer, view) = warm_placer(servers, &chains);
            let id = BenchmarkId::from_parameter(servers);
            group.bench_function(id, |bencher| choose(bencher, &placer, &view, policy, &chains));
        }
    }
    let mut group = criterion.benchmark_group("choose/cost without a plan");
    for servers in SIZES {
        let chains = chains(servers);
        let (placer, _) = warm_placer(servers, &chains);
        let view = view(placer.conf(), servers);
        let id = BenchmarkId::from_parameter(servers);
        group.bench_function(id, |bencher| {
            choose(bencher, &placer, &view, PolicyKind::Cost, &chains);
        });
    }
}

fn choose(
    bencher: &mut Bencher<'_>,
    placer: &Placer,
    view: &FleetView,
    policy: PolicyKind,
    chains: &[PromptChain],
) {
    let request = PlacementRequest { policy, weights: WEIGHTS, excluded: &[], now_ms: 5_000 };
    let mut iteration = 0;
    bencher.iter(|| {
        iteration = (iteration + 1) % chains.len();
        black_box(placer.choose(view, &chains[iteration], &request))
    });
}

fn bench_feedback(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose and feedback");
    for servers in SIZES {
        let chains = chains(servers);
        let (placer, view) = warm_placer(servers, &chains);
        let mut iteration = 0;
        group.bench_function(BenchmarkId::from_parameter(servers), |bencher| {
            bencher.iter(|| {
                iteration += 1;
                serve(
                    &placer,
                    &view,
                    &chains[iteration % chains.len()],
                    5_000 + iteration as u64 / 100,
                );
            });
        });
    }
}

fn bench_chain(criterion: &mut Criterion) {
    let scope = PromptScope::from_text("team/m/".to_owned(), WeightsVersion(1));
    let texts: Vec<String> = [2_048, 4_096, 10_000, 240].map(|bytes| "a".repeat(bytes)).to_vec();
    criterion.bench_function("chain of 16 KB", |bencher| {
        bencher.iter(|| {
            let mut builder = ChainBuilder::new(&scope);
            for text in &texts {
                builder.push(black_box(text));
            }
            black_box(builder.finish())
        });
    });
}

fn bench_control(criterion: &mut Criterion) {
    let conf = PlacementConf::default();
    let mut group = criterion.benchmark_group("control");
    group.sample_size(10);
    for servers in SIZES {
        let (placer, warm_view) = warm_placer(servers, &chains(servers));
        let report = Arc::new(placer.demand(REPORTED_GROUPS, 5_000));
        group.bench_function(BenchmarkId::new("plan step", servers), |bencher| {
            bencher.iter(|| {
                let mut maker = Planner::new(&conf);
                maker.hear(&HostName::new("host"), (*report).clone(), 5_000);
                black_box(maker.next(&warm_view, 1, 5_000))
            });
        });
        group.bench_function(BenchmarkId::new("new view", servers), |bencher| {
            bencher.iter(|| black_box(view(&conf, servers)));
        });
    }
}

criterion_group!(benches, bench_choices, bench_feedback, bench_chain, bench_control);
criterion_main!(benches);
