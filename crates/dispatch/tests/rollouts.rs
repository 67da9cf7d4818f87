//! Order and concurrency of rolling weights updates.

mod support;

use std::time::Duration;

use fulmargate_dispatch::RolloutConf;
use fulmargate_dispatch::RolloutEngine;
use fulmargate_dispatch::RolloutPlan;
use fulmargate_dispatch::RolloutTime;
use fulmargate_dispatch::ServerKey;
use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;
use support::key;

struct WaveCase {
    name: &'static str,
    /// Name, zone, version, load, `is_ordered`, `is_reachable`.
    servers: &'static [(&'static str, &'static str, u64, u32, bool, bool)],
    next: &'static [&'static str],
}

const CASES: &[WaveCase] = &[
    WaveCase {
        name: "the least loaded engine of each zone goes first",
        servers: &[
            ("a", "n", 1, 5, false, true),
            ("b", "n", 1, 0, false, true),
            ("c", "s", 1, 9, false, true),
            ("d", "n", 1, 2, false, true),
        ],
        next: &["b", "c"],
    },
    WaveCase {
        name: "updates in progress count towards the limit",
        servers: &[
            ("a", "n", 1, 0, true, true),
            ("b", "n", 1, 0, true, true),
            ("c", "s", 1, 0, false, true),
        ],
        next: &[],
    },
    WaveCase {
        name: "engines on the target version or a newer one are skipped",
        servers: &[("a", "n", 2, 0, false, true), ("b", "n", 3, 0, false, true)],
        next: &[],
    },
    WaveCase {
        name: "engines on the oldest weights go first",
        servers: &[
            ("a", "n", 1, 0, false, true),
            ("b", "n", 0, 9, false, true),
            ("c", "s", 1, 0, false, true),
            ("d", "s", 1, 0, false, true),
            ("e", "n", 0, 5, false, true),
        ],
        next: &["e", "b", "c"],
    },
    WaveCase {
        name: "unreachable engines go last",
        servers: &[
            ("a", "n", 1, 0, false, false),
            ("b", "n", 1, 7, false, true),
            ("c", "n", 1, 8, false, true),
        ],
        next: &["b", "c"],
    },
];

#[test]
fn engines_are_ordered_by_reachability_zone_and_load() {
    // The deadline has passed, so that the maximum share of engines may be updated at the same time.
    let plan =
        RolloutPlan::new(RolloutConf { max_concurrent_share: 0.5, ..RolloutConf::default() });
    let time = RolloutTime { age: Duration::from_secs(5), bound: Duration::from_secs(6) };
    for case in CASES {
        let servers: Vec<RolloutEngine> = case
            .servers
            .iter()
            .map(|(name, zone, version, load, is_ordered, is_reachable)| RolloutEngine {
                key: key(name),
                name: ServerName::new(name),
                zone: ZoneName::new(zone),
                version: WeightsVersion(*version),
                load: *load,
                is_ordered: *is_ordered,
                is_reachable: *is_reachable,
            })
            .collect();
        let next = plan.next(&servers, WeightsVersion(2), time);
        let expected: Vec<ServerKey> = case.next.iter().map(|name| key(name)).collect();
        assert_eq!(next, expected, "{}", case.name);
    }
}

struct ConcurrencyCase {
    name: &'static str,
    engines: usize,
    outdated: usize,
    age_ms: u64,
    bound_ms: u64,
    expected: usize,
}

const CONCURRENCY_CASES: &[ConcurrencyCase] = &[
    ConcurrencyCase {
        name: "12 engines, bound of 6 s",
        engines: 12,
        outdated: 12,
        age_ms: 0,
        bound_ms: 6_000,
        expected: 4,
    },
    ConcurrencyCase {
        name: "12 engines, bound of 8 s",
        engines: 12,
        outdated: 12,
        age_ms: 0,
        bound_ms: 8_000,
        expected: 3,
    },
    ConcurrencyCase {
        name: "90 engines, bound of 8 s",
        engines: 90,
        outdated: 90,
        age_ms: 0,
        bound_ms: 8_000,
        expected: 21,
    },
    ConcurrencyCase {
        name: "one engine remains",
        engines: 12,
        outdated: 1,
        age_ms: 0,
        bound_ms: 6_000,
        expected: 1,
    },
    ConcurrencyCase {
        name: "past the bound",
        engines: 12,
        outdated: 9,
        age_ms: 9_000,
        bound_ms: 6_000,
        expected: 5,
    },
];

/// Guards against too many concurrent updates, which delay requests, and too few, which miss the bound.
#[test]
fn concurrency_is_the_minimum_that_meets_the_deadline() {
    for case in CONCURRENCY_CASES {
        let server = |number: usize| RolloutEngine {
            key: key(&format!("e{number}")),
            name: ServerName::new(&format!("e{number}")),
            zone: ZoneName::new("n"),
            version: WeightsVersion(if number < case.outdated { 1 } else { 2 }),
            load: 0,
            is_ordered: false,
            is_reachable: true,
        };
        let servers: Vec<RolloutEngine> = (0..case.engines).map(server).collect();
        let time = RolloutTime {
            age: Duration::from_millis(case.age_ms),
            bound: Duration::from_millis(case.bound_ms),
        };
        let concurrency = RolloutPlan::default().concurrency(&servers, WeightsVersion(2), time);
        assert_eq!(concurrency, case.expected, "{}", case.name);
    }
}
