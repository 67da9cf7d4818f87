//! Rate limits of servers in a large fleet: demand that appears at many hosts at once.

mod support;

use support::server_limit_simulation::FleetSize;
use support::server_limit_simulation::LimitSharing;
use support::server_limit_simulation::ServerLimitSimulation;

const FLEET: FleetSize = FleetSize { hosts: 90, interval_ms: 90, delay_ms: 80 };
/// Requests a second at each host when all want the server.
const SURGE_PER_HOST: f64 = 16.0;

struct SurgeCase {
    name: &'static str,
    limit: f64,
    run: fn(&mut ServerLimitSimulation),
}

impl SurgeCase {
    /// The users' bound: in any 4 s one and a half times the limit and five more.
    fn check(&self) {
        let mut simulation = ServerLimitSimulation::new(LimitSharing::Reports, FLEET, 1);
        simulation.limit = Some(self.limit);
        (self.run)(&mut simulation);
        let most = simulation.max_in(4.0);
        let allowed = 1.5 * 4.0 * self.limit + 5.0;
        assert!(most as f64 <= allowed, "{}: {most} in 4 s, allowed {allowed}", self.name);
    }
}

/// Demand that hosts have seen before comes back at all of them at once.
const KNOWN_SURGES: &[SurgeCase] = &[
    SurgeCase {
        name: "after a quiet time",
        limit: 2.8,
        run: |simulation| {
            simulation.demand.fill(SURGE_PER_HOST);
            simulation.run(4.0);
            simulation.demand.fill(0.0);
            simulation.run(8.0);
            simulation.demand.fill(SURGE_PER_HOST);
            simulation.run(4.0);
        },
    },
    SurgeCase {
        name: "again and again",
        limit: 1.0,
        run: |simulation| {
            simulation.demand.fill(SURGE_PER_HOST);
            simulation.run(3.0);
            for _ in 0..3 {
                simulation.demand.fill(0.0);
                simulation.run(5.0);
                simulation.demand.fill(SURGE_PER_HOST);
                simulation.run(1.0);
            }
        },
    },
];

/// Guards against a burst of requests from hosts that all find the same token after a pause of the demand.
#[test]
fn demand_that_returns_at_all_hosts_keeps_to_the_limit() {
    KNOWN_SURGES.iter().for_each(SurgeCase::check);
}

/// Guards against the same burst where no host has seen such demand before.
#[test]
fn a_surge_that_no_host_has_seen_before_keeps_to_the_limit() {
    let case = SurgeCase {
        name: "after little demand",
        limit: 2.8,
        run: |simulation| {
            simulation.set_total_demand(1.0);
            simulation.run(10.0);
            simulation.demand.fill(SURGE_PER_HOST);
            simulation.run(4.0);
        },
    };
    case.check();
}

/// Guards against hosts that all start again, know no limit, and each send a request before the first response.
#[test]
fn hosts_that_all_start_again_keep_to_the_limit() {
    const SIX: FleetSize = FleetSize { hosts: 6, interval_ms: 28, delay_ms: 5 };
    const THIRTY: FleetSize = FleetSize { hosts: 30, interval_ms: 90, delay_ms: 5 };
    for (size, limit) in [(SIX, 0.3), (SIX, 2.8), (THIRTY, 1.0), (THIRTY, 20.0), (FLEET, 2.8)] {
        check_restart(size, limit);
    }
}

fn check_restart(size: FleetSize, limit: f64) {
    let mut simulation = ServerLimitSimulation::new(LimitSharing::Reports, size, 1);
    simulation.limit = Some(limit);
    simulation.set_total_demand(1_000.0);
    simulation.run(8.0);
    // Messages that are on their way end with the connections.
    simulation.demand.fill(0.0);
    simulation.group = (0..size.hosts).collect();
    simulation.run(0.2);
    (0..size.hosts).for_each(|host| simulation.restart(host));
    simulation.group.fill(0);
    simulation.set_total_demand(1_000.0);
    simulation.run(6.0);
    let most = simulation.max_in(4.0);
    let allowed = 1.5 * 4.0 * limit + 5.0;
    assert!(most as f64 <= allowed, "{size:?}, {limit}: {most} in 4 s, allowed {allowed}");
}
