//! Leases that their holders give up when they stop.

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::FleetState;
use fulmargate_dispatch::LeaseKeeper;
use fulmargate_dispatch::LeaseStep;
use fulmargate_dispatch::LinkRank;
use fulmargate_dispatch::LogPosition;
use fulmargate_names::FencingNumber;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::LogOffset;
use fulmargate_names::StoreEpoch;
use fulmargate_names::ZoneName;
use quickcheck::Gen;
use quickcheck::QuickCheck;

const LEASE_DURATION: Duration = Duration::from_millis(3_000);
/// Time within which another host goes on after a planned stop.
const TAKEOVER_TIME: Duration = Duration::from_millis(300);
const HOSTS: [&str; 3] = ["h0", "h1", "h2"];
const RELEASED_AT: BootTime = BootTime(1_500);

fn lease_record(host: &str, incarnation: u64) -> FleetRecord {
    let (host, incarnation) = (HostName::new(host), Incarnation(incarnation));
    FleetRecord::Lease { host, incarnation, epoch: StoreEpoch(0) }
}

fn release_record(host: &str, incarnation: u64, fence: u64) -> FleetRecord {
    let (host, incarnation) = (HostName::new(host), Incarnation(incarnation));
    let fence = FencingNumber(fence);
    FleetRecord::LeaseReleased { host, incarnation, fence, epoch: StoreEpoch(0) }
}

fn joined_record(host: &str) -> FleetRecord {
    FleetRecord::Joined {
        host: HostName::new(host),
        incarnation: Incarnation(1),
        address: "127.0.0.1:1".parse().expect("valid address"),
        zone: ZoneName::new("north"),
        link_kbps: 20_000,
        epoch: StoreEpoch(0),
    }
}

fn position(offset: u64) -> LogPosition {
    LogPosition { epoch: StoreEpoch(0), offset: LogOffset(offset) }
}

/// The state after reading a topic in which these hosts have joined.
fn fleet_of(hosts: &[&str]) -> FleetState {
    let mut fleet_state = FleetState::default();
    for host in hosts {
        append(&mut fleet_state, &joined_record(host), BootTime(0));
    }
    fleet_state
}

fn append(fleet_state: &mut FleetState, record: &FleetRecord, now: BootTime) {
    fleet_state.apply(fleet_state.end().offset, record, now);
}

fn step(host: &str, fleet_state: &FleetState, now: BootTime) -> LeaseStep {
    let keeper = LeaseKeeper::new(HostName::new(host), LEASE_DURATION);
    keeper.step(fleet_state, BootTime(0), LinkRank::Equal, now)
}

fn may_append(host: &str, fleet_state: &FleetState, now: BootTime) -> bool {
    matches!(step(host, fleet_state, now), LeaseStep::Append { .. })
}

struct ReleaseCase {
    name: &'static str,
    /// Records after those of the three hosts, from offset 3.
    records: Vec<FleetRecord>,
    /// Whether others may take the lease without waiting for its expiry.
    is_released: bool,
}

fn release_cases() -> Vec<ReleaseCase> {
    let lease = lease_record("h1", 7);
    vec![
        ReleaseCase {
            name: "the holder has released it",
            records: vec![lease.clone(), release_record("h1", 7, 3)],
            is_released: true,
        },
        ReleaseCase {
            name: "the release is read twice",
            records: vec![lease.clone(), release_record("h1", 7, 3), release_record("h1", 7, 3)],
            is_released: true,
        },
        ReleaseCase {
            name: "a listing has the release only",
            records: vec![release_record("h1", 7, 2)],
            is_released: true,
        },
        ReleaseCase { name: "no release", records: vec![lease.clone()], is_released: false },
        ReleaseCase {
            name: "a release of an earlier incarnation",
            records: vec![lease.clone(), release_record("h1", 6, 3)],
            is_released: false,
        },
        ReleaseCase {
            name: "a release of another host",
            records: vec![lease.clone(), release_record("h2", 7, 3)],
            is_released: false,
        },
        ReleaseCase {
            name: "a release of an older lease of the same process",
            records: vec![lease.clone(), lease.clone(), release_record("h1", 7, 3)],
            is_released: false,
        },
        ReleaseCase {
            name: "a release that is read after the next lease",
            records: vec![lease.clone(), lease_record("h2", 7), release_record("h1", 7, 3)],
            is_released: false,
        },
        ReleaseCase {
            name: "a lease after the release",
            records: vec![lease, release_record("h1", 7, 3), lease_record("h2", 7)],
            is_released: false,
        },
    ]
}

