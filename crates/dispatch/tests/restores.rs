//! The lease on orders to engines while the store is restored from backups.

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::FleetRecord;
use fulmargate_dispatch::FleetState;
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

const LEASE_DURATION: Duration = Duration::from_millis(3_000);
const HOSTS: [&str; 3] = ["h0", "h1", "h2"];
const SEED: u64 = 5;

fn lease_record(host: &str, epoch: StoreEpoch) -> FleetRecord {
    FleetRecord::Lease { host: HostName::new(host), incarnation: Incarnation(1), epoch }
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

/// The fleet topic of a store that may be restored from a backup.
struct TestTopic {
    epoch: StoreEpoch,
    records: Vec<FleetRecord>,
    backup: Vec<FleetRecord>,
}

impl TestTopic {
    fn new() -> TestTopic {
        let records: Vec<FleetRecord> = HOSTS.into_iter().map(joined_record).collect();
        TestTopic { epoch: StoreEpoch(0), backup: records.clone(), records }
    }

    fn restore(&mut self) {
        self.epoch.0 += 1;
        self.records = self.backup.clone();
    }

    /// Returns the position of the record; `None` if the topic does not end at `at`.
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
    fleet_state: FleetState,
    keeper: LeaseKeeper,
}

impl TestRouter {
    fn new(host: &'static str) -> TestRouter {
        let keeper = LeaseKeeper::new(HostName::new(host), LEASE_DURATION);
        TestRouter { host, fleet_state: FleetState::default(), keeper }
    }

    /// Reads the topic, from its beginning if the epoch has changed.
    fn read(&mut self, topic: &TestTopic, now: BootTime) {
        self.fleet_state.begin_epoch(topic.epoch, now);
        let from = self.fleet_state.end().offset.0 as usize;
        for (offset, record) in topic.records.iter().enumerate().skip(from) {
            self.fleet_state.apply(LogOffset(offset as u64), record, now);
        }
    }

    fn decide(&mut self, topic: &mut TestTopic, is_acknowledged: bool, now: BootTime) {
        if !self.fleet_state.is_read() {
            return;
        }
        let step = self.keeper.step(&self.fleet_state, BootTime(0), LinkRank::Equal, now);
        let LeaseStep::Append { at } = step else { return };
        let Some(position) = topic.append(at, lease_record(self.host, at.epoch)) else { return };
        // A record that was appended in a later epoch than it was based on does not grant the
        // lease.
        if is_acknowledged && position.epoch == at.epoch {
            self.keeper.record_append(position.fence(), now);
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

/// Runs random steps of random routers and of the store. Returns the orders and the number of
/// restores.
fn play(steps: Vec<(u8, u8, u16)>) -> (Vec<SentOrder>, u64) {
    let mut routers: Vec<TestRouter> = HOSTS.into_iter().map(TestRouter::new).collect();
    let mut topic = TestTopic::new();
    let mut orders = Vec::new();
    let mut now = BootTime(10_000);
    for (router_index, action, pause) in steps {
        now = now.after(Duration::from_millis(u64::from(pause) % 900));
        let router = &mut routers[usize::from(router_index) % HOSTS.len()];
        match action % 16 {
            0..=4 => router.read(&topic, now),
            5..=9 => router.decide(&mut topic, action % 2 == 1, now),
            10 => topic.backup = topic.records.clone(),
            11 => topic.restore(),
            12 if action % 64 == 12 => *router = TestRouter::new(router.host),
            _ => {
                if let Some(fence) = router.keeper.usable_fence(now) {
                    orders.push(SentOrder { host: router.host, fence, at: now });
                }
            }
        }
    }
    (orders, topic.epoch.0)
}

/// Guards against two holders at once after the store has lost a lease record, and against fencing
/// numbers that are reused or fall.
#[test]
fn holders_do_not_overlap_when_the_store_is_restored() {
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
fn histories_contain_restores_and_several_holders() {
    let mut generator = Gen::from_size_and_seed(200, SEED);
    let (mut holder_changes, mut restores) = (0, 0);
    for _ in 0..500 {
        let steps: Vec<(u8, u8, u16)> = quickcheck::Arbitrary::arbitrary(&mut generator);
        let (orders, restore_count) = play(steps);
        holder_changes += orders.windows(2).filter(|pair| pair[0].host != pair[1].host).count();
        restores += restore_count;
    }
    assert!(
        50 < holder_changes && 500 < restores,
        "{holder_changes} changes of holder, {restores} restores"
    );
}

struct LostLeaseCase {
    name: &'static str,
    /// Host of a lease record read after the restore, and the epoch for which it was written.
    lease: Option<(&'static str, u64)>,
    /// Milliseconds since the new epoch began.
    elapsed_ms: u64,
    appends: bool,
}

const LOST_LEASE_CASES: &[LostLeaseCase] = &[
    LostLeaseCase {
        name: "a lost lease may still be valid",
        lease: None,
        elapsed_ms: 2_999,
        appends: false,
    },
    LostLeaseCase {
        name: "a lost lease has expired",
        lease: None,
        elapsed_ms: 3_000,
        appends: true,
    },
    LostLeaseCase {
        name: "the own record is of an earlier epoch",
        lease: Some(("h0", 0)),
        elapsed_ms: 2_999,
        appends: false,
    },
    LostLeaseCase {
        name: "the own record is of this epoch",
        lease: Some(("h0", 1)),
        elapsed_ms: 1,
        appends: true,
    },
];

/// Guards against two holders at once: a host may have taken the lease just before the restore,
/// which lost its record.
#[test]
fn a_lost_lease_is_waited_out() {
    for case in LOST_LEASE_CASES {
        let mut fleet_state = FleetState::default();
        fleet_state.begin_epoch(StoreEpoch(0), BootTime(1_000));
        fleet_state.begin_epoch(StoreEpoch(1), BootTime(20_000));
        if let Some((host, epoch)) = case.lease {
            fleet_state.apply(
                LogOffset(0),
                &lease_record(host, StoreEpoch(epoch)),
                BootTime(20_000),
            );
        }
        let keeper = LeaseKeeper::new(HostName::new("h0"), LEASE_DURATION);
        let now = BootTime(20_000 + case.elapsed_ms);
        let step = keeper.step(&fleet_state, BootTime(0), LinkRank::Equal, now);
        assert_eq!(matches!(step, LeaseStep::Append { .. }), case.appends, "{}", case.name);
    }
}

struct RestoreReportCase {
    name: &'static str,
    /// Epochs of the reports, their configurations, and whether they say that lost records have
    /// been rewritten.
    reports: &'static [(u64, u64, bool)],
    expected_config: Option<u64>,
    is_recent: bool,
}

const RESTORE_REPORT_CASES: &[RestoreReportCase] = &[
    RestoreReportCase { name: "no reports", reports: &[], expected_config: None, is_recent: true },
    RestoreReportCase {
        name: "one report",
        reports: &[(1, 7, false)],
        expected_config: Some(7),
        is_recent: true,
    },
    RestoreReportCase {
        name: "the newest configuration counts",
        reports: &[(1, 7, false), (1, 5, false)],
        expected_config: Some(7),
        is_recent: true,
    },
    RestoreReportCase {
        name: "lost records have been rewritten",
        reports: &[(1, 7, false), (1, 7, true)],
        expected_config: Some(7),
        is_recent: false,
    },
    RestoreReportCase {
        name: "a report of an earlier epoch",
        reports: &[(0, 9, true)],
        expected_config: None,
        is_recent: true,
    },
];

/// Guards against a starting host admitting revoked keys from the older configuration of a restored
/// store.
#[test]
fn hosts_report_the_newest_configuration_after_a_restore() {
    for case in RESTORE_REPORT_CASES {
        let mut fleet_state = FleetState::default();
        fleet_state.begin_epoch(StoreEpoch(1), BootTime(1_000));
        fleet_state.apply(LogOffset(0), &joined_record("h0"), BootTime(1_000));
        for (offset, (epoch, config, is_settled)) in (1..).zip(case.reports) {
            let (epoch, config) = (StoreEpoch(*epoch), ConfigVersion(*config));
            let report = FleetRecord::Restored { epoch, config, is_settled: *is_settled };
            fleet_state.apply(LogOffset(offset), &report, BootTime(1_000));
        }
        let config = fleet_state.restore_report().map(|report| report.config.0);
        assert_eq!(config, case.expected_config, "{}", case.name);
        assert_eq!(fleet_state.is_restore_pending(), case.is_recent, "{}", case.name);
    }
}

/// Guards against starting hosts waiting although the store was never restored.
#[test]
fn the_first_epoch_is_trusted() {
    let mut fleet_state = FleetState::default();
    fleet_state.begin_epoch(StoreEpoch(0), BootTime(1_000));
    fleet_state.apply(LogOffset(0), &joined_record("h0"), BootTime(1_000));
    assert!(!fleet_state.is_restore_pending());
    assert_eq!(fleet_state.lost_lease_since(), None);
}

/// Guards against two holders at once: the own lease has expired, another host took it, and the
/// restore lost that host's record.
#[test]
fn a_lost_lease_is_waited_out_after_the_own_has_expired() {
    let mut fleet_state = FleetState::default();
    fleet_state.begin_epoch(StoreEpoch(0), BootTime(1_000));
    let mut keeper = LeaseKeeper::new(HostName::new("h0"), LEASE_DURATION);
    keeper.record_append(FencingNumber(0), BootTime(1_000));
    fleet_state.begin_epoch(StoreEpoch(1), BootTime(4_500));
    fleet_state.apply(LogOffset(0), &lease_record("h0", StoreEpoch(0)), BootTime(4_500));
    let step = |now| keeper.step(&fleet_state, BootTime(0), LinkRank::Equal, BootTime(now));
    assert!(matches!(step(4_600), LeaseStep::Wait(_)), "another host may hold the lease");
    assert!(matches!(step(7_500), LeaseStep::Append { .. }));
}

struct PresenceCase {
    name: &'static str,
    incarnation: u64,
    is_present: bool,
}

const PRESENCES: &[PresenceCase] = &[
    PresenceCase { name: "the record of a known start", incarnation: 1, is_present: false },
    PresenceCase { name: "the record of a new start", incarnation: 2, is_present: true },
];

/// A restore makes routers read the records of all hosts again. Guards against taking hosts that are long gone
/// for hosts that have just started.
#[test]
fn only_new_starts_count_as_present_after_a_restore() {
    for case in PRESENCES {
        let mut fleet_state = FleetState::default();
        let (start, later) = (BootTime(10_000), BootTime(60_000));
        fleet_state.begin_epoch(StoreEpoch(0), start);
        fleet_state.apply(LogOffset(0), &joined_record("h1"), start);
        fleet_state.begin_epoch(StoreEpoch(1), later);
        let mut record = joined_record("h1");
        if let FleetRecord::Joined { incarnation, .. } = &mut record {
            *incarnation = Incarnation(case.incarnation);
        }
        fleet_state.apply(LogOffset(0), &record, later);
        let members: Vec<_> = fleet_state.new_members(&ZoneName::new("north"), later).collect();
        assert_eq!(!members.is_empty(), case.is_present, "{}", case.name);
    }
}
