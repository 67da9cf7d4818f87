//! Ages of weights that a host learns from the store's records.

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::HeartbeatMark;
use fulmargate_dispatch::WeightsProof;
use fulmargate_dispatch::WeightsRecord;
use fulmargate_dispatch::WeightsTable;
use fulmargate_names::LogOffset;
use fulmargate_names::ModelName;
use fulmargate_names::StoreEpoch;
use fulmargate_names::WeightsVersion;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const INTERVAL: Duration = Duration::from_millis(1_000);
/// Longest time between two heartbeats of a server.
const MAX_INTERVAL_MS: u64 = 1_100;
const NOW: BootTime = BootTime(100_000);
const BOUND: Duration = Duration::from_secs(8);

fn model() -> ModelName {
    ModelName::new("m")
}

fn mark(epoch: u64, offset: u64, servers: u64) -> HeartbeatMark {
    HeartbeatMark { epoch: StoreEpoch(epoch), offset: LogOffset(offset), servers }
}

fn record(target: u64, proofs: &[(u64, u64)], mark: HeartbeatMark) -> WeightsRecord {
    let proofs = proofs.iter().map(|(version, age_ms)| (WeightsVersion(*version), *age_ms));
    WeightsRecord { model: model(), target: WeightsVersion(target), proofs: proofs.collect(), mark }
}

fn proof(version: u64, proven_at: u64) -> WeightsProof {
    WeightsProof { version: WeightsVersion(version), proven_at: BootTime(proven_at) }
}

struct TimeCase {
    name: &'static str,
    /// Epoch, offset and number of servers when the record was written, and now.
    marks: [(u64, u64, u64); 2],
    max_time_ms: Option<u64>,
}

const TIME_CASES: &[TimeCase] = &[
    TimeCase {
        name: "no record since",
        marks: [(0, 40, 10), (0, 40, 10)],
        max_time_ms: Some(1_100),
    },
    TimeCase {
        name: "three of each server",
        marks: [(0, 40, 10), (0, 70, 10)],
        max_time_ms: Some(4_400),
    },
    TimeCase {
        name: "a part of a round",
        marks: [(0, 40, 10), (0, 45, 10)],
        max_time_ms: Some(1_650),
    },
    TimeCase { name: "rounded up", marks: [(0, 40, 3), (0, 41, 3)], max_time_ms: Some(1_467) },
    TimeCase {
        name: "fewer servers now",
        marks: [(0, 40, 10), (0, 60, 5)],
        max_time_ms: Some(5_500),
    },
    TimeCase {
        name: "more servers now",
        marks: [(0, 40, 5), (0, 60, 10)],
        max_time_ms: Some(5_500),
    },
    TimeCase { name: "a later epoch", marks: [(0, 40, 10), (1, 60, 10)], max_time_ms: None },
    TimeCase { name: "an earlier epoch", marks: [(1, 40, 10), (0, 60, 10)], max_time_ms: None },
    TimeCase { name: "before the record", marks: [(0, 40, 10), (0, 39, 10)], max_time_ms: None },
    TimeCase { name: "no servers then", marks: [(0, 40, 0), (0, 60, 10)], max_time_ms: None },
    TimeCase { name: "no servers now", marks: [(0, 40, 10), (0, 60, 0)], max_time_ms: None },
    TimeCase {
        name: "numbers that no store assigns",
        marks: [(0, 0, u64::MAX), (0, u64::MAX, u64::MAX)],
        max_time_ms: None,
    },
];

#[test]
fn heartbeats_bound_the_time_since_a_record() {
    for case in TIME_CASES {
        let [then, now] = case.marks.map(|(epoch, offset, servers)| mark(epoch, offset, servers));
        let max_time = then.max_time_until(&now, INTERVAL);
        assert_eq!(max_time, case.max_time_ms.map(Duration::from_millis), "{}", case.name);
    }
}

/// Guards against weights that seem younger than they are. Servers write at any times, at least once in each of their
/// intervals; a host may read the topic at any moment.
#[test]
fn the_time_since_a_record_is_never_underestimated() {
    fn holds(phases: Vec<(u16, u8)>, read_after_ms: u16) -> bool {
        let (servers, read_after_ms) = (phases.len() as u64, u64::from(read_after_ms));
        let writes_of = |(phase, shortening): (u16, u8)| {
            let interval_ms = MAX_INTERVAL_MS - u64::from(shortening);
            let first_ms = u64::from(phase) % interval_ms;
            read_after_ms.checked_sub(first_ms).map_or(0, |rest| rest / interval_ms + 1)
        };
        let records: u64 = phases.into_iter().map(writes_of).sum();
        let then = mark(0, 7, servers);
        let max_time = then.max_time_until(&mark(0, 7 + records, servers), INTERVAL);
        max_time.is_none_or(|max_time| u128::from(read_after_ms) <= max_time.as_millis())
    }
    let check: fn(Vec<(u16, u8)>, u16) -> bool = holds;
    QuickCheck::new().rng(Gen::from_size_and_seed(30, 57)).tests(2_000).quickcheck(check);
}

