//! Who may give orders to engines, over histories of several routers.

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::FleetFold;
use fulmargate_dispatch::FleetRecord;
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

const LEASE: Duration = Duration::from_millis(3_000);
const HOSTS: [&str; 3] = ["h0", "h1", "h2"];

fn lease_record(host: &str) -> FleetRecord {
    let (host, incarnation) = (HostName::new(host), Incarnation(1));
    FleetRecord::Lease { host, incarnation, epoch: StoreEpoch(0) }
}

/// A position in the first epoch.
fn position(offset: u64) -> LogPosition {
    LogPosition { epoch: StoreEpoch(0), offset: LogOffset(offset) }
}

/// A router that may be suspended: it reads the topic and decides only when it runs.
struct TestRouter {
    host: &'static str,
    fold: FleetFold,
    desk: LeaseKeeper,
}

impl TestRouter {
    fn new(host: &'static str) -> TestRouter {
        let desk = LeaseKeeper::new(HostName::new(host), LEASE);
        TestRouter { host, fold: FleetFold::default(), desk }
    }

    fn read(&mut self, topic: &[FleetRecord], now: BootTime) {
        let from = self.fold.end().offset.0 as usize;
        for (offset, record) in topic.iter().enumerate().skip(from) {
            self.fold.apply(LogOffset(offset as u64), record, now);
        }
    }
}

/// An order that left a router.
#[derive(Clone, Copy, Debug)]
struct SentOrder {
    host: &'static str,
    fence: FencingNumber,
    at: BootTime,
}

/// Plays steps of random routers: to read, to decide, to send. Returns the orders.
fn play(steps: Vec<(u8, u8, u16)>) -> Vec<SentOrder> {
    let mut routers: Vec<TestRouter> = HOSTS.into_iter().map(TestRouter::new).collect();
    let mut topic: Vec<FleetRecord> = Vec::new();
    let mut orders = Vec::new();
    let mut now = BootTime(10_000);
    for (who, what, pause) in steps {
        now = now.after(Duration::from_millis(u64::from(pause) % 1_200));
        let router = &mut routers[usize::from(who) % HOSTS.len()];
        match what % 4 {
            0 => router.read(&topic, now),
            1 | 2 => decide(router, &mut topic, what, now),
            _ => {
                if let Some(fence) = router.desk.usable_fence(now) {
                    orders.push(SentOrder { host: router.host, fence, at: now });
                }
            }
        }
    }
    orders
}

/// An append is accepted only at the topic's end; for odd steps its answer is lost.
fn decide(router: &mut TestRouter, topic: &mut Vec<FleetRecord>, what: u8, now: BootTime) {
    let LeaseStep::Append { at } =
        router.desk.step(&router.fold, BootTime(0), LinkRank::Equal, now)
    else {
        return;
    };
    if at.offset.0 != topic.len() as u64 {
        return;
    }
    topic.push(lease_record(router.host));
    if what % 4 == 1 {
        router.desk.appended(at.fence(), now);
    }
}

/// Two routers order the same engines by turns, and weights go back and forth.
/// A holder is suspended after its lease was granted, another takes over, the first wakes and sends.
/// Numbers rise with each holder, and between orders of two hosts lies the rest of the lease.
#[test]
fn holders_do_not_overlap() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        let orders = play(steps);
        orders.windows(2).all(|pair| {
            let (first, second) = (pair[0], pair[1]);
            if first.host == second.host {
                return first.fence <= second.fence;
            }
            // The new holder read the record after it was written, and waited the whole lease.
            first.fence < second.fence && Duration::from_millis(400) <= second.at.since(first.at)
        })
    }
    QuickCheck::new()
        .tests(3_000)
        .rng(Gen::from_size_and_seed(120, 5))
        .quickcheck(property as fn(Vec<(u8, u8, u16)>) -> bool);
}

#[test]
fn a_history_of_three_hosts_has_orders() {
    let steps: Vec<(u8, u8, u16)> =
        (0..400_u16).map(|turn| ((turn / 40) as u8, [0, 1, 3, 3][turn as usize % 4], 90)).collect();
    let orders = play(steps);
    let hosts: std::collections::BTreeSet<&str> = orders.iter().map(|order| order.host).collect();
    assert!(1 < hosts.len(), "the histories above would prove nothing otherwise");
}

