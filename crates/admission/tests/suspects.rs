//! Detection of crashing requests across several routers.

mod support;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::crash_simulation::CrashSimulation;
use support::crash_simulation::RequestKind;
use support::crash_simulation::crashing_number;
use support::crash_simulation::paused;
use support::crash_simulation::random_history;

/// A schedule of crashing requests, router restarts and server failures beside harmless requests.
struct ScheduleCase {
    name: &'static str,
    routers: usize,
    servers: usize,
    /// Number of harmless requests sent at the start.
    harmless: u128,
    /// Step, number and router of each crashing request. Equal numbers are retries.
    crashing: &'static [(u32, u128, usize)],
    /// Step and router of each restart.
    restarts: &'static [(u32, usize)],
    /// Step and server of each crash without a cause among the requests.
    failures: &'static [(u32, usize)],
    /// Maximum number of servers crashed by each crashing request.
    max_crashed_servers: u32,
}

const A: u128 = 1_000_003;
const B: u128 = 1_000_009;

const BASE_SCHEDULE: ScheduleCase = ScheduleCase {
    name: "",
    routers: 6,
    servers: 12,
    harmless: 60,
    crashing: &[],
    restarts: &[],
    failures: &[],
    max_crashed_servers: 2,
};

const SCHEDULES: &[ScheduleCase] = &[
    ScheduleCase {
        name: "one crashing request through one router",
        routers: 1,
        servers: 4,
        harmless: 8,
        crashing: &[(1, A, 0)],
        ..BASE_SCHEDULE
    },
    ScheduleCase {
        name: "one crashing request beside sixteen others on its server",
        routers: 6,
        servers: 1,
        harmless: 16,
        crashing: &[(1, A, 0)],
        ..BASE_SCHEDULE
    },
    ScheduleCase {
        name: "retried on each router in turn",
        harmless: 40,
        crashing: &[(1, A, 0), (20, A, 1), (40, A, 2), (41, A, 3), (80, A, 4), (200, A, 5)],
        ..BASE_SCHEDULE
    },
    ScheduleCase {
        name: "retried on other routers while the first runs it",
        routers: 3,
        servers: 6,
        harmless: 20,
        crashing: &[(1, A, 0), (4, A, 1), (5, A, 2)],
        ..BASE_SCHEDULE
    },
    ScheduleCase {
        name: "two crashing requests at once on one server",
        routers: 2,
        servers: 1,
        harmless: 6,
        crashing: &[(1, A, 0), (1, B, 1)],
        ..BASE_SCHEDULE
    },
    ScheduleCase {
        name: "two crashing requests at once on several servers",
        crashing: &[(1, A, 0), (1, B, 1)],
        ..BASE_SCHEDULE
    },
    ScheduleCase {
        name: "a second crashing request while suspects of the first run",
        routers: 6,
        servers: 6,
        harmless: 40,
        crashing: &[(1, A, 0), (4, B, 1)],
        ..BASE_SCHEDULE
    },
    ScheduleCase {
        name: "its router restarts after the first crash",
        routers: 3,
        servers: 6,
        harmless: 20,
        crashing: &[(1, A, 0), (30, A, 0)],
        restarts: &[(4, 0)],
        ..BASE_SCHEDULE
    },
    ScheduleCase {
        name: "its router restarts after the conviction",
        routers: 3,
        servers: 6,
        harmless: 20,
        crashing: &[(1, A, 0), (60, A, 0)],
        restarts: &[(50, 0)],
        ..BASE_SCHEDULE
    },
    ScheduleCase {
        name: "four of twelve servers fail in turn without a crashing request",
        failures: &[(3, 0), (4, 1), (5, 2), (6, 3)],
        ..BASE_SCHEDULE
    },
    ScheduleCase {
        name: "servers keep failing beside a crashing request",
        crashing: &[(3, A, 0)],
        failures: &[
            (2, 1),
            (4, 2),
            (6, 3),
            (9, 5),
            (12, 6),
            (15, 7),
            (20, 8),
            (25, 9),
            (30, 10),
            (35, 1),
            (40, 2),
            (45, 3),
            (50, 5),
        ],
        max_crashed_servers: 3,
        ..BASE_SCHEDULE
    },
    ScheduleCase {
        name: "a third of the servers fail beside a crashing request",
        crashing: &[(1, A, 0)],
        failures: &[(20, 0), (20, 4), (21, 8), (21, 11)],
        ..BASE_SCHEDULE
    },
];

#[tokio::test(start_paused = true)]
async fn crashing_requests_are_refused_and_harmless_ones_complete() {
    for case in SCHEDULES {
        assert_schedule(case).await;
    }
}

async fn assert_schedule(case: &ScheduleCase) {
    let mut simulation = CrashSimulation::new(case.routers, case.servers);
    for number in 0..case.harmless {
        simulation.send(number, RequestKind::Harmless, number as usize % case.routers);
    }
    for step in 0..600 {
        for (_, number, router) in case.crashing.iter().filter(|(at, ..)| *at == step) {
            simulation.send(*number, RequestKind::Crashing, *router);
        }
        case.restarts.iter().filter(|(at, _)| *at == step).for_each(|(_, router)| {
            simulation.restart_router(*router);
        });
        case.failures.iter().filter(|(at, _)| *at == step).for_each(|(_, server)| {
            simulation.crash(*server);
        });
        simulation.step().await;
    }
    assert_eq!(
        simulation.refused(RequestKind::Harmless),
        0,
        "{}: harmless requests refused",
        case.name
    );
    assert_eq!(
        simulation.done(RequestKind::Harmless) as u128,
        case.harmless,
        "{}: harmless requests completed",
        case.name
    );
    assert_eq!(
        simulation.refused(RequestKind::Crashing),
        case.crashing.len(),
        "{}: crashing requests refused",
        case.name
    );
    let mut crashed_servers: Vec<u32> =
        case.crashing.iter().map(|(_, number, _)| simulation.servers_crashed_by(*number)).collect();
    crashed_servers.retain(|crashed_servers| *crashed_servers > case.max_crashed_servers);
    assert!(
        crashed_servers.is_empty(),
        "{}: too many servers crashed: {crashed_servers:?}",
        case.name
    );
}

/// A crashing request must crash exactly two servers, whatever the timing of requests, retries and
/// router restarts.
#[test]
fn one_crashing_request_crashes_two_servers_in_random_histories() {
    fn check(seed: u64) -> bool {
        let simulation = paused(random_history(seed, 1, 6, 12));
        simulation.refused(RequestKind::Harmless) == 0
            && simulation.servers_crashed_by(crashing_number(0)) == 2
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 41))
        .tests(20)
        .quickcheck(check as fn(_) -> _);
}

#[test]
fn two_crashing_requests_leave_harmless_ones_unaffected_in_random_histories() {
    fn check(seed: u64) -> bool {
        [(6, 12), (1, 4)].into_iter().all(|(routers, servers)| {
            let simulation = paused(random_history(seed, 2, routers, servers));
            let crashed_servers =
                [0, 1].map(|index| simulation.servers_crashed_by(crashing_number(index)));
            simulation.refused(RequestKind::Harmless) == 0
                && crashed_servers.iter().all(|crashed_servers| *crashed_servers <= 2)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 42))
        .tests(20)
        .quickcheck(check as fn(_) -> _);
}