struct EstimateCase {
    name: &'static str,
    now: u64,
    /// Versions and times; `None` if nothing can be told yet.
    expected: Option<&'static [(u64, u64)]>,
    end: (u64, u64, u64),
}

const ESTIMATE_CASES: &[EstimateCase] = &[
    EstimateCase {
        name: "each age and the time since",
        now: 100_000,
        end: (0, 60, 10),
        expected: Some(&[(1, 92_700), (2, 96_300)]),
    },
    EstimateCase {
        name: "the machine was booted after one was proven",
        now: 7_000,
        end: (0, 60, 10),
        expected: Some(&[(2, 3_300)]),
    },
    EstimateCase {
        name: "the machine was booted after all were proven",
        now: 500,
        end: (0, 60, 10),
        expected: Some(&[]),
    },
    EstimateCase {
        name: "the store was restored from a copy",
        now: 100_000,
        end: (1, 60, 10),
        expected: None,
    },
];

/// Guards against ages that are cut off at the boot of a machine, which would make old weights young.
#[test]
fn estimates_count_from_the_record_and_its_age() {
    let record = record(2, &[(1, 4_000), (2, 400)], mark(0, 40, 10));
    for case in ESTIMATE_CASES {
        let (epoch, offset, servers) = case.end;
        let now = BootTime(case.now);
        let estimates = record.estimates(&mark(epoch, offset, servers), now, INTERVAL);
        let proofs = |expected: &[(u64, u64)]| -> Vec<WeightsProof> {
            expected.iter().map(|(version, at)| proof(*version, *at)).collect()
        };
        assert_eq!(estimates, case.expected.map(proofs), "{}", case.name);
    }
}

#[test]
fn an_age_beyond_all_clocks_yields_no_estimate() {
    let record = record(2, &[(1, u64::MAX)], mark(0, 40, 10));
    assert_eq!(record.estimates(&mark(0, 41, 10), NOW, INTERVAL), Some(Vec::new()));
}

struct CoverCase {
    name: &'static str,
    /// Target and proven versions of the later record.
    target: u64,
    proofs: &'static [(u64, u64)],
    epoch: u64,
    is_covered: bool,
}

const COVER_CASES: &[CoverCase] = &[
    CoverCase {
        name: "the same",
        target: 3,
        proofs: &[(1, 9), (2, 5), (3, 1)],
        epoch: 0,
        is_covered: true,
    },
    CoverCase {
        name: "a bound has passed",
        target: 3,
        proofs: &[(2, 5)],
        epoch: 0,
        is_covered: true,
    },
    CoverCase { name: "a newer target", target: 4, proofs: &[(2, 5)], epoch: 0, is_covered: false },
    CoverCase {
        name: "a version without a proof",
        target: 3,
        proofs: &[(0, 9), (2, 5)],
        epoch: 0,
        is_covered: false,
    },
    CoverCase {
        name: "the read of its own target",
        target: 2,
        proofs: &[(1, 9), (2, 1)],
        epoch: 0,
        is_covered: true,
    },
    CoverCase {
        name: "a restored store",
        target: 3,
        proofs: &[(2, 5)],
        epoch: 1,
        is_covered: false,
    },
];

/// Guards against a call to the store for each look at the proofs, and against versions that no record tells of.
#[test]
fn a_record_is_repeated_only_for_what_is_new() {
    let known = record(3, &[(1, 9), (2, 5)], mark(0, 40, 10));
    for case in COVER_CASES {
        let later = record(case.target, case.proofs, mark(case.epoch, 90, 10));
        assert_eq!(known.covers(&later), case.is_covered, "{}", case.name);
    }
}

/// Guards against a host that passes on nothing of what it has from the store itself, and against telling it of times
/// at which a newer version was named.
#[test]
fn running_proofs_include_estimates_where_there_is_no_proof() {
    let mut weights = WeightsTable::default();
    weights.add_target(&model(), WeightsVersion(4), None);
    weights.add_estimate(&model(), proof(0, 91_000));
    weights.add_estimate(&model(), proof(1, 95_000));
    weights.add_estimate(&model(), proof(2, 98_500));
    weights.add_estimate(&model(), proof(3, 99_500));
    weights.add_estimate(&model(), proof(4, 99_900));
    let estimated = [proof(1, 95_000), proof(2, 98_500), proof(3, 99_500)];
    assert_eq!(weights.running_proofs(&model(), BOUND, NOW), estimated);
    weights.add_proof(&model(), proof(3, 98_000));
    let merged = [proof(1, 95_000), proof(2, 98_000), proof(3, 98_000)];
    assert_eq!(weights.running_proofs(&model(), BOUND, NOW), merged);
    assert!(weights.running_proofs(&ModelName::new("other"), BOUND, NOW).is_empty());
}