/// Guards against hosts that wait for the expiry of a lease whose holder has stopped, and against a release that ends
/// a lease which is still held.
#[test]
fn only_the_newest_lease_is_released_by_its_holder() {
    for case in release_cases() {
        let mut fleet_state = fleet_of(&HOSTS);
        case.records.iter().for_each(|record| append(&mut fleet_state, record, RELEASED_AT));
        let soon = RELEASED_AT.after(TAKEOVER_TIME);
        assert_eq!(may_append("h0", &fleet_state, soon), case.is_released, "{}", case.name);
        let expired = RELEASED_AT.after(LEASE_DURATION * 2);
        assert!(may_append("h0", &fleet_state, expired), "{}: after the expiry", case.name);
    }
}

/// Guards against all hosts appending at once after a release: only one can succeed.
#[test]
fn hosts_do_not_all_append_after_a_release() {
    let names: Vec<String> = (0..90).map(|number| format!("host-{number}")).collect();
    let hosts: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut fleet_state = fleet_of(&hosts);
    let lease = lease_record("host-0", 1);
    let fence = fleet_state.end().fence();
    append(&mut fleet_state, &lease, BootTime(1_000));
    append(&mut fleet_state, &release_record("host-0", 1, fence.0), RELEASED_AT);
    let appending = |elapsed_ms: u64| {
        let now = RELEASED_AT.after(Duration::from_millis(elapsed_ms));
        hosts.iter().filter(|host| may_append(host, &fleet_state, now)).count()
    };
    assert!((1..=15).contains(&appending(100)), "{} hosts append", appending(100));
    assert_eq!(appending(1_850), 89, "all but the last holder");
}

struct ReturnCase {
    name: &'static str,
    hosts: &'static [&'static str],
    elapsed: Duration,
    may_append: bool,
}

const RETURN_CASES: &[ReturnCase] = &[
    ReturnCase {
        name: "others are there",
        hosts: &HOSTS,
        elapsed: Duration::from_millis(2_900),
        may_append: false,
    },
    ReturnCase {
        name: "others are there, but have not taken it",
        hosts: &HOSTS,
        elapsed: Duration::from_millis(3_100),
        may_append: true,
    },
    ReturnCase {
        name: "there is no other host",
        hosts: &["h1"],
        elapsed: Duration::from_millis(100),
        may_append: true,
    },
];

/// Guards against holders that take turns within the length of a lease: a host that has stopped starts again and takes
/// the lease back.
#[test]
fn a_host_that_has_released_the_lease_lets_others_take_it() {
    for case in RETURN_CASES {
        let mut fleet_state = fleet_of(case.hosts);
        let fence = fleet_state.end().fence();
        append(&mut fleet_state, &lease_record("h1", 7), BootTime(1_000));
        append(&mut fleet_state, &release_record("h1", 7, fence.0), RELEASED_AT);
        let now = RELEASED_AT.after(case.elapsed);
        assert_eq!(may_append("h1", &fleet_state, now), case.may_append, "{}", case.name);
    }
}

