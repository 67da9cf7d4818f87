//! Lease on the orders to engines, over histories of several routers.

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
const HOSTS: [&str; 3] = ["h0", "h1", "h2"];

fn lease_record(host: &str) -> FleetRecord {
    let (host, incarnation) = (HostName::new(host), Incarnation(1));
    FleetRecord::Lease { host, incarnation, epoch: StoreEpoch(0) }
}

/// A position in the first epoch.
fn position(offset: u64) -> LogPosition {
    LogPosition { epoch: StoreEpoch(0), offset: LogOffset(offset) }
}

/// A router that reads the topic and acts only when a history steps it, as if suspended in between.
struct TestRouter {
    host: &'static str,
    fleet_state: FleetState,
    keeper: LeaseKeeper,
}

impl TestRouter {
    fn new(host: &'static str) -> TestRouter {
        let keeper = LeaseKeeper::new(HostName::new(host), LEASE_DURATION);
        TestRouter { host, fleet_state: FleetState::default(), keeper }
    }

    fn read(&mut self, topic: &[FleetRecord], now: BootTime) {
        let from = self.fleet_state.end().offset.0 as usize;
        for (offset, record) in topic.iter().enumerate().skip(from) {
            self.fleet_state.apply(LogOffset(offset as u64), record, now);
        }
    }
}

/// An order that a router has sent.
#[derive(Clone, Copy, Debug)]
struct SentOrder {
    host: &'static str,
    fence: FencingNumber,
    at: BootTime,
}

/// Runs random steps of random routers: read, decide or send. Returns the orders.
fn play(steps: Vec<(u8, u8, u16)>) -> Vec<SentOrder> {
    let mut routers: Vec<TestRouter> = HOSTS.into_iter().map(TestRouter::new).collect();
    let mut topic: Vec<FleetRecord> = Vec::new();
    let mut orders = Vec::new();
    let mut now = BootTime(10_000);
    for (router_index, action, pause) in steps {
        now = now.after(Duration::from_millis(u64::from(pause) % 1_200));
        let router = &mut routers[usize::from(router_index) % HOSTS.len()];
        match action % 4 {
            0 => router.read(&topic, now),
            1 | 2 => decide(router, &mut topic, action, now),
            _ => {
                if let Some(fence) = router.keeper.usable_fence(now) {
                    orders.push(SentOrder { host: router.host, fence, at: now });
                }
            }
        }
    }
    orders
}

/// Appends are accepted only at the end of the topic; odd actions get the answer, for even ones it
/// is lost.
fn decide(router: &mut TestRouter, topic: &mut Vec<FleetRecord>, action: u8, now: BootTime) {
    let LeaseStep::Append { at } =
        router.keeper.step(&router.fleet_state, BootTime(0), LinkRank::Equal, now)
    else {
        return;
    };
    if at.offset.0 != topic.len() as u64 {
        return;
    }
    topic.push(lease_record(router.host));
    if action % 4 == 1 {
        router.keeper.record_append(at.fence(), now);
    }
}

/// Guards against two routers giving orders at once, even if a holder is suspended while another
/// takes the lease.
#[test]
fn holders_do_not_overlap() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        let orders = play(steps);
        orders.windows(2).all(|pair| {
            let (first, second) = (pair[0], pair[1]);
            if first.host == second.host {
                return first.fence <= second.fence;
            }
            // The new holder read the last record after it was written, and waited for the whole
            // lease.
            first.fence < second.fence && Duration::from_millis(400) <= second.at.since(first.at)
        })
    }
    QuickCheck::new()
        .tests(3_000)
        .rng(Gen::from_size_and_seed(120, 5))
        .quickcheck(property as fn(Vec<(u8, u8, u16)>) -> bool);
}

#[test]
fn histories_contain_several_holders() {
    let steps: Vec<(u8, u8, u16)> =
        (0..400_u16).map(|turn| ((turn / 40) as u8, [0, 1, 3, 3][turn as usize % 4], 90)).collect();
    let orders = play(steps);
    let hosts: std::collections::BTreeSet<&str> = orders.iter().map(|order| order.host).collect();
    assert!(1 < hosts.len(), "only one router has sent orders");
}

