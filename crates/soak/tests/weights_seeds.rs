//! Seeds with series of weights versions. They run apart from the other seeds, as their routers have more callers.

mod support;

use fulmargate_soak::PlanKind;

use crate::support::SeedCase;
use crate::support::check;

/// Seeds in which prompts began on weights beyond the bound.
const WEIGHTS_SEEDS: &[SeedCase] = &[
    SeedCase {
        seed: 57011,
        seconds: 10,
        kind: PlanKind::Weights,
        is_calm: true,
        cause: "a router that started between versions took the age of the newest for that of all before it",
    },
    SeedCase {
        seed: 57106,
        seconds: 10,
        kind: PlanKind::Weights,
        is_calm: false,
        cause: "the same beside other faults, and an engine that stays on its first weights",
    },
];

/// Seeds in which prompts were refused after all routers were killed.
const WEIGHTS_SERVICE_SEEDS: &[SeedCase] = &[SeedCase {
    seed: 57006,
    seconds: 10,
    kind: PlanKind::Weights,
    is_calm: true,
    cause: "all routers are killed soon after a version, none knows its age, and engines on older weights get nothing",
}];

/// Seeds in which the bound passed before a router could order the engines again.
const WEIGHTS_ORDER_SEEDS: &[SeedCase] = &[SeedCase {
    seed: 58114,
    seconds: 10,
    kind: PlanKind::Weights,
    is_calm: true,
    cause: "the paused holder of the lease is killed with all others, and those that start wait for the lease to expire",
}];

/// Operators name series of weights versions while routers are stopped and killed and engines load late. Guards against
/// prompts that begin on older weights beyond the bound of any newer version.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_prompt_begins_on_outdated_weights() {
    check(WEIGHTS_SEEDS, "weights").await;
}

/// The same where all routers are killed after a version. Guards against prompts that are refused until engines have
/// loaded.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn prompts_are_served_after_all_routers_were_killed() {
    check(WEIGHTS_SERVICE_SEEDS, "weights-service").await;
}

/// The same where the holder of the lease was paused before. Guards against engines that wait for orders until their
/// bound has passed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn engines_are_ordered_after_a_paused_holder_was_killed() {
    check(WEIGHTS_ORDER_SEEDS, "weights-orders").await;
}
