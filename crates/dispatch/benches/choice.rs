//! Time of a choice of an engine, and of hearing another router, by the size of the fleet.

use std::hint::black_box;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use fulmargate_dispatch::Backlog;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::EngineRequest;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::PeerLoad;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::ServerRegistry;
use fulmargate_dispatch::Urgency;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::HostName;
use fulmargate_names::ServerName;
use fulmargate_names::ServiceName;
use std::time::Duration;
use support::ENGINES;
use support::engines;
use support::model;
use support::prompt_call;
use support::table;
use support::zone;
use tokio::time::Instant;

#[path = "../tests/support/mod.rs"]
mod support;

/// Engines, and routers as many.
const SIZES: [usize; 2] = [12, 90];
/// Engines at which a router has requests.
const BUSY: usize = 8;

fn word(router: usize, names: &[String]) -> GossipMessage {
    let mut backlog = Backlog::default();
    backlog.add(Urgency::timely(1), 2_000.0);
    let load = |turn: usize| PeerLoad {
        server: ServerKey::of(&ServerName::new(&names[(router * 7 + turn) % names.len()]), None),
        open: 2,
        chats: 1,
        backlog,
    };
    let host = Some(HostName::new(&format!("host-{router}")));
    GossipMessage { host, loads: (0..BUSY).map(load).collect(), ..GossipMessage::default() }
}

fn choices(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("engines");
    for size in SIZES {
        let names: Vec<String> = (0..size).map(|number| format!("engine-{number}")).collect();
        let refs: Vec<&str> = names.iter().map(String::as_str).collect();
        let now = Instant::now();
        let mut registry = ServerRegistry::default();
        registry.sync(&engines(&refs), now);
        let words: Vec<GossipMessage> = (0..size).map(|router| word(router, &names)).collect();
        for word in &words {
            registry.apply_gossip(word, now);
        }
        let table = table(Vec::new(), Vec::new());
        let weights = WeightsTable::default();
        let call = prompt_call("call", &[(11, 2_500), (12, 3_800)], now);
        let (service, model, zone) = (ServiceName::new(ENGINES), model(), zone());
        let request = EngineRequest {
            call: &call,
            service: &service,
            model: &model,
            table: &table,
            weights: &weights,
            weights_bound: Duration::from_secs(5),
            zone: &zone,
            only_weights: None,
            only_origin: None,
            excluded: &[],
            now,
            boot_now: BootTime(100_000),
        };
        group.bench_function(BenchmarkId::new("choose", size), |bencher| {
            bencher.iter(|| black_box(registry.choose_engine(black_box(&request))));
        });
        let mut turn = 0;
        group.bench_function(BenchmarkId::new("hear", size), |bencher| {
            bencher.iter(|| {
                turn = (turn + 1) % words.len();
                registry.apply_gossip(black_box(&words[turn]), now);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choices);
criterion_main!(benches);
