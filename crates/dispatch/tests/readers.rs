//! Choice of the hosts that read the store, and the records they cache for the others.

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::LogCache;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::LogResponse;
use fulmargate_dispatch::PeerLoadTable;
use fulmargate_dispatch::RecordSource;
use fulmargate_dispatch::ZonePeer;
use fulmargate_dispatch::record_source;
use fulmargate_names::HostName;
use fulmargate_names::LogOffset;
use fulmargate_names::StoreEpoch;
use fulmargate_names::ZoneName;
use tokio::time::Instant;

const MAX_DIRECT_HOSTS: usize = 6;
const MAX_AGE: Duration = Duration::from_millis(2_500);

/// Bandwidth of a small host's link, in kbit/s.
const NARROW_KBPS: u32 = 10_000;
const WIDE_KBPS: u32 = 200_000;

fn hosts(count: usize) -> Vec<ZonePeer> {
    let host = |number| HostName::new(&format!("host-{number}"));
    (0..count).map(|number| ZonePeer { host: host(number), link_kbps: NARROW_KBPS }).collect()
}

struct FleetCase {
    name: &'static str,
    hosts: usize,
    readers: usize,
}

const FLEET_CASES: &[FleetCase] = &[
    FleetCase { name: "one host", hosts: 1, readers: 1 },
    FleetCase { name: "a small zone", hosts: 6, readers: 6 },
    FleetCase { name: "a large zone", hosts: 30, readers: 2 },
    FleetCase { name: "a very large zone", hosts: 74, readers: 2 },
];

/// All hosts of a zone must agree on its readers, and readers must not ask others.
#[test]
fn hosts_agree_on_readers() {
    for case in FLEET_CASES {
        let all = hosts(case.hosts);
        let source = |own: &ZonePeer| {
            let others: Vec<ZonePeer> = all.iter().filter(|host| *host != own).cloned().collect();
            record_source(own, &others, MAX_DIRECT_HOSTS)
        };
        let reads = |host: &&ZonePeer| source(host) == RecordSource::Store;
        let readers: Vec<&HostName> = all.iter().filter(reads).map(|host| &host.host).collect();
        assert_eq!(readers.len(), case.readers, "{}", case.name);
        for host in &all {
            if let RecordSource::Routers(asked) = source(host) {
                let all_read = asked.iter().all(|asked| readers.contains(&asked));
                assert!(all_read, "{}: {host:?} asks {asked:?}", case.name);
                assert_eq!(
                    asked.len(),
                    readers.len(),
                    "{}: {host:?} asks some readers only",
                    case.name
                );
            }
        }
    }
}

struct WidthCase {
    name: &'static str,
    /// Hosts with other links, by number, and their bandwidth in kbit/s.
    links: &'static [(usize, u32)],
    /// Hosts that must be among the two readers.
    readers: &'static [usize],
}

const WIDTH_CASES: &[WidthCase] = &[
    WidthCase {
        name: "two wide links",
        links: &[(7, WIDE_KBPS), (22, WIDE_KBPS)],
        readers: &[7, 22],
    },
    WidthCase { name: "one wide link", links: &[(11, WIDE_KBPS)], readers: &[11] },
    WidthCase {
        name: "the widest of three",
        links: &[(3, WIDE_KBPS), (4, 2 * WIDE_KBPS), (5, 3 * WIDE_KBPS)],
        readers: &[4, 5],
    },
];

/// Guards against hosts with narrow links serving records to their zone while wide links are idle.
#[test]
fn hosts_with_the_widest_links_read() {
    for case in WIDTH_CASES {
        let mut all = hosts(30);
        for (number, link_kbps) in case.links {
            all[*number].link_kbps = *link_kbps;
        }
        let expected: Vec<&HostName> =
            case.readers.iter().map(|number| &all[*number].host).collect();
        for own in &all {
            let others: Vec<ZonePeer> = all.iter().filter(|host| *host != own).cloned().collect();
            match record_source(own, &others, MAX_DIRECT_HOSTS) {
                RecordSource::Store => {
                    let may_read = expected.len() < 2 || expected.contains(&&own.host);
                    assert!(may_read, "{}: {own:?} reads", case.name);
                }
                RecordSource::Routers(asked) => {
                    let asks_all = expected.iter().all(|expected| asked.contains(expected));
                    assert!(asks_all, "{}: {own:?} asks {asked:?}", case.name);
                }
            }
        }
    }
}

/// Guards against choosing a host of an earlier version, which does not report its bandwidth, as a
/// reader.
#[test]
fn an_unknown_link_counts_as_the_narrowest() {
    let mut all = hosts(30);
    let known = [2, 19];
    for (number, host) in all.iter_mut().enumerate() {
        host.link_kbps = if known.contains(&number) { 1 } else { 0 };
    }
    let (own, others) = all.split_first().expect("no hosts");
    let RecordSource::Routers(mut asked) = record_source(own, others, MAX_DIRECT_HOSTS) else {
        panic!("the host reads the store");
    };
    asked.sort_unstable();
    assert_eq!(asked, [HostName::new("host-19"), HostName::new("host-2")]);
}

