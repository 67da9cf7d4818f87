//! Compares two ways of sharing a quota among routers, in simulated time: `cargo run --release -p
//! fulmargate-admission --example quota_ways`.

#[path = "../tests/support/mod.rs"]
mod support;

use support::quota_simulation::QuotaSimulation;
use support::quota_simulation::SharingMode;
use support::quota_simulation::quota;

const NORMAL_DEMAND: f64 = 0.55;
const SEEDS: u64 = 3;

struct RunStats {
    refused: f64,
    share: f64,
    excess: f64,
    report_bytes: f64,
}

fn main() {
    println!(
        "mode     hosts    rate/s demand  refused  share of rate    max excess  report bytes/host/s"
    );
    for mode in [SharingMode::Shares, SharingMode::Reports] {
        for routers in [8, 66, 195, 740] {
            for rate in [29_000.0, 400_000.0] {
                for demand in [NORMAL_DEMAND, 0.9, 8.0] {
                    let runs: Vec<RunStats> =
                        (1..=SEEDS).map(|seed| run(mode, routers, rate, demand, seed)).collect();
                    let mean = |of: fn(&RunStats) -> f64| {
                        runs.iter().map(of).sum::<f64>() / runs.len() as f64
                    };
                    let max_excess = runs.iter().map(|stats| stats.excess).fold(f64::MIN, f64::max);
                    println!(
                        "{:8} {routers:5} {rate:9} {demand:6} {:8.4} {:14.3} {max_excess:13.3} {:20.1}",
                        format!("{mode:?}"),
                        mean(|stats| stats.refused),
                        mean(|stats| stats.share),
                        mean(|stats| stats.report_bytes),
                    );
                }
            }
        }
    }
}

fn run(mode: SharingMode, routers: usize, rate: f64, demand: f64, seed: u64) -> RunStats {
    let mut simulation = QuotaSimulation::with_mode(mode, routers, Some(quota(rate, rate)), seed);
    simulation.set_total_demand(NORMAL_DEMAND * rate);
    simulation.run(10.0);
    let before = (simulation.requests, simulation.refused_requests, simulation.report_bytes);
    simulation.set_total_demand(demand * rate);
    simulation.run(12.0);
    let requests = simulation.requests - before.0;
    RunStats {
        refused: (simulation.refused_requests - before.1) as f64 / requests.max(1) as f64,
        share: simulation.rate(8) / rate,
        excess: simulation.max_excess(),
        report_bytes: (simulation.report_bytes - before.2) as f64 / routers as f64 / 12.0,
    }
}
