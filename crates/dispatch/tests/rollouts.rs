//! Order and concurrency of rolling weights updates.

mod support;

use std::time::Duration;

use fulmargate_dispatch::RolloutConf;
use fulmargate_dispatch::RolloutEngine;
use fulmargate_dispatch::RolloutPlan;
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
            ("d", "n", 1, 9, false, true),
        ],
        next: &["b", "c"],
    },
    WaveCase {
        name: "an unreachable engine does not serve its zone",
        servers: &[
            ("a", "n", 1, 0, false, false),
            ("b", "n", 1, 7, false, true),
            ("c", "n", 1, 8, false, true),
        ],
        next: &["b", "a"],
    },
    WaveCase {
        name: "a zone keeps its last engine although its weights are older",
        servers: &[
            ("a", "n", 0, 0, false, true),
            ("b", "n", 1, 0, true, true),
            ("c", "s", 1, 0, false, true),
            ("d", "s", 1, 9, false, true),
        ],
        next: &["c"],
    },
    WaveCase {
        name: "the only engine of a zone does not wait",
        servers: &[("a", "n", 1, 0, false, true), ("b", "s", 2, 0, false, true)],
        next: &["a"],
    },
    WaveCase {
        name: "an engine does not wait for one that cannot be reached",
        servers: &[("a", "n", 1, 0, false, true), ("b", "n", 1, 0, false, false)],
        next: &["a"],
    },
];

#[test]
fn engines_are_ordered_by_reachability_zone_and_load() {
    // The deadline has passed, so that the maximum share of engines may be updated at the same time.
    let plan =
        RolloutPlan::new(RolloutConf { max_concurrent_share: 0.5, ..RolloutConf::default() });
    let (age, bound) = (Duration::from_secs(5), Duration::from_secs(6));
    for case in CASES {
        let servers: Vec<RolloutEngine> = case
            .servers
            .iter()
            .map(|(name, zone, version, load, is_ordered, is_reachable)| RolloutEngine {
                key: key(name),
                name: ServerName::new(name),
                zone: ZoneName::new(zone),
                version: WeightsVersion(*version),
                outdated_for: if *version < 2 { age } else { Duration::ZERO },
                load: *load,
                is_ordered: *is_ordered,
                is_reachable: *is_reachable,
                has_failed: false,
            })
            .collect();
        let next = plan.next(&servers, WeightsVersion(2), bound);
        let expected: Vec<ServerKey> = case.next.iter().map(|name| key(name)).collect();
        assert_eq!(next, expected, "{}", case.name);
    }
}

const TARGET: WeightsVersion = WeightsVersion(9);

/// Engines of one zone: groups of outdated ones, with the number of each and its age, and others on the target.
fn engines_in_one_zone(engines: usize, groups: &[(usize, u64)]) -> Vec<RolloutEngine> {
    let outdated = groups.iter().zip(1..).flat_map(|((count, age_ms), version)| {
        std::iter::repeat_n((WeightsVersion(version), Duration::from_millis(*age_ms)), *count)
    });
    let all = outdated.chain(std::iter::repeat((TARGET, Duration::ZERO))).take(engines);
    all.enumerate()
        .map(|(number, (version, outdated_for))| RolloutEngine {
            key: key(&format!("e{number}")),
            name: ServerName::new(&format!("e{number}")),
            zone: ZoneName::new("n"),
            version,
            outdated_for,
            load: 0,
            is_ordered: false,
            is_reachable: true,
            has_failed: false,
        })
        .collect()
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
        let groups = [(case.outdated, case.age_ms)];
        let servers = engines_in_one_zone(case.engines, &groups);
        let bound = Duration::from_millis(case.bound_ms);
        let concurrency = RolloutPlan::default().concurrency(&servers, TARGET, bound);
        assert_eq!(concurrency, case.expected, "{}", case.name);
    }
}

