//! Engines follow a series of weights versions while all hosts are restarted, in fleets of several sizes.

mod support;

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use support::weights_fleet::HistoryPlan;
use support::weights_fleet::MAX_TRANSIT_MS;
use support::weights_fleet::TICK_MS;
use support::weights_fleet::WeightsFleet;
use support::weights_host::AgeSource;
use support::weights_host::POLL_WAIT;
use support::weights_host::ReadTime;
use support::weights_judge::start_margin;
use support::weights_rollout::RestartKind;
use support::weights_rollout::RolloutFleet;
use support::weights_rollout::RolloutOutcome;
use support::weights_rollout::RolloutSetting;
use support::weights_rollout::StoredAges;
use support::weights_topic::FIRST_NAMED_MS;
use support::weights_topic::WeightsTopic;

const SEEDS: [u64; 2] = [57, 58];
const BOUNDS_S: [u64; 2] = [6, 8];
/// Time in which all hosts are restarted, one after the other.
const RESTARTS_MS: u64 = 18_000;
const RESTARTED_RUN_MS: u64 = 24_000;
/// Share of the orders that are lost, and of those that are carried out late, on bad days.
const BAD_ORDER_SHARE: f64 = 0.2;
const KILLED_MS: u64 = 4_200;
/// Time after the kill in which engines load if they all begin at once.
const COUNTED_MS: (u64, u64) = (KILLED_MS, KILLED_MS + 4_000);
/// Share of the prompts without a new version that are served after all hosts were killed.
const SERVED_SHARE: f64 = 0.9;

#[derive(Clone, Copy, Debug)]
struct FleetSize {
    hosts: usize,
    engines: usize,
    zones: usize,
}

const SIZES: [FleetSize; 4] = [
    FleetSize { hosts: 6, engines: 12, zones: 3 },
    FleetSize { hosts: 30, engines: 30, zones: 3 },
    FleetSize { hosts: 90, engines: 90, zones: 4 },
    FleetSize { hosts: 195, engines: 156, zones: 4 },
];

#[derive(Clone, Copy, Debug)]
struct RestartCase {
    name: &'static str,
    kind: RestartKind,
    bad_order_share: f64,
}

/// Engines stay on the weights that they have.
const ORDERS_LOST: RestartCase =
    RestartCase { name: "kills, orders lost", kind: RestartKind::Kill, bad_order_share: 1.0 };

const RESTART_CASES: [RestartCase; 5] = [
    RestartCase { name: "stops", kind: RestartKind::Stop, bad_order_share: 0.0 },
    RestartCase { name: "kills", kind: RestartKind::Kill, bad_order_share: 0.0 },
    RestartCase {
        name: "stops, bad orders",
        kind: RestartKind::Stop,
        bad_order_share: BAD_ORDER_SHARE,
    },
    RestartCase {
        name: "kills, bad orders",
        kind: RestartKind::Kill,
        bad_order_share: BAD_ORDER_SHARE,
    },
    ORDERS_LOST,
];

fn plan(size: FleetSize, bound_s: u64, run_ms: u64) -> HistoryPlan {
    HistoryPlan {
        hosts: size.hosts,
        run_ms,
        bound: Duration::from_secs(bound_s),
        faults_per_s: 0.0,
        bad_call_share: 0.0,
        all_killed: None,
        age_source: AgeSource::Proofs,
        read_time: ReadTime::LastSent,
    }
}

/// Restarts all hosts while a version is named each 2 to 4 s.
fn restart_all(case: RestartCase, size: FleetSize, plan: HistoryPlan, seed: u64) -> RolloutOutcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let topic = WeightsTopic::draw(2_000..4_000, plan.run_ms, &mut rng);
    let setting = RolloutSetting {
        engines: size.engines,
        zones: size.zones,
        stored_ages: StoredAges::Nothing,
        restart_kind: case.kind,
        restarts: Some((4_000, RESTARTS_MS / size.hosts as u64)),
        bad_order_share: case.bad_order_share,
        counted_ms: (0, plan.run_ms),
    };
    let outcome = RolloutFleet::new(setting, WeightsFleet::new(plan, topic, rng)).run();
    println!(
        "{} hosts, {} engines, bound {} s, {}, {:?}: late {}, oldest engine {} ms, \
         orders a second {:.1}, served {:.3}",
        size.hosts,
        size.engines,
        plan.bound.as_secs(),
        case.name,
        plan.age_source,
        outcome.late,
        outcome.oldest.as_millis(),
        outcome.orders as f64 * 1_000.0 / plan.run_ms as f64,
        outcome.served as f64 / outcome.prompts as f64,
    );
    outcome
}

/// Share of the prompts that arrive before the first version's bound, less the margin and the longest time by which a
/// host that follows the topic takes a version for older than it is: the reads before the record and with it.
fn min_served_share(plan: HistoryPlan) -> f64 {
    let read_time = POLL_WAIT + 2 * Duration::from_millis(MAX_TRANSIT_MS + TICK_MS);
    let used = plan.bound - start_margin() - 2 * read_time;
    (FIRST_NAMED_MS + used.as_millis() as u64) as f64 / plan.run_ms as f64
}

