//! The lease on orders while the store goes back to copies of itself.

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::FleetFold;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::LeaseKeeper;
use fulmargate_dispatch::LeaseStep;
use fulmargate_dispatch::LinkRank;
use fulmargate_dispatch::LogPosition;
use fulmargate_names::ConfigVersion;
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
const SEED: u64 = 5;

fn lease_record(host: &str, epoch: StoreEpoch) -> FleetRecord {
    FleetRecord::Lease { host: HostName::new(host), incarnation: Incarnation(1), epoch }
}

fn joined(host: &str) -> FleetRecord {
    FleetRecord::Joined {
        host: HostName::new(host),
        incarnation: Incarnation(1),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: ZoneName::new("north"),
        link_kbps: 20_000,
        epoch: StoreEpoch(0),
    }
}

/// The routers' topic, which may go back to a copy.
struct TestTopic {
    epoch: StoreEpoch,
    records: Vec<FleetRecord>,
    copy: Vec<FleetRecord>,
}

impl TestTopic {
    fn new() -> TestTopic {
        let records: Vec<FleetRecord> = HOSTS.into_iter().map(joined).collect();
        TestTopic { epoch: StoreEpoch(0), copy: records.clone(), records }
    }

    fn restore(&mut self) {
        self.epoch.0 += 1;
        self.records = self.copy.clone();
    }

    /// Where the record lies; none where the topic has moved on.
    fn append(&mut self, at: LogPosition, record: FleetRecord) -> Option<LogPosition> {
        if at.offset.0 != self.records.len() as u64 {
            return None;
        }
        self.records.push(record);
        Some(LogPosition { epoch: self.epoch, ..at })
    }
}

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

    /// In another epoch than before the topic is read from its beginning.
    fn read(&mut self, topic: &TestTopic, now: BootTime) {
        self.fold.begin_epoch(topic.epoch, now);
        let from = self.fold.end().offset.0 as usize;
        for (offset, record) in topic.records.iter().enumerate().skip(from) {
            self.fold.apply(LogOffset(offset as u64), record, now);
        }
    }

    fn decide(&mut self, topic: &mut TestTopic, is_answered: bool, now: BootTime) {
        if !self.fold.is_read() {
            return;
        }
        let step = self.desk.step(&self.fold, BootTime(0), LinkRank::Equal, now);
        let LeaseStep::Append { at } = step else { return };
        let Some(position) = topic.append(at, lease_record(self.host, at.epoch)) else { return };
        // An append that went into another epoch than it rested on is no lease.
        if is_answered && position.epoch == at.epoch {
            self.desk.appended(position.fence(), now);
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

/// Plays steps of random routers and of the store. Returns the orders and how often the store went back.
fn play(steps: Vec<(u8, u8, u16)>) -> (Vec<SentOrder>, u64) {
    let mut routers: Vec<TestRouter> = HOSTS.into_iter().map(TestRouter::new).collect();
    let mut topic = TestTopic::new();
    let mut orders = Vec::new();
    let mut now = BootTime(10_000);
    for (who, what, pause) in steps {
        now = now.after(Duration::from_millis(u64::from(pause) % 900));
        let router = &mut routers[usize::from(who) % HOSTS.len()];
        match what % 16 {
            0..=4 => router.read(&topic, now),
            5..=9 => router.decide(&mut topic, what % 2 == 1, now),
            10 => topic.copy = topic.records.clone(),
            11 => topic.restore(),
            12 if what % 64 == 12 => *router = TestRouter::new(router.host),
            _ => {
                if let Some(fence) = router.desk.usable_fence(now) {
                    orders.push(SentOrder { host: router.host, fence, at: now });
                }
            }
        }
    }
    (orders, topic.epoch.0)
}

/// Two routers order the same engines by turns, or an engine refuses each order of the next holder.
/// The store has lost the record of a lease, and another router, that finds none, takes it while the first
/// one acts on; or the offset that is its number was given out before.
#[test]
fn holders_do_not_overlap_when_the_store_goes_back() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        let (orders, _) = play(steps);
        orders.windows(2).all(|pair| {
            let (first, second) = (pair[0], pair[1]);
            if first.host == second.host {
                return first.fence <= second.fence;
            }
            first.fence < second.fence && Duration::from_millis(400) <= second.at.since(first.at)
        })
    }
    QuickCheck::new()
        .tests(6_000)
        .rng(Gen::from_size_and_seed(200, SEED))
        .quickcheck(property as fn(Vec<(u8, u8, u16)>) -> bool);
}

#[test]
fn the_histories_have_restores_and_several_holders() {
    let mut source = Gen::from_size_and_seed(200, SEED);
    let (mut moves, mut restores) = (0, 0);
    for _ in 0..500 {
        let steps: Vec<(u8, u8, u16)> = quickcheck::Arbitrary::arbitrary(&mut source);
        let (orders, epochs) = play(steps);
        moves += orders.windows(2).filter(|pair| pair[0].host != pair[1].host).count();
        restores += epochs;
    }
    assert!(50 < moves && 500 < restores, "{moves} holders followed others, {restores} restores");
}

