//! Limits in the platform's store: which router writes them, and what a router that starts knows.

mod support;

use std::time::Duration;

use fulmargate_admission::LimitReport;
use fulmargate_admission::NamedLimit;
use fulmargate_admission::ServerLimits;
use fulmargate_admission::StoredLimit;
use fulmargate_admission::StoredLimitSlot;
use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use quickcheck::TestResult;
use quickcheck::quickcheck;
use support::server_limit_simulation::limit_conf;
use tokio::time::Instant;

const SERVER: u64 = 7;
const OTHER_SERVER: u64 = 7 + 64;
const REPORT_DELAY: Duration = Duration::from_millis(100);
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Longer than the delay before any router writes in place of another.
const REPAIR_TIME: Duration = Duration::from_secs(17);

fn host(number: usize) -> HostName {
    HostName::new(&format!("entry-{number}"))
}

fn routers(count: usize, now: Instant) -> Vec<ServerLimits> {
    let router = |number: usize| {
        let mut limits = ServerLimits::new(host(number), number as u16, limit_conf());
        limits.set_routers((0..count).map(|peer| (host(peer), ZoneName::new("north"))), now);
        limits
    };
    (0..count).map(router).collect()
}

fn exchange_reports(routers: &mut [ServerLimits], now: Instant) {
    let reports: Vec<LimitReport> =
        routers.iter_mut().map(|router| router.take_report(now)).collect();
    for (from, report) in reports.iter().enumerate() {
        routers.iter_mut().for_each(|router| {
            router.receive(&host(from), report, |_| true, now);
        });
    }
}

fn observe(limits: &mut ServerLimits, named: NamedLimit, now: Instant) {
    limits.observe(SERVER, named, now, now);
}

fn record_of(entries: &[(u64, f64)]) -> StoredLimitSlot {
    let entry = |(server, rate_per_s): &(u64, f64)| StoredLimit {
        server: *server,
        rate_per_s: *rate_per_s,
    };
    StoredLimitSlot { slot: 7, entries: entries.iter().map(entry).collect() }
}

/// Guards against a router that sends a first request to a server whose limit is used up.
#[test]
fn a_stored_limit_applies_before_the_first_send() {
    let now = Instant::now();
    let mut limits = routers(2, now).remove(0);
    limits.read_stored(&record_of(&[(SERVER, 1.0), (OTHER_SERVER, 2.0)]), now);
    let learned = limits.apply_stored(|server| server == SERVER, now);
    assert_eq!(learned.len(), 1, "only of listed servers");
    assert!(limits.admit(SERVER, REPORT_DELAY, now).is_err());
    let learned = limits.apply_stored(|_| true, now);
    assert_eq!(learned.len(), 1, "of the server that is listed later");
    assert_eq!(limits.named_rate(OTHER_SERVER), Some(2.0));
}

/// Guards against an outdated record that goes before what a server says now.
#[test]
fn a_response_replaces_a_stored_limit() {
    let now = Instant::now();
    for (named, expected) in [
        (NamedLimit::PerSecond(3.0), Some(3.0)),
        (NamedLimit::PerSecond(0.5), Some(0.5)),
        (NamedLimit::Absent, None),
    ] {
        let mut limits = routers(2, now).remove(0);
        limits.read_stored(&record_of(&[(SERVER, 1.0)]), now);
        limits.apply_stored(|_| true, now);
        observe(&mut limits, named, now);
        assert_eq!(limits.named_rate(SERVER), expected, "{named:?}");
        limits.read_stored(&record_of(&[(SERVER, 1.0)]), now);
        limits.apply_stored(|_| true, now);
        assert_eq!(limits.named_rate(SERVER), expected, "{named:?}, after the record came again");
    }
}

/// Guards against figures of a faulty router that set a limit for all that start.
#[test]
fn records_out_of_range_are_ignored() {
    let now = Instant::now();
    let mut limits = routers(2, now).remove(0);
    for rate in [-1.0, f64::NAN, f64::INFINITY] {
        limits.read_stored(&record_of(&[(SERVER, rate)]), now);
        assert_eq!(limits.apply_stored(|_| true, now), [], "{rate}");
    }
    let record = StoredLimitSlot { slot: 200, ..record_of(&[(SERVER, 1.0)]) };
    limits.read_stored(&record, now);
    assert_eq!(limits.apply_stored(|_| true, now), [], "an unknown key");
}