struct StepCase {
    name: &'static str,
    /// Host of the newest record, and when it was read.
    lease: Option<(&'static str, u64)>,
    now: u64,
    step: LeaseStep,
}

fn step_cases() -> Vec<StepCase> {
    let append = |end| LeaseStep::Append { at: position(end) };
    vec![
        StepCase { name: "no lease was taken", lease: None, now: 100, step: append(0) },
        StepCase {
            name: "another host's lease is valid",
            lease: Some(("h1", 1_000)),
            now: 2_000,
            step: LeaseStep::Wait(Duration::from_millis(2_000)),
        },
        StepCase {
            name: "another host's lease has expired",
            lease: Some(("h1", 1_000)),
            now: 4_000,
            step: append(1),
        },
        StepCase {
            name: "this host's lease from before its restart",
            lease: Some(("h0", 1_000)),
            now: 1_001,
            step: append(1),
        },
    ]
}

#[test]
fn the_next_step_depends_on_the_newest_record() {
    for case in step_cases() {
        let mut fleet_state = FleetState::default();
        if let Some((host, seen)) = case.lease {
            fleet_state.apply(LogOffset(0), &lease_record(host), BootTime(seen));
        }
        let keeper = LeaseKeeper::new(HostName::new("h0"), LEASE_DURATION);
        let step = keeper.step(&fleet_state, BootTime(0), LinkRank::Equal, BootTime(case.now));
        assert_eq!(step, case.step, "{}", case.name);
    }
}

/// Other routers must wait a moment when new weights are announced, so that the last holder tries
/// first.
#[test]
fn the_last_holder_appends_first() {
    let mut fleet_state = FleetState::default();
    fleet_state.apply(LogOffset(0), &lease_record("h1"), BootTime(1_000));
    let work_since = BootTime(20_000);
    let step = |host: &str, now: u64| {
        let keeper = LeaseKeeper::new(HostName::new(host), LEASE_DURATION);
        keeper.step(&fleet_state, work_since, LinkRank::Equal, BootTime(now))
    };
    assert_eq!(step("h1", 20_001), LeaseStep::Append { at: position(1) });
    assert!(matches!(step("h0", 20_001), LeaseStep::Wait(_)));
    assert_eq!(step("h0", 20_400), LeaseStep::Append { at: position(1) });
}

struct JitterCase {
    name: &'static str,
    hosts: usize,
    /// Milliseconds since work arrived.
    elapsed_ms: u64,
    min_hosts: usize,
    max_hosts: usize,
}

const JITTER_CASES: &[JitterCase] = &[
    JitterCase { name: "few hosts, early", hosts: 6, elapsed_ms: 125, min_hosts: 6, max_hosts: 6 },
    JitterCase {
        name: "many hosts, early",
        hosts: 90,
        elapsed_ms: 100,
        min_hosts: 1,
        max_hosts: 15,
    },
    JitterCase {
        name: "many hosts, late",
        hosts: 90,
        elapsed_ms: 1_850,
        min_hosts: 90,
        max_hosts: 90,
    },
];

/// Guards against all hosts appending at once when work arrives: only one can succeed. After a
/// random delay most have read the first one's record.
#[test]
fn hosts_do_not_all_append_at_once() {
    for case in JITTER_CASES {
        let hosts = host_names(case.hosts);
        let fleet_state = fleet_with_members(&hosts);
        let (work_since, now) = (BootTime(10_000), BootTime(10_000 + case.elapsed_ms));
        let appends = |host: &&String| {
            let keeper = LeaseKeeper::new(HostName::new(host), LEASE_DURATION);
            let step = keeper.step(&fleet_state, work_since, LinkRank::Equal, now);
            matches!(step, LeaseStep::Append { .. })
        };
        let count = hosts.iter().filter(appends).count();
        assert!(
            case.min_hosts <= count && count <= case.max_hosts,
            "{}: {count} hosts append",
            case.name
        );
    }
}

struct ExpiryCase {
    name: &'static str,
    /// Milliseconds since the lease expired.
    elapsed_ms: u64,
    min_hosts: usize,
    max_hosts: usize,
}

const EXPIRY_CASES: &[ExpiryCase] = &[
    ExpiryCase { name: "just expired", elapsed_ms: 100, min_hosts: 1, max_hosts: 15 },
    ExpiryCase { name: "expired long ago", elapsed_ms: 1_850, min_hosts: 90, max_hosts: 90 },
];

/// Guards against all hosts appending at once when a lease expires while work is waiting: the
/// random delays must count from the expiry.
#[test]
fn hosts_do_not_all_append_when_a_lease_expires() {
    for case in EXPIRY_CASES {
        let hosts = host_names(90);
        let mut fleet_state = fleet_with_members(&hosts);
        fleet_state.apply(fleet_state.end().offset, &lease_record("gone"), BootTime(20_000));
        let expired_at = BootTime(20_000).after(LEASE_DURATION);
        let now = expired_at.after(Duration::from_millis(case.elapsed_ms));
        let appends = |host: &&String| {
            let keeper = LeaseKeeper::new(HostName::new(host), LEASE_DURATION);
            let step = keeper.step(&fleet_state, BootTime(10_000), LinkRank::Equal, now);
            matches!(step, LeaseStep::Append { .. })
        };
        let count = hosts.iter().filter(appends).count();
        assert!(
            case.min_hosts <= count && count <= case.max_hosts,
            "{}: {count} hosts append",
            case.name
        );
    }
}

fn host_names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("host-{number}")).collect()
}

/// The state after reading a topic in which each of these hosts has joined.
fn fleet_with_members(hosts: &[String]) -> FleetState {
    let mut fleet_state = FleetState::default();
    for (offset, host) in hosts.iter().enumerate() {
        let record = FleetRecord::Joined {
            host: HostName::new(host),
            incarnation: Incarnation(1),
            address: "127.0.0.1:1".parse().expect("valid address"),
            zone: ZoneName::new("north"),
            link_kbps: 20_000,
            epoch: StoreEpoch(0),
        };
        fleet_state.apply(LogOffset(offset as u64), &record, BootTime(0));
    }
    fleet_state
}

