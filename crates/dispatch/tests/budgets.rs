//! The retry budget, and the tracking of requests that crash servers.

use std::time::Duration;

use fulmargate_dispatch::RetryBudget;
use fulmargate_dispatch::RetryConf;
use fulmargate_names::ServiceName;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use tokio::time::Instant;

const CONF: RetryConf = RetryConf { ratio: 0.2, slack: 52.0, window: Duration::from_secs(10) };

fn service() -> ServiceName {
    ServiceName::new("engines")
}

/// Guards against retry storms: in no window may all routers together send more retries than the ratio of
/// their first sends plus the slack.
#[test]
fn all_routers_together_stay_within_the_retry_budget() {
    fn property(traffic: Vec<(u8, u8)>) -> bool {
        const ROUTERS: usize = 6;
        let start = Instant::now();
        let mut routers: Vec<RetryBudget> =
            (0..ROUTERS).map(|_| RetryBudget::new(CONF, start)).collect();
        routers.iter_mut().for_each(|router| router.set_hosts(ROUTERS));
        let (mut first_sends, mut retries) = (Vec::new(), Vec::new());
        let mut now = start;
        for (router, delay) in traffic {
            now += Duration::from_millis(u64::from(delay) * 4);
            let router = &mut routers[usize::from(router) % ROUTERS];
            router.record_first_send(&service(), now);
            first_sends.push(now);
            while router.try_retry(&service(), now) {
                retries.push(now);
            }
        }
        let within = |times: &[Instant], end: Instant, length: Duration| {
            times.iter().filter(|at| **at <= end && end < **at + length).count() as f64
        };
        retries.iter().all(|end| {
            // The router's window may be off by one bucket.
            let counted = within(&first_sends, *end, CONF.window + CONF.window / 20);
            let sent = within(&retries, *end, CONF.window);
            sent <= CONF.ratio * counted + CONF.slack
        })
    }
    QuickCheck::new()
        .tests(60)
        .rng(Gen::from_size_and_seed(900, 3))
        .quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against a retry storm when all routers restart during an outage.
#[test]
fn a_new_process_has_no_slack_in_its_first_window() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(CONF, start);
    budget.set_hosts(6);
    assert!(!budget.try_retry(&service(), start + Duration::from_secs(9)));
    assert!(budget.try_retry(&service(), start + Duration::from_secs(11)));
}

#[test]
fn each_service_has_its_own_budget() {
    let start = Instant::now();
    let later = start + Duration::from_secs(60);
    let mut budget = RetryBudget::new(CONF, start);
    budget.set_hosts(6);
    while budget.try_retry(&service(), later) {}
    assert!(budget.try_retry(&ServiceName::new("desk"), later));
}
