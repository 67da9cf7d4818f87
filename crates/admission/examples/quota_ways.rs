//! Two ways to share a quota among routers, on virtual time: `cargo run --release -p fulmargate-admission
//! --example quota_ways`.

#[path = "../tests/support/mod.rs"]
mod support;

use support::quota_world::QuotaWay;
use support::quota_world::QuotaWorld;
use support::quota_world::quota;

const USUAL: f64 = 0.55;
const SEEDS: u64 = 3;

struct Figures {
    refused: f64,
    share: f64,
    excess: f64,
    report_bytes: f64,
}

fn main() {
    println!(
        "way      hosts    rate/s demand  refused  share of rate  beyond bound  report bytes/host/s"
    );
    for way in [QuotaWay::Shares, QuotaWay::Reports] {
        for routers in [8, 66, 195, 740] {
            for rate in [29_000.0, 400_000.0] {
                for demand in [USUAL, 0.9, 8.0] {
                    let plays: Vec<Figures> =
                        (1..=SEEDS).map(|seed| play(way, routers, rate, demand, seed)).collect();
                    let mean = |of: fn(&Figures) -> f64| {
                        plays.iter().map(of).sum::<f64>() / plays.len() as f64
                    };
                    let worst = plays.iter().map(|it| it.excess).fold(f64::MIN, f64::max);
                    println!(
                        "{:8} {routers:5} {rate:9} {demand:6} {:8.4} {:14.3} {worst:13.3} {:20.1}",
                        format!("{way:?}"),
                        mean(|it| it.refused),
                        mean(|it| it.share),
                        mean(|it| it.report_bytes),
                    );
                }
            }
        }
    }
}

fn play(way: QuotaWay, routers: usize, rate: f64, demand: f64, seed: u64) -> Figures {
    let mut world = QuotaWorld::with_way(way, routers, Some(quota(rate, rate)), seed);
    world.spread(USUAL * rate);
    world.run(10.0);
    let before = (world.requests, world.refused_requests, world.report_bytes);
    world.spread(demand * rate);
    world.run(12.0);
    let requests = world.requests - before.0;
    Figures {
        refused: (world.refused_requests - before.1) as f64 / requests.max(1) as f64,
        share: world.rate(8) / rate,
        excess: world.worst_excess(),
        report_bytes: (world.report_bytes - before.2) as f64 / routers as f64 / 12.0,
    }
}