struct GroupCase {
    name: &'static str,
    engines: usize,
    /// Number of engines on each older version, and for how many milliseconds it has been outdated.
    groups: &'static [(usize, u64)],
    concurrency: usize,
    /// Number of engines that are ordered at once.
    ordered: usize,
}

const GROUP_CASES: &[GroupCase] = &[
    GroupCase {
        name: "the newest version leaves more time than the oldest engines have",
        engines: 12,
        groups: &[(6, 3_000), (6, 0)],
        concurrency: 4,
        ordered: 4,
    },
    GroupCase {
        name: "few old engines before many that have time",
        engines: 30,
        groups: &[(1, 3_000), (29, 0)],
        concurrency: 7,
        ordered: 7,
    },
    GroupCase {
        name: "old engines decide alone",
        engines: 30,
        groups: &[(9, 3_700), (3, 0)],
        concurrency: 9,
        ordered: 9,
    },
    GroupCase {
        name: "engines past the bound come on top of the pace",
        engines: 30,
        groups: &[(4, 8_000), (13, 0)],
        concurrency: 4,
        ordered: 7,
    },
    GroupCase {
        name: "no more than the maximum share past the bound",
        engines: 30,
        groups: &[(20, 9_000), (10, 0)],
        concurrency: 12,
        ordered: 12,
    },
    GroupCase {
        name: "weights of unknown age count as past the bound",
        engines: 30,
        groups: &[(5, u64::MAX), (1, 0)],
        concurrency: 5,
        ordered: 6,
    },
];

/// Guards against a pace that follows the newest version, by which engines on older ones miss their own bounds, and
/// against engines that serve nothing and wait for a slot.
#[test]
fn each_group_of_engines_is_due_at_its_own_bound() {
    let (plan, bound) = (RolloutPlan::default(), Duration::from_secs(8));
    for case in GROUP_CASES {
        let servers = engines_in_one_zone(case.engines, case.groups);
        assert_eq!(plan.concurrency(&servers, TARGET, bound), case.concurrency, "{}", case.name);
        let next = plan.next(&servers, TARGET, bound);
        assert_eq!(next.len(), case.ordered, "{}", case.name);
        let versions = |keys: &[ServerKey]| {
            let chosen = servers.iter().filter(|server| keys.contains(&server.key));
            chosen.map(|server| server.version).collect::<Vec<_>>()
        };
        let oldest: Vec<ServerKey> =
            servers.iter().take(case.ordered).map(|server| server.key).collect();
        assert_eq!(versions(&next), versions(&oldest), "{}", case.name);
    }
}

/// Guards against engines past the bound that take the slots of those which serve and are due.
#[test]
fn engines_past_the_bound_take_no_slots_of_others() {
    let (plan, bound) = (RolloutPlan::default(), Duration::from_secs(8));
    let mut servers = engines_in_one_zone(30, &[(4, 8_000), (13, 0)]);
    servers.iter_mut().take(4).for_each(|server| server.is_ordered = true);
    assert_eq!(plan.next(&servers, TARGET, bound).len(), 3);
    servers.iter_mut().skip(4).take(3).for_each(|server| server.is_ordered = true);
    assert_eq!(plan.next(&servers, TARGET, bound).len(), 0);
}

/// Guards against an engine that always refuses and is on the oldest weights: the only slot would be its for ever.
#[test]
fn an_engine_that_has_failed_lets_others_go_first() {
    let (plan, bound) = (RolloutPlan::default(), Duration::from_secs(8));
    for age_ms in [3_000, 8_000] {
        let mut servers = engines_in_one_zone(2, &[(1, age_ms), (1, 0)]);
        assert_eq!(plan.next(&servers, TARGET, bound), [key("e0")], "{age_ms} ms");
        servers[0].has_failed = true;
        assert_eq!(plan.next(&servers, TARGET, bound), [key("e1")], "{age_ms} ms");
    }
}