/// A holder that stops, and an order of a task that runs late. Guards against an order that leaves after the release.
#[test]
fn a_dropped_lease_gives_no_fencing_number() {
    let mut fleet_state = fleet_of(&HOSTS);
    let mut holder = LeaseKeeper::new(HostName::new("h1"), LEASE_DURATION);
    holder.record_append(fleet_state.end().fence(), BootTime(1_000));
    append(&mut fleet_state, &lease_record("h1", 7), BootTime(1_010));
    assert_eq!(holder.usable_fence(BootTime(1_100)), Some(FencingNumber(3)));
    holder.drop_lease();
    assert_eq!(holder.usable_fence(BootTime(1_100)), None);
    let released = fleet_state.lease_release(&HostName::new("h1"), Incarnation(7));
    assert_eq!(released, Some((position(4), release_record("h1", 7, 3))));
}

/// Guards against a release by a process that is not the newest holder: listings would lose the lease of another one.
#[test]
fn only_the_newest_holder_may_release() {
    let release_of = |fleet_state: &FleetState, host: &str, incarnation: u64| {
        fleet_state.lease_release(&HostName::new(host), Incarnation(incarnation))
    };
    let mut fleet_state = fleet_of(&HOSTS);
    assert_eq!(release_of(&fleet_state, "h1", 7), None, "no lease");
    append(&mut fleet_state, &lease_record("h1", 7), BootTime(1_000));
    assert_eq!(release_of(&fleet_state, "h1", 6), None, "an earlier incarnation");
    assert_eq!(release_of(&fleet_state, "h2", 7), None, "another host");
    let released = release_of(&fleet_state, "h1", 7);
    assert!(released.is_some(), "the holder");
    append(&mut fleet_state, &release_record("h1", 7, 3), RELEASED_AT);
    assert_eq!(release_of(&fleet_state, "h1", 7), None, "it is released");
    append(&mut fleet_state, &lease_record("h2", 7), RELEASED_AT);
    assert_eq!(release_of(&fleet_state, "h1", 7), None, "another host has taken it");
}

/// The store comes back from a copy that ends with a release, without the lease that was taken after it. Guards against
/// two holders.
#[test]
fn a_restored_release_does_not_end_a_lost_lease() {
    let mut fleet_state = fleet_of(&HOSTS);
    append(&mut fleet_state, &lease_record("h1", 7), BootTime(1_000));
    append(&mut fleet_state, &release_record("h1", 7, 3), RELEASED_AT);
    append(&mut fleet_state, &lease_record("h2", 7), BootTime(1_600));
    let restored_at = BootTime(2_000);
    fleet_state.begin_epoch(StoreEpoch(1), restored_at);
    fleet_state.skip_to(LogOffset(4));
    append(&mut fleet_state, &release_record("h1", 7, 3), restored_at);
    assert!(!may_append("h0", &fleet_state, restored_at.after(Duration::from_millis(2_900))));
    assert!(may_append("h0", &fleet_state, restored_at.after(Duration::from_millis(3_200))));
    assert_eq!(fleet_state.lease_release(&HostName::new("h1"), Incarnation(7)), None);
}

/// A router that reads the topic and acts only when a history steps it, as if suspended in between. A stopped one
/// starts again as the next incarnation.
struct TestRouter {
    host: &'static str,
    incarnation: u64,
    is_stopping: bool,
    fleet_state: FleetState,
    keeper: LeaseKeeper,
}

/// An order that a router has sent, and the number of releases before it.
#[derive(Clone, Copy, Debug)]
struct SentOrder {
    host: &'static str,
    fence: FencingNumber,
    at: BootTime,
    releases: usize,
}

impl TestRouter {
    fn new(host: &'static str, incarnation: u64) -> TestRouter {
        let keeper = LeaseKeeper::new(HostName::new(host), LEASE_DURATION);
        let fleet_state = FleetState::default();
        TestRouter { host, incarnation, is_stopping: false, fleet_state, keeper }
    }

    /// Reads on, or lists the newest record of each key at the start.
    fn read(&mut self, topic: &[FleetRecord], now: BootTime) {
        let from = self.fleet_state.end().offset.0 as usize;
        let is_listing = from == 0;
        for (offset, record) in topic.iter().enumerate().skip(from) {
            let is_replaced =
                || topic[offset + 1..].iter().any(|later| later.key() == record.key());
            if is_listing && is_replaced() {
                continue;
            }
            self.fleet_state.apply(LogOffset(offset as u64), record, now);
        }
    }

