//! A stream goes on only at the software version that began it.

mod support;

use std::time::Duration;

use fulmargate_dispatch::BindingLookup;
use fulmargate_dispatch::BindingNotice;
use fulmargate_dispatch::BindingTable;
use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::LIST_PROOF_AGE;
use fulmargate_dispatch::NEW_VERSION_DELAY;
use fulmargate_dispatch::OwnerCandidate;
use fulmargate_dispatch::RouteHistory;
use fulmargate_dispatch::RouteKind;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerStage;
use fulmargate_dispatch::ServiceShare;
use fulmargate_dispatch::SoleOrigin;
use fulmargate_dispatch::StreamKey;
use fulmargate_dispatch::StreamOrigin;
use fulmargate_dispatch::StreamRule;
use fulmargate_dispatch::VERSION_MEMORY;
use fulmargate_dispatch::VersionTracker;
use fulmargate_dispatch::binding_owners;
use fulmargate_dispatch::service_key;
use fulmargate_dispatch::store_writer;
use fulmargate_names::HostName;
use fulmargate_names::RequestId;
use fulmargate_names::ServiceName;
use fulmargate_names::SoftwareVersion;
use fulmargate_names::TeamName;
use fulmargate_names::ZoneName;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use support::ENGINES;
use support::route;
use support::server;
use support::version_fleet::FleetPlan;
use support::version_fleet::VersionFleet;
use tokio::time::Instant;

const START: BootTime = BootTime(1_000_000);

fn entry(name: &str, version: Option<&str>) -> ServerEntry {
    ServerEntry { version: version.map(SoftwareVersion::new), ..server(name, ENGINES) }
}

fn at(ms: u64) -> BootTime {
    START.after(Duration::from_millis(ms))
}

fn sync(tracker: &mut VersionTracker, entries: &[ServerEntry], ms: u64) {
    tracker.sync(entries.iter(), Some(at(ms)), at(ms));
}

fn sole(tracker: &VersionTracker, ms: u64) -> SoleOrigin {
    tracker.sole_origin(&ServiceName::new(ENGINES), at(ms), at(ms))
}

struct OriginCase {
    name: &'static str,
    first: ServerEntry,
    second: ServerEntry,
    is_equal: bool,
}

/// Guards against versions that are taken for each other.
#[test]
fn origins_are_equal_only_for_one_version_of_one_service() {
    let plain = |version| ServerEntry { version, ..server("b", "desk") };
    let v1 = || Some(SoftwareVersion::new("v1"));
    let cases = [
        OriginCase {
            name: "two servers of a version",
            first: entry("a", Some("v1")),
            second: entry("b", Some("v1")),
            is_equal: true,
        },
        OriginCase {
            name: "two versions",
            first: entry("a", Some("v1")),
            second: entry("a", Some("v1.1")),
            is_equal: false,
        },
        OriginCase {
            name: "the same text in two services",
            first: entry("a", Some("v1")),
            second: plain(v1()),
            is_equal: false,
        },
        OriginCase {
            name: "two unknown versions",
            first: entry("a", None),
            second: entry("b", None),
            is_equal: false,
        },
        OriginCase {
            name: "an unknown version and itself",
            first: entry("a", None),
            second: entry("a", None),
            is_equal: true,
        },
    ];
    for case in cases {
        let equal = StreamOrigin::of(&case.first) == StreamOrigin::of(&case.second);
        assert_eq!(equal, case.is_equal, "{}", case.name);
    }
}

/// Guards against an attempt that another team, or another route, can ask for.
#[test]
fn attempts_are_kept_apart_by_team_and_route() {
    let chat = route(stream_kind(), ENGINES, 2);
    let mut other = chat.clone();
    other.path_prefix = "/other/".to_owned();
    let (red, blue) = (TeamName::new("red"), TeamName::new("blue"));
    let id = RequestId::new("a1");
    let key = StreamKey::of(Some(&red), &chat, &id);
    assert_eq!(key, StreamKey::of(Some(&red), &chat, &id));
    assert_ne!(key, StreamKey::of(Some(&blue), &chat, &id));
    assert_ne!(key, StreamKey::of(None, &chat, &id));
    assert_ne!(key, StreamKey::of(Some(&red), &other, &id));
}

