//! The budget of repeats and the book of requests that crash servers.

mod support;

use std::time::Duration;

use fulmargate_dispatch::CrashConf;
use fulmargate_dispatch::CrashTracker;
use fulmargate_dispatch::RepeatBudget;
use fulmargate_dispatch::RepeatConf;
use fulmargate_names::ServiceName;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::key;
use tokio::time::Instant;

const CONF: RepeatConf = RepeatConf { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };

fn service() -> ServiceName {
    ServiceName::new("engines")
}

/// A service that fails every send gets twice the traffic from callers' repeats alone.
/// Routers that each allowed all of the slack would multiply it by their number.
/// In no window do the routers together send more than the ratio of the firsts and the slack.
#[test]
fn routers_together_keep_the_budget() {
    fn property(traffic: Vec<(u8, u8)>) -> bool {
        const ROUTERS: usize = 6;
        let start = Instant::now();
        let mut routers: Vec<RepeatBudget> =
            (0..ROUTERS).map(|_| RepeatBudget::new(CONF, start)).collect();
        routers.iter_mut().for_each(|router| router.set_hosts(ROUTERS));
        let (mut firsts, mut repeats) = (Vec::new(), Vec::new());
        let mut now = start;
        for (who, pause) in traffic {
            now += Duration::from_millis(u64::from(pause) * 4);
            let router = &mut routers[usize::from(who) % ROUTERS];
            router.first(&service(), now);
            firsts.push(now);
            while router.try_repeat(&service(), now) {
                repeats.push(now);
            }
        }
        let within = |times: &[Instant], end: Instant, length: Duration| {
            times.iter().filter(|at| **at <= end && end < **at + length).count() as f64
        };
        repeats.iter().all(|end| {
            // Firsts of the window before count, too, where they are more.
            let counted = within(&firsts, *end, CONF.window + CONF.window / 20);
            let sent = within(&repeats, *end, CONF.window);
            sent <= CONF.ratio * counted + CONF.slack
        })
    }
    QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(900, 3))
        .quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// All routers restart at once while a service fails; none knows what was spent before.
#[test]
fn a_new_process_has_no_slack() {
    let start = Instant::now();
    let mut budget = RepeatBudget::new(CONF, start);
    budget.set_hosts(6);
    assert!(!budget.try_repeat(&service(), start + Duration::from_secs(9)));
    assert!(budget.try_repeat(&service(), start + Duration::from_secs(11)));
}

#[test]
fn services_have_budgets_of_their_own() {
    let start = Instant::now();
    let later = start + Duration::from_secs(60);
    let mut budget = RepeatBudget::new(CONF, start);
    budget.set_hosts(6);
    while budget.try_repeat(&service(), later) {}
    assert!(budget.try_repeat(&ServiceName::new("desk"), later));
}

struct CrashCase {
    name: &'static str,
    /// Servers that crashed under the request, in order.
    crashes: &'static [&'static str],
    convicted: bool,
}

const CRASHES: &[CrashCase] = &[
    CrashCase { name: "one crash is chance", crashes: &["a"], convicted: false },
    CrashCase { name: "one crash told by many", crashes: &["a", "a", "a"], convicted: false },
    CrashCase { name: "three servers", crashes: &["a", "b", "c"], convicted: true },
];

#[test]
fn convictions() {
    let now = Instant::now();
    for case in CRASHES {
        let mut book = CrashTracker::new(CrashConf::default());
        for server in case.crashes {
            book.note(7, key(server), now);
        }
        assert_eq!(book.is_convicted(7), case.convicted, "{}", case.name);
        assert!(!book.is_convicted(8), "{}: another request", case.name);
    }
}

#[test]
fn a_completed_request_is_acquitted() {
    let now = Instant::now();
    let mut book = CrashTracker::new(CrashConf::default());
    for server in ["a", "b", "c"] {
        book.note(7, key(server), now);
    }
    book.acquit(7);
    assert!(!book.is_convicted(7));
}