    /// Takes the lease. Odd actions get the answer, for even ones it is lost.
    fn decide(&mut self, topic: &mut Vec<FleetRecord>, action: u8, now: BootTime) {
        if self.is_stopping || self.fleet_state.end().offset.0 == 0 {
            return;
        }
        let step = self.keeper.step(&self.fleet_state, BootTime(0), LinkRank::Equal, now);
        let LeaseStep::Append { at } = step else { return };
        if at.offset.0 != topic.len() as u64 {
            return;
        }
        topic.push(lease_record(self.host, self.incarnation));
        if action % 2 == 1 {
            self.keeper.record_append(at.fence(), now);
        }
    }

    /// Stops; later steps append the release, or find the topic's end moved.
    fn stop(&mut self, topic: &mut Vec<FleetRecord>) {
        self.is_stopping = true;
        self.keeper.drop_lease();
        let host = HostName::new(self.host);
        let release = self.fleet_state.lease_release(&host, Incarnation(self.incarnation));
        let Some((at, record)) = release else { return };
        if at.offset.0 == topic.len() as u64 {
            topic.push(record);
        }
    }
}

fn play(steps: Vec<(u8, u8, u16)>) -> Vec<SentOrder> {
    let mut routers: Vec<TestRouter> =
        HOSTS.into_iter().map(|host| TestRouter::new(host, 1)).collect();
    let mut topic: Vec<FleetRecord> = HOSTS.into_iter().map(joined_record).collect();
    let mut orders = Vec::new();
    let mut now = BootTime(10_000);
    for (router_index, action, pause) in steps {
        now = now.after(Duration::from_millis(u64::from(pause) % 150));
        let router = &mut routers[usize::from(router_index) % HOSTS.len()];
        match action % 8 {
            0 | 1 => router.read(&topic, now),
            2 | 3 => router.decide(&mut topic, action, now),
            4 => router.stop(&mut topic),
            5 if router.is_stopping => {
                *router = TestRouter::new(router.host, router.incarnation + 1);
            }
            _ => {
                let is_release =
                    |record: &&FleetRecord| matches!(record, FleetRecord::LeaseReleased { .. });
                let releases = topic.iter().filter(is_release).count();
                if let Some(fence) = router.keeper.usable_fence(now) {
                    orders.push(SentOrder { host: router.host, fence, at: now, releases });
                }
            }
        }
    }
    orders
}

/// Routers stop, release, are suspended, lose answers and start again. Guards against two routers giving orders at
/// once, and against a takeover without a release before the lease has expired.
#[test]
fn holders_do_not_overlap_when_they_stop() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        let orders = play(steps);
        orders.windows(2).all(|pair| {
            let (first, second) = (pair[0], pair[1]);
            if first.host == second.host {
                return first.fence <= second.fence;
            }
            let is_released = first.releases < second.releases;
            let has_waited = Duration::from_millis(400) <= second.at.since(first.at);
            first.fence < second.fence && (is_released || has_waited)
        })
    }
    QuickCheck::new()
        .tests(3_000)
        .rng(Gen::from_size_and_seed(500, 7))
        .quickcheck(property as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Guards against histories in which no lease is taken over after a release.
#[test]
fn histories_contain_takeovers_after_a_release() {
    let mut draws = Gen::from_size_and_seed(500, 7);
    let takeovers = (0..300).flat_map(|_| {
        let steps: Vec<(u8, u8, u16)> = quickcheck::Arbitrary::arbitrary(&mut draws);
        let orders = play(steps);
        let is_takeover = |pair: &[SentOrder]| {
            pair[0].host != pair[1].host && pair[1].at.since(pair[0].at) < LEASE_DURATION
        };
        orders
            .windows(2)
            .filter(|pair| is_takeover(pair))
            .map(|pair| pair[1].host)
            .collect::<Vec<_>>()
    });
    assert!(0 < takeovers.count(), "no lease was taken over");
}
