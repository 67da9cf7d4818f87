//! Measures by how much routers exceed a shared limit and how fast their shares follow usage; see
//! `docs/design/admission.md`.

#[path = "../tests/support/mod.rs"]
mod support;

use fulmargate_admission::TeamLimit;
use support::TestRng;
use support::limit_simulation::LIMIT;
use support::limit_simulation::LimitSimulation;
use support::limit_simulation::conf;

const ROUTERS: usize = 6;
const SEEDS: u64 = 300;

fn main() {
    let allowed_excess = LIMIT * conf().burst.as_secs_f64() + 2.0 * ROUTERS as f64;
    println!("limit {LIMIT} requests/s, maximum documented excess {allowed_excess} requests");
    println!("partitions of 16 s and more: maximum excess {}", max_excess(partitions));
    println!(
        "one-way links that change every 1 to 3 s: maximum excess {}",
        max_excess(flapping_links)
    );
    for seconds in [1, 5, 10, 13, 15, 20] {
        let mut simulation = simulation(1);
        simulation.run(20);
        simulation.demand[0] = 300.0;
        simulation.run(seconds);
        println!(
            "{seconds} s after all demand moved to one router: {} requests/s",
            simulation.rates(1)[0]
        );
    }
}

fn simulation(seed: u64) -> LimitSimulation {
    let limit = TeamLimit { requests_per_s: LIMIT, prompt_tokens_per_s: f64::INFINITY };
    LimitSimulation::new(ROUTERS, limit, seed)
}

fn max_excess(scenario: impl Fn(&mut LimitSimulation, &mut TestRng)) -> f64 {
    let run = |seed| {
        let mut simulation = simulation(seed);
        scenario(&mut simulation, &mut TestRng(seed));
        simulation.max_excess()
    };
    (0..SEEDS).map(run).fold(0.0, f64::max)
}

fn partitions(simulation: &mut LimitSimulation, dice: &mut TestRng) {
    for _ in 0..6 {
        simulation.partition(dice.below(ROUTERS));
        for _ in 0..4 {
            randomize_demand(simulation, dice);
            simulation.run(4 + dice.below(4) as u64);
        }
    }
}

fn flapping_links(simulation: &mut LimitSimulation, dice: &mut TestRng) {
    for _ in 0..40 {
        let (to, from) = (dice.below(ROUTERS), dice.below(ROUTERS));
        simulation.links[to][from] = !simulation.links[to][from];
        randomize_demand(simulation, dice);
        simulation.run(1 + dice.below(3) as u64);
    }
}

fn randomize_demand(simulation: &mut LimitSimulation, dice: &mut TestRng) {
    for demand in &mut simulation.demand {
        *demand = [0.0, 0.0, 5.0, 40.0, 400.0][dice.below(5)];
    }
}