struct LostLeaseCase {
    name: &'static str,
    /// Records of the epoch that has begun, with the epoch for which each was written.
    lease: Option<(&'static str, u64)>,
    /// Milliseconds from the new epoch on.
    after_ms: u64,
    tries: bool,
}

const LOST_LEASES: &[LostLeaseCase] = &[
    LostLeaseCase { name: "a lost lease may be held", lease: None, after_ms: 2_999, tries: false },
    LostLeaseCase { name: "it has ended", lease: None, after_ms: 3_000, tries: true },
    LostLeaseCase {
        name: "an own record of before may have been followed by another's",
        lease: Some(("h0", 0)),
        after_ms: 2_999,
        tries: false,
    },
    LostLeaseCase {
        name: "an own record of this epoch was followed by none",
        lease: Some(("h0", 1)),
        after_ms: 1,
        tries: true,
    },
];

/// Two hosts give orders at once.
/// The first took the lease just before the store went away, and the copy does not show it.
#[test]
fn a_lost_lease_is_waited_for() {
    for case in LOST_LEASES {
        let mut fold = FleetFold::default();
        fold.begin_epoch(StoreEpoch(0), BootTime(1_000));
        fold.begin_epoch(StoreEpoch(1), BootTime(20_000));
        if let Some((host, epoch)) = case.lease {
            fold.apply(LogOffset(0), &lease_record(host, StoreEpoch(epoch)), BootTime(20_000));
        }
        let desk = LeaseKeeper::new(HostName::new("h0"), LEASE);
        let now = BootTime(20_000 + case.after_ms);
        let step = desk.step(&fold, BootTime(0), LinkRank::Equal, now);
        assert_eq!(matches!(step, LeaseStep::Append { .. }), case.tries, "{}", case.name);
    }
}

struct NoteCase {
    name: &'static str,
    /// Eras of notes, the configurations that they name, and whether they say that all is settled.
    notes: &'static [(u64, u64, bool)],
    known: Option<u64>,
    is_lately: bool,
}

const NOTES: &[NoteCase] = &[
    NoteCase { name: "nobody has said anything", notes: &[], known: None, is_lately: true },
    NoteCase { name: "one knows", notes: &[(1, 7, false)], known: Some(7), is_lately: true },
    NoteCase {
        name: "the newest counts",
        notes: &[(1, 7, false), (1, 5, false)],
        known: Some(7),
        is_lately: true,
    },
    NoteCase {
        name: "it is long ago",
        notes: &[(1, 7, false), (1, 7, true)],
        known: Some(7),
        is_lately: false,
    },
    NoteCase {
        name: "a copied note of an earlier epoch",
        notes: &[(0, 9, true)],
        known: None,
        is_lately: true,
    },
];

/// A host that starts serves keys that were taken away.
/// It finds an older configuration in a store that has come back from a copy, and cannot tell that it has.
/// Records of earlier epochs show that the store came back, and other hosts note what they know.
#[test]
fn what_hosts_note_of_a_new_epoch() {
    for case in NOTES {
        let mut fold = FleetFold::default();
        fold.begin_epoch(StoreEpoch(1), BootTime(1_000));
        fold.apply(LogOffset(0), &joined("h0"), BootTime(1_000));
        for (offset, (epoch, config, is_settled)) in (1..).zip(case.notes) {
            let (epoch, config) = (StoreEpoch(*epoch), ConfigVersion(*config));
            let note = FleetRecord::Restored { epoch, config, is_settled: *is_settled };
            fold.apply(LogOffset(offset), &note, BootTime(1_000));
        }
        let known = fold.restore_note().map(|note| note.config.0);
        assert_eq!(known, case.known, "{}", case.name);
        assert_eq!(fold.is_restored_lately(), case.is_lately, "{}", case.name);
    }
}

/// Where nothing was ever lost, hosts that start wait for nothing.
#[test]
fn a_first_epoch_is_not_doubted() {
    let mut fold = FleetFold::default();
    fold.begin_epoch(StoreEpoch(0), BootTime(1_000));
    fold.apply(LogOffset(0), &joined("h0"), BootTime(1_000));
    assert!(!fold.is_restored_lately());
    assert_eq!(fold.lost_lease_since(), None);
}

/// Two hosts give orders at once.
/// The first one's lease has ended, another took it, and the store has lost that record; the first finds its
/// own as the newest.
#[test]
fn an_own_lease_that_has_ended_is_waited_for_too() {
    let mut fold = FleetFold::default();
    fold.begin_epoch(StoreEpoch(0), BootTime(1_000));
    let mut desk = LeaseKeeper::new(HostName::new("h0"), LEASE);
    desk.appended(FencingNumber(0), BootTime(1_000));
    fold.begin_epoch(StoreEpoch(1), BootTime(4_500));
    fold.apply(LogOffset(0), &lease_record("h0", StoreEpoch(0)), BootTime(4_500));
    let step = |now| desk.step(&fold, BootTime(0), LinkRank::Equal, BootTime(now));
    assert!(matches!(step(4_600), LeaseStep::Wait(_)), "another may act now");
    assert!(matches!(step(7_500), LeaseStep::Append { .. }));
}