fn stream_kind() -> RouteKind {
    RouteKind::Stream(StreamRule { is_resumable: true, max_gap: Duration::from_millis(500) })
}

/// Guards against a new version that begins streams before all lists that lack it are too old to count.
#[test]
fn a_new_version_waits_until_no_young_list_lacks_it() {
    let mut tracker = VersionTracker::default();
    let (old, new) = (entry("a", Some("v1")), entry("b", Some("v2")));
    sync(&mut tracker, std::slice::from_ref(&old), 0);
    sync(&mut tracker, &[old.clone(), new.clone()], 700);
    let origin = StreamOrigin::of(&new);
    assert_eq!(tracker.waits_until(origin, at(701)), Some(at(700).after(NEW_VERSION_DELAY)));
    assert_eq!(tracker.waits_until(StreamOrigin::of(&old), at(701)), None);
    let after = at(700).after(NEW_VERSION_DELAY);
    assert_eq!(tracker.waits_until(origin, after), None);
}

/// Guards against a service that stands still while its only version is new.
#[test]
fn a_new_version_does_not_wait_without_others() {
    let mut tracker = VersionTracker::default();
    let (old, new) = (entry("a", Some("v1")), entry("b", Some("v2")));
    sync(&mut tracker, std::slice::from_ref(&old), 0);
    let leaving = ServerEntry { stage: ServerStage::Draining, ..old };
    sync(&mut tracker, &[leaving, new.clone()], 700);
    assert_eq!(tracker.waits_until(StreamOrigin::of(&new), at(701)), None);
}

/// Guards against a router that refuses all streams for seconds after its start.
#[test]
fn the_prevalent_version_of_the_first_list_does_not_wait() {
    let mut tracker = VersionTracker::default();
    let entries = [entry("a", Some("v1")), entry("b", Some("v1")), entry("c", Some("v2"))];
    sync(&mut tracker, &entries, 0);
    assert_eq!(tracker.waits_until(StreamOrigin::of(&entries[0]), at(1)), None);
    assert!(tracker.waits_until(StreamOrigin::of(&entries[2]), at(1)).is_some());
}

/// Guards against a guess where the list is old, the host new, or another host knows more.
#[test]
fn one_version_is_proved_by_a_young_list_only() {
    let old = entry("a", Some("v1"));
    let origin = StreamOrigin::of(&old);
    let mut tracker = VersionTracker::default();
    sync(&mut tracker, std::slice::from_ref(&old), 0);
    assert_eq!(sole(&tracker, 10), SoleOrigin::OnlyKnown(origin), "just started");
    tracker.record_past();
    assert_eq!(sole(&tracker, 10), SoleOrigin::Proved(origin), "the store was read");
    let late = LIST_PROOF_AGE.as_millis() as u64;
    assert_eq!(sole(&tracker, late - 1), SoleOrigin::Proved(origin), "a young list");
    assert_eq!(sole(&tracker, late), SoleOrigin::OnlyKnown(origin), "an old list");
    assert!(tracker.record_mixed(service_key(ENGINES), at(10)));
    assert_eq!(sole(&tracker, 20), SoleOrigin::Ambiguous, "another host knows several");
}

/// Guards against refusals of streams that began before a second version came, and against joins after.
#[test]
fn a_second_version_counts_from_when_it_may_begin_streams() {
    let (old, new) = (entry("a", Some("v1")), entry("b", Some("v2")));
    let mut tracker = VersionTracker::default();
    tracker.record_past();
    sync(&mut tracker, std::slice::from_ref(&old), 0);
    sync(&mut tracker, &[old.clone(), new.clone()], 700);
    let origin = StreamOrigin::of(&old);
    assert_eq!(sole(&tracker, 1_000), SoleOrigin::Proved(origin));
    let proof = LIST_PROOF_AGE.as_millis() as u64;
    assert_eq!(sole(&tracker, proof), SoleOrigin::Ambiguous);
    sync(&mut tracker, std::slice::from_ref(&old), 3_000);
    assert_eq!(sole(&tracker, 3_001), SoleOrigin::Ambiguous, "its streams may last");
    let forgotten = 800 + VERSION_MEMORY.as_millis() as u64;
    sync(&mut tracker, std::slice::from_ref(&old), forgotten);
    assert_eq!(sole(&tracker, forgotten + 1), SoleOrigin::Proved(origin));
}

