//! What a seed draws.

use std::ops::Range;
use std::time::Duration;

use fulmargate_consortium_stand::ServerMode;
use fulmargate_soak::FaultPlan;
use fulmargate_soak::FaultStep;
use fulmargate_soak::RouterSignal;
use fulmargate_soak::SoakFault;

const ROUTERS: usize = 3;
const SERVERS: usize = 6;
const LENGTH: Duration = Duration::from_secs(10);
/// Engines of runs with series of weights.
const ENGINES: Range<usize> = 3..9;
const MIN_WEIGHTS_BOUND: Duration = Duration::from_secs(4);
const MAX_WEIGHTS_BOUND: Duration = Duration::from_secs(6);
/// Planned stops of all routers may end later than the last version is named.
const LATEST_STEP: Duration = Duration::from_secs(13);
/// Time after a version within which all routers are killed.
const MAX_KILL_DELAY: Duration = Duration::from_millis(500);

/// A kept seed proves nothing any more if it plays other faults than those that it was kept for.
/// Full links are drawn beside the seed's own faults: without them the plan is what it was.
#[test]
fn full_links_leave_the_other_faults_of_a_seed_as_they_are() {
    for seed in 0..50 {
        let mixed = FaultPlan::draw(seed, ROUTERS, SERVERS, LENGTH);
        let full = mixed.clone().with_full_links(ROUTERS, &[3..6, 0..3], LENGTH);
        let (links, others): (Vec<FaultStep>, Vec<FaultStep>) =
            full.steps.into_iter().partition(is_of_full_links);
        assert_eq!(others, mixed.steps, "seed {seed}");
        assert_eq!(links.len(), 2 * (1 + 3), "seed {seed}");
    }
}

fn is_of_full_links(step: &FaultStep) -> bool {
    matches!(step.fault, SoakFault::FullLink(_) | SoakFault::Server(_, ServerMode::PausedEcho))
}

/// The same for responses that are framed and ended in all ways.
#[test]
fn response_ends_leave_the_other_faults_of_a_seed_as_they_are() {
    for seed in 0..50 {
        let mixed = FaultPlan::draw(seed, ROUTERS, SERVERS, LENGTH);
        let ends = mixed.clone().with_response_ends(3, 3, LENGTH);
        let is_own = |step: &FaultStep| {
            matches!(
                step.fault,
                SoakFault::KillServer(_) | SoakFault::Server(_, ServerMode::Shaped(_))
            )
        };
        let others: Vec<FaultStep> = ends.steps.into_iter().filter(|step| !is_own(step)).collect();
        assert_eq!(others, mixed.steps, "seed {seed}");
    }
}

/// The same for cuts of hosts, and for brittle servers.
#[test]
fn cuts_and_brittle_servers_leave_the_other_faults_of_a_seed_as_they_are() {
    for seed in 0..50 {
        let mixed = FaultPlan::draw(seed, ROUTERS, SERVERS, LENGTH);
        let cuts = mixed.clone().with_host_cuts(ROUTERS, LENGTH);
        let brittle = mixed.clone().with_brittle_servers(LENGTH);
        for plan in [cuts, brittle] {
            let is_own = |step: &FaultStep| {
                matches!(step.fault, SoakFault::CutHost(..) | SoakFault::Brittle(_))
            };
            let others: Vec<FaultStep> =
                plan.steps.into_iter().filter(|step| !is_own(step)).collect();
            assert_eq!(others, mixed.steps, "seed {seed}");
        }
    }
}

/// The same for rollouts of software versions.
#[test]
fn versions_leave_the_other_faults_of_a_seed_as_they_are() {
    for seed in 0..50 {
        let mixed = FaultPlan::draw(seed, ROUTERS, SERVERS, LENGTH);
        let plan = mixed.clone().with_versions(3..9, LENGTH);
        let is_own = |step: &FaultStep| matches!(step.fault, SoakFault::Upgrade(..));
        let others: Vec<FaultStep> = plan.steps.into_iter().filter(|step| !is_own(step)).collect();
        assert_eq!(others, mixed.steps, "seed {seed}");
    }
}

