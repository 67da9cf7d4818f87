//! Servers lost and innocents refused over many random histories; see `docs/design/crashing-requests.md`.

#[path = "../tests/support/mod.rs"]
mod support;

use support::crash_world::Nature;
use support::crash_world::crashing_number;
use support::crash_world::paused;
use support::crash_world::random_failures;
use support::crash_world::random_history;

const HISTORIES: u64 = 200;

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

/// How many of the crashing requests cost how many servers.
fn survey_crashing(crashing: u128, routers: usize, servers: usize) {
    let mut lost = [0_u32; 8];
    let mut innocents = 0;
    let mut harmless = 0;
    for seed in 0..HISTORIES {
        let world = paused(random_history(seed, crashing, routers, servers));
        for index in 0..crashing {
            lost[world.lost_to(crashing_number(index)).min(7) as usize] += 1;
        }
        innocents += world.refused(Nature::Harmless);
        harmless += world.refused(Nature::Harmless) + world.done(Nature::Harmless);
    }
    println!(
        "{crashing} crashing, {routers} routers, {servers} servers: requests by servers lost \
         (0, 1, ..) {lost:?}, innocents refused {innocents} of {harmless}"
    );
}

/// How many are refused when servers fail of themselves.
fn survey_failures(failing: usize, span: usize) {
    let mut innocents = 0;
    let mut harmless = 0;
    for seed in 0..HISTORIES {
        let world = paused(random_failures(seed, failing, span));
        innocents += world.refused(Nature::Harmless);
        harmless += world.refused(Nature::Harmless) + world.done(Nature::Harmless);
    }
    println!(
        "{failing} of 12 servers fail within {} ms: innocents refused {innocents} of {harmless}",
        span * 50
    );
}
