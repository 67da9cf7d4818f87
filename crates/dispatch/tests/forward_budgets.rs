//! Bandwidth limits of the records that a host forwards to others.

use std::time::Duration;

use fulmargate_dispatch::ForwardBudget;
use fulmargate_dispatch::StoreAccess;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use tokio::time::Instant;

/// A link of 10 Mbit/s, in bytes per second.
const NARROW_BYTES_PER_S: f64 = 1_250_000.0;
/// A link of 200 Mbit/s, in bytes per second.
const WIDE_BYTES_PER_S: f64 = 25_000_000.0;
const CONFIGURATION_BYTES: usize = 397_000;
const PAGE_BYTES: usize = 16_000;
const IN_REACH: StoreAccess = StoreAccess::Reachable;
const OUT_OF_REACH: StoreAccess = StoreAccess::Unreachable;

struct BurstCase {
    name: &'static str,
    link: f64,
    bytes: usize,
    store: StoreAccess,
    /// How many of 14 simultaneous requests are granted.
    granted: usize,
}

const BURST_CASES: &[BurstCase] = &[
    BurstCase {
        name: "a large configuration on a narrow link",
        link: NARROW_BYTES_PER_S,
        bytes: CONFIGURATION_BYTES,
        store: IN_REACH,
        granted: 0,
    },
    BurstCase {
        name: "a large configuration on a wide link",
        link: WIDE_BYTES_PER_S,
        bytes: CONFIGURATION_BYTES,
        store: IN_REACH,
        granted: 3,
    },
    BurstCase {
        name: "a large configuration for hosts without the store",
        link: NARROW_BYTES_PER_S,
        bytes: CONFIGURATION_BYTES,
        store: OUT_OF_REACH,
        granted: 1,
    },
    BurstCase {
        name: "pages of the server list",
        link: NARROW_BYTES_PER_S,
        bytes: PAGE_BYTES,
        store: IN_REACH,
        granted: 7,
    },
    BurstCase {
        name: "a small configuration",
        link: NARROW_BYTES_PER_S,
        bytes: 8_000,
        store: IN_REACH,
        granted: 14,
    },
    BurstCase {
        name: "no records",
        link: NARROW_BYTES_PER_S,
        bytes: 0,
        store: IN_REACH,
        granted: 14,
    },
];

/// All hosts of a zone request the same records at once.
#[test]
fn a_burst_is_limited_to_a_tenth_of_a_second_of_the_link() {
    for case in BURST_CASES {
        let now = Instant::now();
        let mut budget = ForwardBudget::new(case.link, now);
        let granted = (0..14).filter(|_| budget.try_take(case.bytes, case.store, now)).count();
        assert_eq!(granted, case.granted, "{}", case.name);
    }
}

/// Guards against small pages exhausting the overdraft, so that hosts have to read the store: 14
/// hosts that request a page every 0.7 s stay below the share of a narrow link.
#[test]
fn regular_pages_are_always_granted() {
    let mut now = Instant::now();
    let mut budget = ForwardBudget::new(NARROW_BYTES_PER_S, now);
    for number in 0..1_000 {
        assert!(budget.try_take(PAGE_BYTES - 1_000, IN_REACH, now), "page {number}");
        now += Duration::from_millis(50);
    }
}

/// Guards against a host without the store never getting a configuration that is larger than the
/// burst.
#[test]
fn large_answers_to_hosts_without_the_store_wait_for_refill() {
    let start = Instant::now();
    let mut budget = ForwardBudget::new(NARROW_BYTES_PER_S, start);
    assert!(!budget.try_take(CONFIGURATION_BYTES, IN_REACH, start));
    assert!(budget.try_take(CONFIGURATION_BYTES, OUT_OF_REACH, start));
    assert!(budget.available_bytes() < 0);
    assert!(budget.try_take(0, IN_REACH, start), "an answer without records is always granted");
    let before_refill = start + Duration::from_millis(1_000);
    assert!(!budget.try_take(CONFIGURATION_BYTES, OUT_OF_REACH, before_refill));
    let after_refill = start + Duration::from_millis(1_100);
    assert!(budget.try_take(CONFIGURATION_BYTES, OUT_OF_REACH, after_refill));
}

/// Guards against a host without the store missing changes of the server list, such as draining
/// servers, while its reader's budget is overdrawn.
#[test]
fn small_answers_to_hosts_without_the_store_are_always_granted() {
    let start = Instant::now();
    let mut budget = ForwardBudget::new(NARROW_BYTES_PER_S, start);
    assert!(budget.try_take(CONFIGURATION_BYTES, OUT_OF_REACH, start));
    assert!(!budget.try_take(PAGE_BYTES, IN_REACH, start));
    assert!(budget.try_take(PAGE_BYTES, OUT_OF_REACH, start));
    let expected = NARROW_BYTES_PER_S * 0.05 - (CONFIGURATION_BYTES + PAGE_BYTES) as f64;
    assert_eq!(budget.available_bytes(), expected as i64, "small answers count against the budget");
}

/// Guards against answers that are each allowed but together saturate the link: in any period, no
/// more than the share of that period and a tenth of a second of the link may be sent.
#[test]
fn no_sequence_of_answers_exceeds_the_share() {
    fn property(requests: Vec<(u16, u8)>) -> bool {
        let start = Instant::now();
        let mut budget = ForwardBudget::new(NARROW_BYTES_PER_S, start);
        let mut now = start;
        let mut granted: Vec<(Instant, usize)> = Vec::new();
        for (bytes, pause_quarter_ms) in requests {
            now += Duration::from_millis(u64::from(pause_quarter_ms) / 4);
            let bytes = usize::from(bytes);
            if budget.try_take(bytes, IN_REACH, now) {
                granted.push((now, bytes));
            }
        }
        let is_within_share = |begin: usize| {
            let since = granted[begin].0;
            let mut sum = 0.0;
            granted[begin..].iter().all(|(at, bytes)| {
                sum += *bytes as f64;
                let elapsed = at.saturating_duration_since(since).as_secs_f64();
                sum <= NARROW_BYTES_PER_S * (0.25 * elapsed + 0.1) + 1.0
            })
        };
        (0..granted.len()).all(is_within_share)
    }
    QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(600, 11))
        .quickcheck(property as fn(Vec<(u16, u8)>) -> bool);
}