fn notice(key: u128, origin: Option<StreamOrigin>) -> BindingNotice {
    BindingNotice { key: StreamKey(key), origin, left_ms: 5_000 }
}

/// Guards against two streams under one id, of which one is taken for the other.
#[test]
fn two_origins_of_one_attempt_cancel_each_other() {
    let now = Instant::now();
    let (first, second) = (entry("a", Some("v1")), entry("b", Some("v2")));
    let (first, second) = (StreamOrigin::of(&first), StreamOrigin::of(&second));
    let mut table = BindingTable::default();
    table.merge(&notice(1, Some(first)), now);
    table.merge(&notice(1, Some(first)), now);
    let age = Duration::ZERO;
    assert_eq!(table.lookup(StreamKey(1), now), BindingLookup::Bound { origin: first, age });
    table.merge(&notice(1, Some(second)), now);
    assert_eq!(table.lookup(StreamKey(1), now), BindingLookup::Contradictory);
    table.merge(&notice(1, Some(first)), now);
    assert_eq!(table.lookup(StreamKey(1), now), BindingLookup::Contradictory);
}

/// Guards against memory that grows with the ids that callers send.
#[test]
fn records_are_bounded_and_expire() {
    let mut now = Instant::now();
    let origin = Some(StreamOrigin::of(&entry("a", Some("v1"))));
    let mut table = BindingTable::default();
    for key in 0..100_000 {
        table.merge(&notice(key, origin), now);
    }
    assert!(table.len() <= 32_768, "{}", table.len());
    assert_eq!(table.lookup(StreamKey(0), now), BindingLookup::Unknown);
    now += Duration::from_secs(6);
    table.merge(&notice(100_000, origin), now);
    assert_eq!(table.len(), 1);
}

/// Guards against streams of the time with one version that nobody knows once there are two.
#[test]
fn own_records_are_published_when_a_second_version_comes() {
    let now = Instant::now();
    let origin = StreamOrigin::of(&entry("a", Some("v1")));
    let mut table = BindingTable::default();
    let expires = now + Duration::from_secs(5);
    table.record(StreamKey(1), origin, expires, false, now);
    table.merge(&notice(2, Some(origin)), now);
    assert!(table.take_unpublished(now).is_empty());
    assert!(table.publish_all(now));
    let published: Vec<StreamKey> =
        table.take_unpublished(now).iter().map(|notice| notice.key).collect();
    assert_eq!(published, [StreamKey(1)]);
    assert!(!table.publish_all(now));
}

fn candidates(hosts: usize) -> Vec<OwnerCandidate> {
    let candidate = |number: usize| OwnerCandidate {
        host: HostName::new(&format!("host-{number}")),
        zone: ZoneName::new(&format!("zone-{}", number % 3)),
    };
    (0..hosts).map(candidate).collect()
}

/// Guards against records that are all lost with one zone.
#[test]
fn owners_are_in_different_zones() {
    let candidates = candidates(12);
    for key in 0..100 {
        let owners = binding_owners(StreamKey(key), &candidates, 3);
        let mut zones: Vec<&ZoneName> = owners
            .iter()
            .filter_map(|owner| candidates.iter().find(|candidate| candidate.host == *owner))
            .map(|candidate| &candidate.zone)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        assert_eq!(zones.len(), 3);
        let fewer: Vec<OwnerCandidate> =
            candidates.iter().filter(|candidate| candidate.host != owners[0]).cloned().collect();
        let next = binding_owners(StreamKey(key), &fewer, 5);
        assert!(next.contains(&owners[1]) && next.contains(&owners[2]), "they move: {key}");
    }
}

/// Guards against a store that has more writers than it takes calls.
#[test]
fn few_hosts_of_a_large_fleet_write_to_the_store() {
    let candidates = candidates(195);
    let own = HostName::new("host-7");
    let mut writers: Vec<&HostName> =
        (0..5_000).map(|key| store_writer(StreamKey(key), &own, &candidates)).collect();
    writers.sort_unstable();
    writers.dedup();
    assert!(writers.len() <= 10, "{writers:?}");
}