struct StepCase {
    name: &'static str,
    /// The newest record's host and when it was read.
    lease: Option<(&'static str, u64)>,
    now: u64,
    step: LeaseStep,
}

fn step_cases() -> Vec<StepCase> {
    let append = |end| LeaseStep::Append { at: position(end) };
    vec![
        StepCase { name: "nobody has it", lease: None, now: 100, step: append(0) },
        StepCase {
            name: "another's is young",
            lease: Some(("h1", 1_000)),
            now: 2_000,
            step: LeaseStep::Wait(Duration::from_millis(2_000)),
        },
        StepCase {
            name: "another's has ended",
            lease: Some(("h1", 1_000)),
            now: 4_000,
            step: append(1),
        },
        StepCase {
            name: "this host's, from before its restart",
            lease: Some(("h0", 1_000)),
            now: 1_001,
            step: append(1),
        },
    ]
}

#[test]
fn steps_by_the_newest_record() {
    for case in step_cases() {
        let mut fold = FleetFold::default();
        if let Some((host, seen)) = case.lease {
            fold.apply(LogOffset(0), &lease_record(host), BootTime(seen));
        }
        let desk = LeaseKeeper::new(HostName::new("h0"), LEASE);
        let step = desk.step(&fold, BootTime(0), LinkRank::Equal, BootTime(case.now));
        assert_eq!(step, case.step, "{}", case.name);
    }
}

/// Other routers wait a moment when new weights are named, so that the last holder goes first.
#[test]
fn the_last_holder_goes_first() {
    let mut fold = FleetFold::default();
    fold.apply(LogOffset(0), &lease_record("h1"), BootTime(1_000));
    let work_since = BootTime(20_000);
    let step = |host: &str, now: u64| {
        let desk = LeaseKeeper::new(HostName::new(host), LEASE);
        desk.step(&fold, work_since, LinkRank::Equal, BootTime(now))
    };
    assert_eq!(step("h1", 20_001), LeaseStep::Append { at: position(1) });
    assert!(matches!(step("h0", 20_001), LeaseStep::Wait(_)));
    assert_eq!(step("h0", 20_400), LeaseStep::Append { at: position(1) });
}

struct TurnCase {
    name: &'static str,
    hosts: usize,
    /// Milliseconds since there is work.
    after_ms: u64,
    least: usize,
    most: usize,
}

const TURNS: &[TurnCase] = &[
    TurnCase { name: "few hosts, soon", hosts: 6, after_ms: 125, least: 6, most: 6 },
    TurnCase { name: "many hosts, at first", hosts: 90, after_ms: 100, least: 1, most: 15 },
    TurnCase { name: "many hosts, in the end", hosts: 90, after_ms: 1_850, least: 90, most: 90 },
];

/// Each new version costs as many calls of the store as there are hosts.
/// All of them saw at the same moment that nobody holds the lease, and appended; one could succeed.
/// They try one after the other, and the others read the first one's record before it is their turn.
#[test]
fn hosts_do_not_all_try_at_once() {
    for case in TURNS {
        let hosts = host_names(case.hosts);
        let fold = joined(&hosts);
        let (work_since, now) = (BootTime(10_000), BootTime(10_000 + case.after_ms));
        let tries = |host: &&String| {
            let desk = LeaseKeeper::new(HostName::new(host), LEASE);
            let step = desk.step(&fold, work_since, LinkRank::Equal, now);
            matches!(step, LeaseStep::Append { .. })
        };
        let count = hosts.iter().filter(tries).count();
        assert!(case.least <= count && count <= case.most, "{}: {count}", case.name);
    }
}

struct EndCase {
    name: &'static str,
    /// Milliseconds since the last holder's lease has ended.
    after_ms: u64,
    least: usize,
    most: usize,
}

const ENDS: &[EndCase] = &[
    EndCase { name: "just ended", after_ms: 100, least: 1, most: 15 },
    EndCase { name: "long ended", after_ms: 1_850, least: 90, most: 90 },
];

/// When the host that brings new weights is cut off, each other host calls the store at the same moment.
/// There has been work for longer than the turns take, so that all wait for the same end of its lease. The
/// turns begin with that end.
#[test]
fn hosts_do_not_all_try_when_a_lease_ends() {
    for case in ENDS {
        let hosts = host_names(90);
        let mut fold = joined(&hosts);
        fold.apply(fold.end().offset, &lease_record("gone"), BootTime(20_000));
        let ended = BootTime(20_000).after(LEASE);
        let now = ended.after(Duration::from_millis(case.after_ms));
        let tries = |host: &&String| {
            let desk = LeaseKeeper::new(HostName::new(host), LEASE);
            let step = desk.step(&fold, BootTime(10_000), LinkRank::Equal, now);
            matches!(step, LeaseStep::Append { .. })
        };
        let count = hosts.iter().filter(tries).count();
        assert!(case.least <= count && count <= case.most, "{}: {count}", case.name);
    }
}

fn host_names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("host-{number}")).collect()
}

/// A topic in which so many hosts have started.
fn joined(hosts: &[String]) -> FleetFold {
    let mut fold = FleetFold::default();
    for (offset, host) in hosts.iter().enumerate() {
        let record = FleetRecord::Joined {
            host: HostName::new(host),
            incarnation: Incarnation(1),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: ZoneName::new("north"),
            link_kbps: 20_000,
            epoch: StoreEpoch(0),
        };
        fold.apply(LogOffset(offset as u64), &record, BootTime(0));
    }
    fold
}

