//! What a host hands on to others keeps to a share of its link.

use std::time::Duration;

use fulmargate_dispatch::ForwardBudget;
use fulmargate_dispatch::SubscriberStore;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use tokio::time::Instant;

/// A link of 10 Mbit/s, in bytes a second.
const NARROW: f64 = 1_250_000.0;
/// One of 200 Mbit/s.
const WIDE: f64 = 25_000_000.0;
const CONFIGURATION: usize = 397_000;
const PAGE: usize = 16_000;
const IN_REACH: SubscriberStore = SubscriberStore::InReach;
const OUT_OF_REACH: SubscriberStore = SubscriberStore::OutOfReach;

struct BurstCase {
    name: &'static str,
    link: f64,
    bytes: usize,
    store: SubscriberStore,
    /// How many of 14 that ask at the same moment are given it.
    given: usize,
}

const BURSTS: &[BurstCase] = &[
    BurstCase {
        name: "a large configuration on a narrow link",
        link: NARROW,
        bytes: CONFIGURATION,
        store: IN_REACH,
        given: 0,
    },
    BurstCase {
        name: "and on a wide one",
        link: WIDE,
        bytes: CONFIGURATION,
        store: IN_REACH,
        given: 3,
    },
    BurstCase {
        name: "a large configuration for those without the store",
        link: NARROW,
        bytes: CONFIGURATION,
        store: OUT_OF_REACH,
        given: 1,
    },
    BurstCase {
        name: "pages of the servers' list at once",
        link: NARROW,
        bytes: PAGE,
        store: IN_REACH,
        given: 7,
    },
    BurstCase {
        name: "a small configuration",
        link: NARROW,
        bytes: 8_000,
        store: IN_REACH,
        given: 14,
    },
    BurstCase { name: "no records", link: NARROW, bytes: 0, store: IN_REACH, given: 14 },
];

/// All hosts of a zone ask their reader for the same records in the moment when it has them.
#[test]
fn what_goes_at_once_is_a_tenth_of_a_second_of_the_link() {
    for case in BURSTS {
        let now = Instant::now();
        let mut budget = ForwardBudget::new(case.link, now);
        let given = (0..14).filter(|_| budget.try_take(case.bytes, case.store, now)).count();
        assert_eq!(given, case.given, "{}", case.name);
    }
}

/// A host is refused the servers' list again and again and reads the store for it.
/// What is lent to small answers is used up by a large zone's pages, and nothing is left after them. Pages
/// of 14 hosts, each asked for every 0.7 s, fit in the share of a narrow link.
#[test]
fn usual_pages_are_given_on_and_on() {
    let mut now = Instant::now();
    let mut budget = ForwardBudget::new(NARROW, now);
    for turn in 0..1_000 {
        assert!(budget.try_take(PAGE - 1_000, IN_REACH, now), "page {turn}");
        now += Duration::from_millis(50);
    }
}

/// A host that cannot reach the store serves an old configuration for good.
/// Its reader's burst is smaller than the new one, so that it is refused each time it asks. It gets it as
/// soon as the budget owes nothing; the next one waits until the first is made up for.
#[test]
fn without_the_store_a_large_answer_comes_in_its_turn() {
    let start = Instant::now();
    let mut budget = ForwardBudget::new(NARROW, start);
    assert!(!budget.try_take(CONFIGURATION, IN_REACH, start));
    assert!(budget.try_take(CONFIGURATION, OUT_OF_REACH, start));
    assert!(budget.left() < 0);
    assert!(budget.try_take(0, IN_REACH, start), "a proof goes beside it");
    let soon = start + Duration::from_millis(1_000);
    assert!(!budget.try_take(CONFIGURATION, OUT_OF_REACH, soon));
    let later = start + Duration::from_millis(1_100);
    assert!(budget.try_take(CONFIGURATION, OUT_OF_REACH, later));
}

/// A host that cannot reach the store sends new requests to a server that has long drained.
/// Its reader makes up for a large answer and refuses even the small pages of the servers' list, which this
/// host reads nowhere else. Those always go to such a host; one that has the store waits for them there.
#[test]
fn small_pages_go_to_those_without_the_store() {
    let start = Instant::now();
    let mut budget = ForwardBudget::new(NARROW, start);
    assert!(budget.try_take(CONFIGURATION, OUT_OF_REACH, start));
    assert!(!budget.try_take(PAGE, IN_REACH, start));
    assert!(budget.try_take(PAGE, OUT_OF_REACH, start));
    let owed = NARROW * 0.05 - (CONFIGURATION + PAGE) as f64;
    assert_eq!(budget.left(), owed as i64, "they count");
}

/// A reader's link is full although each answer alone was allowed.
/// Small and large ones come in any order and at any pace. From any moment on, what has gone is the share
/// of the time, a tenth of a second of the link, and no more.
#[test]
fn no_order_of_answers_takes_more_than_the_share() {
    fn property(questions: Vec<(u16, u8)>) -> bool {
        let start = Instant::now();
        let mut budget = ForwardBudget::new(NARROW, start);
        let mut now = start;
        let mut given: Vec<(Instant, usize)> = Vec::new();
        for (bytes, pause) in questions {
            now += Duration::from_millis(u64::from(pause) / 4);
            let bytes = usize::from(bytes);
            if budget.try_take(bytes, IN_REACH, now) {
                given.push((now, bytes));
            }
        }
        let keeps_from = |begin: usize| {
            let since = given[begin].0;
            let mut sum = 0.0;
            given[begin..].iter().all(|(at, bytes)| {
                sum += *bytes as f64;
                let passed = at.saturating_duration_since(since).as_secs_f64();
                sum <= NARROW * (0.25 * passed + 0.1) + 1.0
            })
        };
        (0..given.len()).all(keeps_from)
    }
    QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(600, 11))
        .quickcheck(property as fn(Vec<(u16, u8)>) -> bool);
}
