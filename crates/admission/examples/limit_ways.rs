//! Compares ways to share a server's rate limit among routers, in simulated time: `cargo run --release -p
//! fulmargate-admission --example limit_ways`.

#[path = "../tests/support/mod.rs"]
mod support;

use support::server_limit_simulation::LimitSharing;
use support::server_limit_simulation::SIZES;
use support::server_limit_simulation::ServerLimitSimulation;

const SEEDS: u64 = 2;
const JUDGED_S: f64 = 16.0;

fn main() {
    println!(
        "way         hosts  limit/s  demand/s  most in 4 s (limit)  most in 1 s   use  asks/s"
    );
    let ways = [
        LimitSharing::EqualParts,
        LimitSharing::Subset,
        LimitSharing::OneGranter,
        LimitSharing::Reports,
    ];
    // Only the ways that the arguments name, if any.
    let named: Vec<String> = std::env::args().skip(1).collect();
    let is_named = |way: &LimitSharing| named.is_empty() || named.contains(&format!("{way:?}"));
    for sharing in ways.into_iter().filter(is_named) {
        for size in SIZES {
            for (limit, factor) in [(1.0, 1.2), (1.0, 8.0), (2.8, 8.0), (20.0, 3.0), (1.0, 200.0)] {
                let mut most = [0, 0];
                let (mut rate, mut asks) = (0.0, 0.0);
                for seed in 1..=SEEDS {
                    let mut simulation = ServerLimitSimulation::new(sharing, *size, seed);
                    simulation.set_total_demand(limit * factor);
                    simulation.run(2.0);
                    simulation.limit = Some(limit);
                    simulation.run(JUDGED_S);
                    most[0] = most[0].max(simulation.max_in(4.0));
                    most[1] = most[1].max(simulation.max_in(1.0));
                    rate += simulation.rate(JUDGED_S - 4.0) / SEEDS as f64;
                    asks += simulation.asks as f64 / JUDGED_S / SEEDS as f64;
                }
                println!(
                    "{:11} {:5} {limit:8.1} {:9.1} {:12} ({:4.1}) {:12} {:6.2} {asks:7.1}",
                    format!("{sharing:?}"),
                    size.hosts,
                    limit * factor,
                    most[0],
                    4.0 * limit,
                    most[1],
                    rate / limit,
                );
            }
        }
    }
}