struct RankCase {
    name: &'static str,
    rank: LinkRank,
    /// Host of the last lease, which has expired.
    lease: Option<&'static str>,
    /// Ranges in milliseconds of the first and the last attempt among 90 hosts.
    first_ms_range: (u64, u64),
    last_ms_range: (u64, u64),
}

const RANK_CASES: &[RankCase] = &[
    RankCase {
        name: "all links are equal",
        rank: LinkRank::Equal,
        lease: None,
        first_ms_range: (0, 100),
        last_ms_range: (1_600, 1_800),
    },
    RankCase {
        name: "one of six with the widest link",
        rank: LinkRank::Widest { hosts: 6 },
        lease: None,
        first_ms_range: (0, 10),
        last_ms_range: (100, 120),
    },
    RankCase {
        name: "others have wider links",
        rank: LinkRank::Narrower,
        lease: None,
        first_ms_range: (100, 200),
        last_ms_range: (1_700, 1_900),
    },
    RankCase {
        name: "others have wider links, and the last holder appends first",
        rank: LinkRank::Narrower,
        lease: Some("other"),
        first_ms_range: (500, 600),
        last_ms_range: (2_100, 2_300),
    },
    RankCase {
        name: "the last holder has a narrower link",
        rank: LinkRank::Narrower,
        lease: Some("host-1"),
        first_ms_range: (0, 0),
        last_ms_range: (2_100, 2_300),
    },
];

/// Guards against a host with a narrow link taking the lease although others have wider ones: it
/// would have to announce each engine that loads weights.
#[test]
fn hosts_with_the_widest_links_append_first() {
    for case in RANK_CASES {
        let hosts = host_names(90);
        let mut fleet_state = fleet_with_members(&hosts);
        if let Some(host) = case.lease {
            fleet_state.apply(fleet_state.end().offset, &lease_record(host), BootTime(1_000));
        }
        let waits: Vec<u64> =
            hosts.iter().map(|host| wait_ms(host, &fleet_state, case.rank)).collect();
        let (first, last) = (waits.iter().min().copied(), waits.iter().max().copied());
        let is_in_range = |actual: Option<u64>, (low, high): (u64, u64)| {
            actual.is_some_and(|actual| low <= actual && actual <= high)
        };
        assert!(is_in_range(first, case.first_ms_range), "{}: first {first:?}", case.name);
        assert!(is_in_range(last, case.last_ms_range), "{}: last {last:?}", case.name);
    }
}

/// Wait of a host if work arrives long after the last lease expired.
fn wait_ms(host: &str, fleet_state: &FleetState, rank: LinkRank) -> u64 {
    let now = BootTime(20_000);
    match LeaseKeeper::new(HostName::new(host), LEASE_DURATION).step(fleet_state, now, rank, now) {
        LeaseStep::Wait(wait) => wait.as_millis() as u64,
        LeaseStep::Append { .. } => 0,
        LeaseStep::Act => panic!("{host} has no lease"),
    }
}

/// Guards against the lease moving to another host while its holder renews it.
#[test]
fn a_renewed_lease_stays_with_its_holder() {
    let mut fleet_state = FleetState::default();
    fleet_state.apply(LogOffset(0), &lease_record("h1"), BootTime(1_000));
    for (host, rank) in [("h0", LinkRank::Widest { hosts: 1 }), ("h2", LinkRank::Equal)] {
        let keeper = LeaseKeeper::new(HostName::new(host), LEASE_DURATION);
        let step = keeper.step(&fleet_state, BootTime(0), rank, BootTime(3_999));
        assert_eq!(step, LeaseStep::Wait(Duration::from_millis(1)), "{host}");
    }
    let mut holder = LeaseKeeper::new(HostName::new("h1"), LEASE_DURATION);
    holder.record_append(FencingNumber(0), BootTime(1_000));
    let act = holder.step(&fleet_state, BootTime(0), LinkRank::Narrower, BootTime(2_000));
    assert_eq!(act, LeaseStep::Act);
    let renewal = holder.step(&fleet_state, BootTime(0), LinkRank::Narrower, BootTime(2_600));
    assert_eq!(renewal, LeaseStep::Append { at: position(1) });
}

/// Guards against a late, repeated read making a lease look younger or restoring an older one.
#[test]
fn a_record_that_is_read_twice_counts_once() {
    let mut fleet_state = FleetState::default();
    fleet_state.apply(LogOffset(0), &lease_record("h0"), BootTime(1_000));
    fleet_state.apply(LogOffset(1), &lease_record("h1"), BootTime(2_000));
    fleet_state.apply(LogOffset(0), &lease_record("h0"), BootTime(9_000));
    let lease = fleet_state.lease().expect("no lease was read");
    assert_eq!((lease.host.as_str(), lease.seen), ("h1", BootTime(2_000)));
    assert_eq!(fleet_state.end(), position(2));
}
