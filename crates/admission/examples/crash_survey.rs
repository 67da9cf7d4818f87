//! Counts crashed servers and refused harmless requests over random simulations; see
//! `docs/design/crashing-requests.md`.

#[path = "../tests/support/mod.rs"]
mod support;

use support::crash_simulation::RequestKind;
use support::crash_simulation::crashing_number;
use support::crash_simulation::paused;
use support::crash_simulation::random_failures;
use support::crash_simulation::random_history;

const SIMULATIONS: u64 = 200;

fn main() {
    for (crashing, routers, servers) in
        [(1, 1, 4), (1, 6, 4), (1, 6, 12), (2, 1, 4), (2, 6, 4), (2, 6, 12), (3, 6, 12)]
    {
        survey_crashing(crashing, routers, servers);
    }
    for (failing, span) in [(2, 4), (4, 1), (4, 4), (4, 10), (4, 40), (8, 20)] {
        survey_failures(failing, span);
    }
}

/// Prints the distribution of servers crashed per crashing request.
fn survey_crashing(crashing: u128, routers: usize, servers: usize) {
    let mut crashed_servers = [0_u32; 8];
    let mut refused = 0;
    let mut ended = 0;
    for seed in 0..SIMULATIONS {
        let simulation = paused(random_history(seed, crashing, routers, servers));
        for index in 0..crashing {
            crashed_servers
                [simulation.servers_crashed_by(crashing_number(index)).min(7) as usize] += 1;
        }
        refused += simulation.refused(RequestKind::Harmless);
        ended += simulation.refused(RequestKind::Harmless) + simulation.done(RequestKind::Harmless);
    }
    println!(
        "{crashing} crashing, {routers} routers, {servers} servers: requests by servers \
         crashed (0, 1, ..) {crashed_servers:?}, harmless requests refused {refused} of {ended}"
    );
}

/// Prints the number of refused requests when servers crash by themselves.
fn survey_failures(failing: usize, span: usize) {
    let mut refused = 0;
    let mut ended = 0;
    for seed in 0..SIMULATIONS {
        let simulation = paused(random_failures(seed, failing, span));
        refused += simulation.refused(RequestKind::Harmless);
        ended += simulation.refused(RequestKind::Harmless) + simulation.done(RequestKind::Harmless);
    }
    println!(
        "{failing} of 12 servers fail within {} ms: harmless requests refused {refused} of {ended}",
        span * 50
    );
}
