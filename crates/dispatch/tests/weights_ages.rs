//! Since when weights are outdated, as known to a host that did not read each version as it was named.

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::WeightsProof;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::ModelName;
use fulmargate_names::WeightsVersion;

const NOW: BootTime = BootTime(100_000);
/// Any age below this is within the bound of some deployment.
const MAX_BOUND: Duration = Duration::from_secs(8);

fn model() -> ModelName {
    ModelName::new("m")
}

/// A table of a host that has listed this version at its start.
fn listed(version: u64) -> WeightsTable {
    let mut weights = WeightsTable::default();
    weights.add_target(&model(), WeightsVersion(version), None);
    weights
}

fn proof(version: u64, age_ms: u64) -> WeightsProof {
    WeightsProof { version: WeightsVersion(version), proven_at: BootTime(NOW.0 - age_ms) }
}

fn age_ms(weights: &WeightsTable, version: u64) -> Option<u64> {
    let age = weights.outdated_for(&model(), WeightsVersion(version), NOW);
    (age < Duration::MAX).then_some(age.as_millis() as u64)
}

/// A host lists the newest of several versions and is told its age. Guards against taking that age for the time since
/// the first one, which the host has never read.
#[test]
fn the_age_of_the_newest_version_says_nothing_about_earlier_ones() {
    let mut weights = listed(5);
    weights.add_proof(&model(), proof(4, 1_000));
    for version in 1..4 {
        let age = weights.outdated_for(&model(), WeightsVersion(version), NOW);
        assert!(MAX_BOUND <= age, "version {version} counts as outdated for {age:?}");
    }
}

/// Guards against counting from the boot of the machine where the age of a version is not known: right after a boot
/// weights of any age would seem young.
#[test]
fn weights_of_unknown_age_are_old_also_right_after_a_boot() {
    let age = listed(2).outdated_for(&model(), WeightsVersion(1), BootTime(500));
    assert!(MAX_BOUND <= age, "{age:?}");
}

struct ProofCase {
    name: &'static str,
    /// Versions and ages in milliseconds, in the order in which they are learned.
    proofs: &'static [(u64, u64)],
    /// Version of an engine, and for how long it counts as outdated beside version 5.
    expected: &'static [(u64, Option<u64>)],
}

const PROOF_CASES: &[ProofCase] = &[
    ProofCase {
        name: "nothing is known",
        proofs: &[],
        expected: &[(1, None), (4, None), (5, Some(0)), (6, Some(0))],
    },
    ProofCase {
        name: "a proof holds for higher versions",
        proofs: &[(2, 7_000)],
        expected: &[(1, None), (2, Some(7_000)), (3, Some(7_000)), (4, Some(7_000))],
    },
    ProofCase {
        name: "each version counts from the first newer one",
        proofs: &[(1, 9_000), (2, 5_000), (4, 1_000)],
        expected: &[(0, None), (1, Some(9_000)), (3, Some(5_000)), (4, Some(1_000))],
    },
    ProofCase {
        name: "in any order, and twice",
        proofs: &[(4, 1_000), (1, 9_000), (4, 1_000), (2, 5_000), (1, 9_000)],
        expected: &[(0, None), (1, Some(9_000)), (3, Some(5_000)), (4, Some(1_000))],
    },
    ProofCase {
        name: "an older proof of a version takes nothing away",
        proofs: &[(2, 5_000), (2, 8_000), (3, 6_000)],
        expected: &[(2, Some(5_000)), (3, Some(5_000))],
    },
    ProofCase {
        name: "a later proof of a lower version holds for higher ones",
        proofs: &[(3, 6_000), (2, 5_000)],
        expected: &[(2, Some(5_000)), (3, Some(5_000))],
    },
];

/// Guards against ages that are taken for other versions than those that they are about.
#[test]
fn proofs_hold_for_their_version_and_higher_ones() {
    for case in PROOF_CASES {
        let mut weights = listed(5);
        for (version, age_ms) in case.proofs {
            weights.add_proof(&model(), proof(*version, *age_ms));
        }
        for (version, expected) in case.expected {
            assert_eq!(age_ms(&weights, *version), *expected, "{}: {version}", case.name);
        }
    }
}

/// Guards against a host that forgets the first of two versions when it reads the second.
#[test]
fn versions_read_one_after_the_other_keep_their_own_ages() {
    let mut weights = listed(1);
    weights.add_target(&model(), WeightsVersion(2), Some(BootTime(NOW.0 - 6_000)));
    weights.add_target(&model(), WeightsVersion(5), Some(BootTime(NOW.0 - 2_000)));
    weights.add_target(&model(), WeightsVersion(5), Some(NOW));
    weights.add_target(&model(), WeightsVersion(3), Some(NOW));
    assert_eq!(age_ms(&weights, 1), Some(6_000));
    assert_eq!(age_ms(&weights, 2), Some(2_000));
    assert_eq!(age_ms(&weights, 4), Some(2_000));
    assert_eq!(weights.target(&model()), Some(WeightsVersion(5)));
}

/// Estimates may be too young. Guards against one that is used although another host has proven the time.
#[test]
fn estimates_are_used_only_without_a_proof() {
    let mut weights = listed(5);
    weights.add_estimate(&model(), proof(1, 3_000));
    assert_eq!(age_ms(&weights, 2), Some(3_000));
    weights.add_proof(&model(), proof(2, 4_000));
    assert_eq!(age_ms(&weights, 1), Some(3_000));
    assert_eq!(age_ms(&weights, 2), Some(4_000));
    assert_eq!(age_ms(&weights, 4), Some(4_000));
}

/// Guards against ages that are sent to other routers after the bound, when all engines have the target, or before the
/// time of a version is known.
#[test]
fn ages_are_told_only_while_a_bound_runs() {
    let mut weights = listed(5);
    weights.add_proof(&model(), proof(2, 7_000));
    weights.add_proof(&model(), proof(4, 1_000));
    let cases = [
        (1, 8_000, None),
        (2, 8_000, Some(7_000)),
        (2, 7_000, None),
        (3, 8_000, Some(7_000)),
        (4, 7_000, Some(1_000)),
        (5, 8_000, None),
        (6, 8_000, None),
    ];
    for (version, bound_ms, expected_ms) in cases {
        let bound = Duration::from_millis(bound_ms);
        let age = weights.running_age(&model(), WeightsVersion(version), bound, NOW);
        assert_eq!(age, expected_ms.map(Duration::from_millis), "version {version}, {bound_ms} ms");
    }
}

/// Guards against memory that grows with the number of versions, and against a dropped proof that makes old weights
/// seem young.
#[test]
fn a_long_series_of_versions_is_bounded() {
    let mut weights = listed(1);
    for version in 2..1_000 {
        let read_before = BootTime(NOW.0 - 10 * (1_000 - version));
        weights.add_target(&model(), WeightsVersion(version), Some(read_before));
    }
    assert!(weights.proofs(&model()).len() <= 64);
    assert_eq!(age_ms(&weights, 1), None);
    assert_eq!(age_ms(&weights, 998), Some(10));
}