/// The same for series of weights versions, which a seed draws alike each time.
#[test]
fn weights_leave_the_other_faults_of_a_seed_as_they_are() {
    for seed in 0..50 {
        let mixed = FaultPlan::draw(seed, ROUTERS, SERVERS, LENGTH);
        let plan = mixed.clone().with_weights(ENGINES, LENGTH);
        assert_eq!(plan, mixed.clone().with_weights(ENGINES, LENGTH), "seed {seed}");
        let mut steps = plan.steps;
        for step in &mixed.steps {
            let position = steps.iter().position(|other| other == step);
            steps.remove(position.unwrap_or_else(|| panic!("seed {seed} lacks {step:?}")));
        }
        let own = mixed.without_disturbances().with_weights(ENGINES, LENGTH);
        assert!(steps.iter().all(|step| own.steps.contains(step)), "seed {seed}");
    }
}

/// Guards against series without an end, and against seeds in which nothing stands between two versions.
#[test]
fn series_of_weights_are_bounded() {
    let mut kills = 0;
    let mut stops = 0;
    for seed in 0..50 {
        let mixed = FaultPlan::draw(seed, ROUTERS, SERVERS, LENGTH);
        let plan = mixed.without_disturbances().with_weights(ENGINES, LENGTH);
        assert!(plan.steps.iter().all(|step| step.at <= LATEST_STEP), "seed {seed}");
        assert!(MIN_WEIGHTS_BOUND <= plan.weights_bound, "seed {seed}");
        assert!(plan.weights_bound <= MAX_WEIGHTS_BOUND, "seed {seed}");
        assert!(2 * plan.lease <= plan.weights_bound, "seed {seed}");
        let is_newer = |step: &&FaultStep| matches!(step.fault, SoakFault::NameVersion(1..=4));
        let named: Vec<&FaultStep> = plan.steps.iter().filter(is_newer).collect();
        assert!((2 * 2..=2 * 6).contains(&named.len()), "seed {seed}: {named:?}");
        for step in &plan.steps {
            match step.fault {
                SoakFault::KillAll => {
                    kills += 1;
                    let before = named.iter().rev().find(|named| named.at < step.at);
                    let since = before.map_or(LENGTH, |named| step.at - named.at);
                    assert!(since <= MAX_KILL_DELAY, "seed {seed}: {step:?}");
                }
                SoakFault::Signal(_, RouterSignal::Terminate) => stops += 1,
                SoakFault::EngineOrders(engine, _) => assert!(ENGINES.contains(&engine)),
                _ => {}
            }
        }
    }
    assert!(20 < kills, "all routers are killed {kills} times in 50 seeds");
    assert!(25 * ROUTERS < stops, "routers are stopped {stops} times in 50 seeds");
}

/// Guards against seeds in which hosts are cut off and servers brittle, but nothing of it can be judged.
#[test]
fn nothing_disturbs_routers_in_calm_times() {
    for seed in 0..50 {
        let mixed = FaultPlan::draw(seed, ROUTERS, SERVERS, LENGTH);
        let plan = mixed.with_host_cuts(ROUTERS, LENGTH).with_brittle_servers(LENGTH);
        let calm = plan.clone().with_calm_times();
        let is_judged = |step: &&FaultStep| {
            matches!(step.fault, SoakFault::CutHost(..) | SoakFault::Brittle(_))
        };
        let judged = calm.steps.iter().filter(is_judged);
        assert_eq!(judged.clone().count(), plan.steps.iter().filter(is_judged).count());
        for judged in judged {
            let during = calm.steps.iter().filter(|step| {
                step.at <= judged.at + judged.lasts && judged.at <= step.at + step.lasts
            });
            for step in during {
                let disturbs = matches!(
                    step.fault,
                    SoakFault::KillAll | SoakFault::Store(_) | SoakFault::ForgetHistory
                );
                assert!(!disturbs, "seed {seed}: {step:?} during {judged:?}");
            }
        }
    }
}