/// Guards against prompts beyond the bound of the first newer version while hosts start between versions, and against
/// refusals on weights that are within it.
fn check_restarts(size: FleetSize) {
    for case in RESTART_CASES {
        for bound_s in BOUNDS_S {
            for seed in SEEDS {
                let plan = plan(size, bound_s, RESTARTED_RUN_MS);
                let outcome = restart_all(case, size, plan, seed);
                assert!(0 < outcome.served && 0 < outcome.orders, "{size:?}, {case:?}");
                assert_eq!(outcome.late, 0, "{size:?}, {case:?}, seed {seed}");
                let served_share = outcome.served as f64 / outcome.prompts as f64;
                assert!(min_served_share(plan) <= served_share, "{size:?}, {case:?}, seed {seed}");
                let judge = &outcome.judge;
                assert_eq!((judge.late, judge.younger), (0, 0), "{size:?}: {:?}", judge.first);
            }
        }
    }
}

#[test]
fn no_prompt_is_late_while_6_hosts_are_restarted() {
    check_restarts(SIZES[0]);
}

#[test]
fn no_prompt_is_late_while_30_hosts_are_restarted() {
    check_restarts(SIZES[1]);
}

#[test]
fn no_prompt_is_late_while_90_hosts_are_restarted() {
    check_restarts(SIZES[2]);
}

#[test]
fn no_prompt_is_late_while_195_hosts_are_restarted() {
    check_restarts(SIZES[3]);
}

/// Guards against a model in which no prompt could begin late, with hosts that take the age of the newest version for
/// all before it.
#[test]
fn late_prompts_of_earlier_releases_are_counted() {
    for size in SIZES {
        let age_source = AgeSource::NewestVersion;
        let plan = HistoryPlan { age_source, ..plan(size, 6, RESTARTED_RUN_MS) };
        let late = SEEDS.map(|seed| restart_all(ORDERS_LOST, size, plan, seed).late);
        assert!(0 < late.iter().sum::<usize>(), "{size:?}");
    }
}

#[derive(Clone, Copy, Debug)]
struct KillCase {
    name: &'static str,
    /// Versions and the times at which they are named.
    named: &'static [(u64, u64)],
}

const KILL_CASES: [KillCase; 2] = [
    KillCase { name: "after a version", named: &[(2, KILLED_MS - 200)] },
    KillCase {
        name: "in a series",
        named: &[(2, KILLED_MS - 2_200), (3, KILLED_MS - 200), (4, KILLED_MS + 1_800)],
    },
];

fn kill_all(
    size: FleetSize,
    bound_s: u64,
    named: &[(u64, u64)],
    stored_ages: StoredAges,
) -> RolloutOutcome {
    let mut rng = StdRng::seed_from_u64(SEEDS[0]);
    let mut topic = WeightsTopic::new();
    named.iter().for_each(|(version, at)| topic.name(*version, *at, &mut rng));
    let setting = RolloutSetting {
        engines: size.engines,
        zones: size.zones,
        stored_ages,
        restart_kind: RestartKind::Kill,
        restarts: None,
        bad_order_share: 0.0,
        counted_ms: COUNTED_MS,
    };
    let run_ms = COUNTED_MS.1 + 2_000;
    let plan = HistoryPlan { all_killed: Some(KILLED_MS), ..plan(size, bound_s, run_ms) };
    RolloutFleet::new(setting, WeightsFleet::new(plan, topic, rng)).run()
}

/// Guards against hosts that serve little after all of them were killed right after a version was named.
#[test]
fn stored_ages_keep_prompts_served_when_all_hosts_are_killed() {
    for size in SIZES {
        for bound_s in BOUNDS_S {
            let unchanged = kill_all(size, bound_s, &[], StoredAges::Nothing);
            KILL_CASES.iter().for_each(|case| check_kill(*case, size, bound_s, &unchanged));
        }
    }
}

fn check_kill(case: KillCase, size: FleetSize, bound_s: u64, unchanged: &RolloutOutcome) {
    let unknown = kill_all(size, bound_s, case.named, StoredAges::Nothing);
    let estimated = kill_all(size, bound_s, case.named, StoredAges::Estimates);
    let share = |outcome: &RolloutOutcome| outcome.served as f64 / unchanged.served as f64;
    println!(
        "{} hosts, {} engines, bound {bound_s} s, killed {}: {} of {} served without versions, nothing stored {:.3}, \
         estimates {:.3}, late {} and {}",
        size.hosts,
        size.engines,
        case.name,
        unchanged.served,
        unchanged.prompts,
        share(&unknown),
        share(&estimated),
        unknown.late,
        estimated.late,
    );
    assert_eq!((unknown.late, estimated.late), (0, 0), "{size:?}, {case:?}, bound {bound_s} s");
    assert!(SERVED_SHARE <= share(&estimated), "{size:?}, {case:?}, bound {bound_s} s");
}