/// Guards against a stream that joins another service, as its route has moved meanwhile.
#[test]
fn a_route_that_has_moved_is_ambiguous_for_a_while() {
    let mut history = RouteHistory::default();
    let before = route(stream_kind(), ENGINES, 2);
    let mut after = before.clone();
    after.services = vec![ServiceShare { service: ServiceName::new("others"), weight: 1.0 }];
    assert!(!history.apply(std::iter::once(&before), at(0)));
    assert!(!history.apply(std::iter::once(&before), at(10)));
    assert!(!history.is_ambiguous(&before, at(20)));
    assert!(history.apply(std::iter::once(&after), at(100)));
    assert!(history.is_ambiguous(&after, at(200)));
    let forgotten = at(100).after(VERSION_MEMORY);
    assert!(!history.is_ambiguous(&after, forgotten));
    let mut split = after.clone();
    split.services.push(ServiceShare { service: ServiceName::new(ENGINES), weight: 1.0 });
    assert!(history.is_ambiguous(&split, forgotten), "a split route always is");
}

/// Guards against any order of late lists, cuts, kills and takeovers in which a stream joins another version.
#[test]
fn no_history_joins_two_versions() {
    fn holds(seed: u64) -> bool {
        let plan = FleetPlan {
            hosts: 3 + (seed % 5) as usize,
            servers: 2 + (seed % 7) as usize,
            streams_per_s: 60,
            run_ms: 20_000,
            faults_per_s: 0.2 * (seed % 6) as f64,
            has_late_reads: seed.is_multiple_of(2),
            herds: if seed.is_multiple_of(3) { &[(9_000, 1.0)] } else { &[] },
        };
        let outcome = VersionFleet::new(plan, seed).run();
        outcome.wrong == 0 && 0 < outcome.taken_up
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_000_000, 54))
        .tests(60)
        .quickcheck(holds as fn(u64) -> bool);
}

struct SizeCase {
    hosts: usize,
    streams_per_s: u64,
}

const SIZES: &[SizeCase] = &[
    SizeCase { hosts: 6, streams_per_s: 70 },
    SizeCase { hosts: 30, streams_per_s: 300 },
    SizeCase { hosts: 90, streams_per_s: 900 },
    SizeCase { hosts: 195, streams_per_s: 2_000 },
];

/// Guards against streams that are refused in numbers when a tenth of the hosts is gone at once.
#[test]
fn streams_go_on_at_every_size_when_hosts_are_gone() {
    for case in SIZES {
        let plan = FleetPlan {
            hosts: case.hosts,
            servers: 12,
            streams_per_s: case.streams_per_s,
            run_ms: 24_000,
            faults_per_s: 0.0,
            has_late_reads: true,
            herds: &[(8_000, 0.1), (12_000, 0.1), (16_000, 0.1)],
        };
        let outcome = VersionFleet::new(plan, 54).run();
        println!("{} hosts: {outcome:?}", case.hosts);
        assert_eq!(outcome.wrong, 0, "{} hosts", case.hosts);
        let (taken_up, went_on) = (outcome.taken_up_in_touch, outcome.went_on_in_touch);
        assert!(taken_up <= 2 * went_on, "{} hosts: {outcome:?}", case.hosts);
    }
}

/// Guards against the loss of all streams with all hosts.
#[test]
fn streams_go_on_when_all_hosts_are_gone() {
    for case in SIZES {
        let plan = FleetPlan {
            hosts: case.hosts,
            servers: 12,
            streams_per_s: case.streams_per_s,
            run_ms: 14_000,
            faults_per_s: 0.0,
            has_late_reads: false,
            herds: &[(8_000, 1.0), (11_000, 1.0)],
        };
        let outcome = VersionFleet::new(plan, 54).run();
        println!("{} hosts: {outcome:?}", case.hosts);
        assert_eq!(outcome.wrong, 0, "{} hosts", case.hosts);
        assert!(outcome.taken_up <= 2 * outcome.went_on, "{} hosts: {outcome:?}", case.hosts);
    }
}