/// Hosts learn the links of their zone from gossip messages.
#[test]
fn links_are_known_from_messages() {
    let now = Instant::now();
    let mut peer_loads = PeerLoadTable::default();
    let zone = ZoneName::new("north");
    for (name, link_kbps) in [("host-1", Some(NARROW_KBPS)), ("host-2", None)] {
        let message =
            GossipMessage { zone: Some(zone.clone()), link_kbps, ..GossipMessage::default() };
        peer_loads.record_message(&HostName::new(name), &message, now);
    }
    let links: Vec<u32> = peer_loads.zone_peers(&zone, now).map(|peer| peer.link_kbps).collect();
    assert_eq!(links, [NARROW_KBPS, 0]);
}

struct CacheCase {
    name: &'static str,
    /// Offset and number of the records of each read.
    reads: &'static [(u64, usize)],
    from: u64,
    now: u64,
    /// Number of records in the answer and their age; `None` if the requester has to read the
    /// store.
    answer: Option<(usize, u64)>,
}

const CACHE_CASES: &[CacheCase] = &[
    CacheCase {
        name: "new records",
        reads: &[(0, 3), (3, 2)],
        from: 2,
        now: 1_100,
        answer: Some((3, 100)),
    },
    CacheCase {
        name: "no new records",
        reads: &[(0, 3)],
        from: 3,
        now: 1_100,
        answer: Some((0, 100)),
    },
    CacheCase {
        name: "before the first cached record",
        reads: &[(10, 3)],
        from: 9,
        now: 1_100,
        answer: None,
    },
    CacheCase {
        name: "after the end of the cache",
        reads: &[(0, 3)],
        from: 4,
        now: 1_100,
        answer: None,
    },
    CacheCase { name: "cache is too old", reads: &[(0, 3)], from: 0, now: 9_000, answer: None },
    CacheCase { name: "after a gap", reads: &[(0, 3), (7, 1)], from: 3, now: 1_100, answer: None },
    CacheCase {
        name: "read twice",
        reads: &[(0, 3), (0, 3)],
        from: 0,
        now: 1_100,
        answer: Some((3, 100)),
    },
];

/// A position in the first epoch.
fn position(offset: u64) -> LogPosition {
    LogPosition { epoch: StoreEpoch(0), offset: LogOffset(offset) }
}

/// Guards against a host admitting a revoked key because its reader is cut off and serves outdated
/// records.
#[test]
fn answers_carry_their_age_and_expire() {
    for case in CACHE_CASES {
        let mut cache = LogCache::default();
        for (from, count) in case.reads {
            cache.add(position(*from), &vec![b"record".to_vec(); *count]);
            cache.mark_complete(BootTime(1_000));
        }
        let answer =
            cache.answer(position(case.from), MAX_AGE, BootTime(case.now), BootTime(case.now));
        let actual = answer.map(|answer: LogResponse| (answer.records.len(), answer.age_ms));
        assert_eq!(actual, case.answer, "{}", case.name);
    }
}

/// Guards against missing a configuration after the store was restored and assigns offsets again: a
/// position of one epoch must not be answered with records of another.
#[test]
fn records_of_another_epoch_are_not_served() {
    let now = BootTime(1_100);
    let in_epoch = |epoch| LogPosition { epoch: StoreEpoch(epoch), offset: LogOffset(2) };
    let mut cache = LogCache::default();
    cache.add(position(0), &vec![b"lost".to_vec(); 2]);
    cache.add(LogPosition { epoch: StoreEpoch(1), ..position(1) }, &vec![b"new".to_vec(); 2]);
    cache.mark_complete(BootTime(1_000));
    assert_eq!(
        cache.answer(in_epoch(0), MAX_AGE, now, now),
        None,
        "the requester is in an earlier epoch"
    );
    let answer = cache
        .answer(in_epoch(1), MAX_AGE, now, now)
        .expect("records of this epoch were not served");
    assert_eq!(answer.records, vec![b"new".to_vec()]);
    assert_eq!(
        cache.answer(in_epoch(2), MAX_AGE, now, now),
        None,
        "the requester is in a later epoch"
    );
}

struct AgeCase {
    name: &'static str,
    /// On the reader's clock: when its newest read was sent, and when the request was received and
    /// answered.
    complete_as_of: u64,
    received: u64,
    answered: u64,
    /// On the requester's clock: when the request was sent, and the time up to which the answer
    /// proves the records complete.
    asked: u64,
    proven_since: u64,
}

const AGE_CASES: &[AgeCase] = &[
    AgeCase {
        name: "answered immediately",
        complete_as_of: 1_000,
        received: 1_500,
        answered: 1_500,
        asked: 70_000,
        proven_since: 69_500,
    },
    AgeCase {
        name: "held before it was answered",
        complete_as_of: 1_000,
        received: 1_200,
        answered: 2_400,
        asked: 70_000,
        proven_since: 69_800,
    },
    AgeCase {
        name: "records were read again while the request was held",
        complete_as_of: 2_000,
        received: 1_200,
        answered: 2_400,
        asked: 70_000,
        proven_since: 70_800,
    },
];

/// Guards against hosts rejecting valid keys because the time for which a request was held counted
/// as age of the records.
#[test]
fn waiting_for_records_does_not_add_to_their_age() {
    for case in AGE_CASES {
        let mut cache = LogCache::default();
        cache.add(position(0), &[b"record".to_vec()]);
        cache.mark_complete(BootTime(case.complete_as_of));
        let (received, answered) = (BootTime(case.received), BootTime(case.answered));
        let answer = cache
            .answer(position(0), MAX_AGE, received, answered)
            .expect("records were not served");
        assert_eq!(
            answer.complete_as_of(BootTime(case.asked)),
            BootTime(case.proven_since),
            "{}",
            case.name
        );
    }
}
