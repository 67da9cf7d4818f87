//! Rate limits of several servers, for which requests wait at all routers.

mod support;

use support::limit_queue_simulation::LimitQueueSimulation;
use support::limit_queue_simulation::QueueCase;
use support::server_limit_simulation::FleetSize;

const FLEET: FleetSize = FleetSize { hosts: 90, interval_ms: 90, delay_ms: 80 };
const WAITING: QueueCase = QueueCase {
    size: FLEET,
    real_delay_ms: 80,
    servers: 8,
    limit: 1.0,
    demand: 10.0,
    pauses: false,
};
const SECONDS: usize = 12;

/// The users' bound: in any 4 s one and a half times the limit and five more.
fn check(case: QueueCase) {
    let mut simulation = LimitQueueSimulation::new(case, 3);
    simulation.run(SECONDS);
    let most = simulation.max_in(4);
    let allowed = 1.5 * 4.0 * case.limit + 5.0;
    assert!(most as f64 <= allowed, "{case:?}: {most} in 4 s, allowed {allowed}");
}

/// Guards against requests that wait at all routers and take the same token at the moment it appears.
#[test]
fn waiting_requests_do_not_all_take_the_same_token() {
    check(WAITING);
}

/// Guards against the same where demand pauses and returns, and messages are later than assumed.
#[test]
fn late_messages_do_not_multiply_a_limit() {
    check(QueueCase { pauses: true, real_delay_ms: 300, ..WAITING });
    check(QueueCase { servers: 3, limit: 0.3, real_delay_ms: 600, pauses: true, ..WAITING });
}

/// Guards against the same where hosts share a bucket: few hosts, or a limit of many requests a second.
#[test]
fn shared_buckets_hold_beside_late_messages() {
    const SIX: FleetSize = FleetSize { hosts: 6, interval_ms: 28, delay_ms: 5 };
    const THIRTY: FleetSize = FleetSize { hosts: 30, interval_ms: 90, delay_ms: 5 };
    for limit in [1.0, 2.8, 20.0] {
        for real_delay_ms in [5, 80, 300, 600] {
            for servers in [1, 8] {
                for pauses in [false, true] {
                    let demand = 10.0 * limit * servers as f64 / SIX.hosts as f64;
                    check(QueueCase { size: SIX, real_delay_ms, servers, limit, demand, pauses });
                }
            }
        }
    }
    let busy = QueueCase { size: THIRTY, servers: 8, limit: 20.0, demand: 50.0, ..WAITING };
    check(QueueCase { real_delay_ms: 600, pauses: true, ..busy });
}