/// Guards against a lifted limit that routers find in the store when they start.
#[test]
fn a_lifted_limit_leaves_the_store() {
    let start = Instant::now();
    let mut limits = routers(1, start).remove(0);
    observe(&mut limits, NamedLimit::PerSecond(1.0), start);
    assert_eq!(limits.take_due_writes(start), [record_of(&[(SERVER, 1.0)])]);
    let later = start + REPAIR_TIME;
    observe(&mut limits, NamedLimit::Absent, later);
    assert_eq!(limits.take_due_writes(later), [record_of(&[])]);
    assert_eq!(limits.take_due_writes(later + REPAIR_TIME), []);
}

/// Guards against a store that each router of a large fleet writes to, and one that no router writes to.
#[test]
fn one_router_writes_and_the_others_only_in_its_place() {
    let start = Instant::now();
    let mut routers = routers(30, start);
    exchange_reports(&mut routers, start);
    observe(&mut routers[0], NamedLimit::PerSecond(1.0), start);
    let start = start + WRITE_INTERVAL;
    exchange_reports(&mut routers, start);
    let writers: Vec<usize> = (0..routers.len())
        .filter(|router| !routers[*router].take_due_writes(start).is_empty())
        .collect();
    assert_eq!(writers.len(), 1);
    let mut writes = 0;
    let mut now = start;
    while now < start + REPAIR_TIME {
        now += WRITE_INTERVAL;
        exchange_reports(&mut routers, now);
        for number in 0..routers.len() {
            let records = routers[number].take_due_writes(now);
            writes += records.len();
            for record in &records {
                routers.iter_mut().for_each(|router| router.read_stored(record, now));
            }
        }
    }
    assert_eq!(writes, 1, "the record of the first writer was lost, and one other writes it");
}

/// Guards against a restored store that lacks limits from then on.
#[test]
fn a_record_that_the_store_has_lost_is_written_again() {
    let start = Instant::now();
    let mut limits = routers(1, start).remove(0);
    observe(&mut limits, NamedLimit::PerSecond(1.0), start);
    assert_eq!(limits.take_due_writes(start).len(), 1);
    limits.retain_stored(|_| false);
    assert_eq!(limits.take_due_writes(start + REPAIR_TIME).len(), 1);
}

/// Guards against a failed write that is never tried again.
#[test]
fn a_failed_write_is_tried_again() {
    let start = Instant::now();
    let mut limits = routers(1, start).remove(0);
    observe(&mut limits, NamedLimit::PerSecond(1.0), start);
    let records = limits.take_due_writes(start);
    limits.write_failed(&records);
    assert_eq!(limits.take_due_writes(start + REPAIR_TIME), records);
}

/// Guards against two routers with different knowledge that overwrite each other's records for ever.
#[test]
fn routers_that_know_different_limits_write_once_each() {
    let start = Instant::now();
    let mut routers = routers(2, start);
    observe(&mut routers[0], NamedLimit::PerSecond(1.0), start);
    observe(&mut routers[1], NamedLimit::PerSecond(2.0), start);
    let mut writes = 0;
    let mut now = start;
    while now < start + Duration::from_secs(120) {
        now += WRITE_INTERVAL;
        for number in 0..2 {
            for record in routers[number].take_due_writes(now) {
                writes += 1;
                routers[1 - number].read_stored(&record, now);
            }
        }
    }
    assert!((1..=2).contains(&writes), "{writes} writes");
}

quickcheck! {
    /// Whatever a server names, and however often, the store gets few records, and the newest in the end.
    fn limits_that_change_often_are_written_now_and_then(rates: Vec<Option<u8>>) -> TestResult {
        if rates.len() < 2 {
            return TestResult::discard();
        }
        let start = Instant::now();
        let mut limits = routers(1, start).remove(0);
        let mut stored = record_of(&[]);
        let mut writes = 0;
        let mut now = start;
        for rate in &rates {
            now += Duration::from_millis(100);
            let named = rate.map_or(NamedLimit::Absent, |rate| NamedLimit::PerSecond(f64::from(rate)));
            observe(&mut limits, named, now);
            for record in limits.take_due_writes(now) {
                writes += 1;
                stored = record;
            }
        }
        let elapsed_s = now.duration_since(start).as_secs() as usize;
        for record in limits.take_due_writes(now + REPAIR_TIME) {
            stored = record;
        }
        let expected: Vec<(u64, f64)> = limits.named_rate(SERVER).map(|rate| (SERVER, rate)).into_iter().collect();
        TestResult::from_bool(writes <= 1 + elapsed_s / 5 && stored == record_of(&expected))
    }
}