struct RankCase {
    name: &'static str,
    rank: LinkRank,
    /// The host of the newest lease, which has ended.
    lease: Option<&'static str>,
    /// Milliseconds after which the first and the last of 90 hosts try, at least and at most.
    first_ms: (u64, u64),
    last_ms: (u64, u64),
}

const RANKS: &[RankCase] = &[
    RankCase {
        name: "all links are the same",
        rank: LinkRank::Equal,
        lease: None,
        first_ms: (0, 100),
        last_ms: (1_600, 1_800),
    },
    RankCase {
        name: "one of six with the widest link",
        rank: LinkRank::Widest { hosts: 6 },
        lease: None,
        first_ms: (0, 10),
        last_ms: (100, 120),
    },
    RankCase {
        name: "others are wider",
        rank: LinkRank::Narrower,
        lease: None,
        first_ms: (100, 200),
        last_ms: (1_700, 1_900),
    },
    RankCase {
        name: "others are wider, and an earlier holder goes first",
        rank: LinkRank::Narrower,
        lease: Some("other"),
        first_ms: (500, 600),
        last_ms: (2_100, 2_300),
    },
    RankCase {
        name: "it is the earlier holder, whatever its link",
        rank: LinkRank::Narrower,
        lease: Some("host-1"),
        first_ms: (0, 0),
        last_ms: (2_100, 2_300),
    },
];

/// New weights come late on a fleet of which most hosts have small links, and callers of one of these get
/// no answers meanwhile.
/// The host that brings weights to all engines tells all others of each; any host could be the one.
/// Those with the widest links try first, and the others soon after, in case that these do not.
#[test]
fn the_widest_links_come_first() {
    for case in RANKS {
        let hosts = host_names(90);
        let mut fold = joined(&hosts);
        if let Some(host) = case.lease {
            fold.apply(fold.end().offset, &lease_record(host), BootTime(1_000));
        }
        let waits: Vec<u64> = hosts.iter().map(|host| wait_ms(host, &fold, case.rank)).collect();
        let (first, last) = (waits.iter().min().copied(), waits.iter().max().copied());
        let is_within = |found: Option<u64>, (least, most): (u64, u64)| {
            found.is_some_and(|found| least <= found && found <= most)
        };
        assert!(is_within(first, case.first_ms), "{}: first {first:?}", case.name);
        assert!(is_within(last, case.last_ms), "{}: last {last:?}", case.name);
    }
}

/// How long a host waits when work comes long after the last lease has ended.
fn wait_ms(host: &str, fold: &FleetFold, rank: LinkRank) -> u64 {
    let now = BootTime(20_000);
    match LeaseKeeper::new(HostName::new(host), LEASE).step(fold, now, rank, now) {
        LeaseStep::Wait(wait) => wait.as_millis() as u64,
        LeaseStep::Append { .. } => 0,
        LeaseStep::Act => panic!("{host} has no lease"),
    }
}

/// Holders keep the lease while they renew it, whatever links others have.
#[test]
fn a_lease_that_is_held_does_not_move() {
    let mut fold = FleetFold::default();
    fold.apply(LogOffset(0), &lease_record("h1"), BootTime(1_000));
    for (host, rank) in [("h0", LinkRank::Widest { hosts: 1 }), ("h2", LinkRank::Equal)] {
        let desk = LeaseKeeper::new(HostName::new(host), LEASE);
        let step = desk.step(&fold, BootTime(0), rank, BootTime(3_999));
        assert_eq!(step, LeaseStep::Wait(Duration::from_millis(1)), "{host}");
    }
    let mut holder = LeaseKeeper::new(HostName::new("h1"), LEASE);
    holder.appended(FencingNumber(0), BootTime(1_000));
    let act = holder.step(&fold, BootTime(0), LinkRank::Narrower, BootTime(2_000));
    assert_eq!(act, LeaseStep::Act);
    let renewal = holder.step(&fold, BootTime(0), LinkRank::Narrower, BootTime(2_600));
    assert_eq!(renewal, LeaseStep::Append { at: position(1) });
}

/// A router takes a lease for younger than it is, or an older one for the newest.
/// Two reads of the same records come back after each other, the second one late.
/// A record counts when it is read first, and the fold never goes back.
#[test]
fn a_record_that_is_read_twice_counts_once() {
    let mut fold = FleetFold::default();
    fold.apply(LogOffset(0), &lease_record("h0"), BootTime(1_000));
    fold.apply(LogOffset(1), &lease_record("h1"), BootTime(2_000));
    fold.apply(LogOffset(0), &lease_record("h0"), BootTime(9_000));
    let lease = fold.lease().expect("a lease");
    assert_eq!((lease.host.as_str(), lease.seen), ("h1", BootTime(2_000)));
    assert_eq!(fold.end(), position(2));
}
