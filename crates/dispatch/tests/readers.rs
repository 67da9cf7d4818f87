//! Who reads the store, and what is kept for those who do not.

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::LogAnswer;
use fulmargate_dispatch::LogCache;
use fulmargate_dispatch::LogPosition;
use fulmargate_dispatch::PeerBoard;
use fulmargate_dispatch::RecordSource;
use fulmargate_dispatch::ZonePeer;
use fulmargate_dispatch::record_source;
use fulmargate_names::HostName;
use fulmargate_names::LogOffset;
use fulmargate_names::StoreEpoch;
use fulmargate_names::ZoneName;
use tokio::time::Instant;

const FEW: usize = 6;
const LONGEST: Duration = Duration::from_millis(2_500);

/// A link of a small host, in kbit/s.
const NARROW: u32 = 10_000;
const WIDE: u32 = 200_000;

fn hosts(count: usize) -> Vec<ZonePeer> {
    let host = |number| HostName::new(&format!("host-{number}"));
    (0..count).map(|number| ZonePeer { host: host(number), link_kbps: NARROW }).collect()
}

struct FleetCase {
    name: &'static str,
    hosts: usize,
    readers: usize,
}

const FLEETS: &[FleetCase] = &[
    FleetCase { name: "one host", hosts: 1, readers: 1 },
    FleetCase { name: "a small zone", hosts: 6, readers: 6 },
    FleetCase { name: "a large zone", hosts: 30, readers: 2 },
    FleetCase { name: "the target's zone", hosts: 74, readers: 2 },
];

/// All hosts of a zone agree on its readers, and nobody asks a host that asks others.
#[test]
fn hosts_agree_on_readers() {
    for case in FLEETS {
        let all = hosts(case.hosts);
        let source = |own: &ZonePeer| {
            let others: Vec<ZonePeer> = all.iter().filter(|host| *host != own).cloned().collect();
            record_source(own, &others, FEW)
        };
        let reads = |host: &&ZonePeer| source(host) == RecordSource::Store;
        let readers: Vec<&HostName> = all.iter().filter(reads).map(|host| &host.host).collect();
        assert_eq!(readers.len(), case.readers, "{}", case.name);
        for host in &all {
            if let RecordSource::Routers(asked) = source(host) {
                let all_read = asked.iter().all(|asked| readers.contains(&asked));
                assert!(all_read, "{}: {host:?} asks {asked:?}", case.name);
                assert_eq!(asked.len(), readers.len(), "{}: {host:?} knows another", case.name);
            }
        }
    }
}

struct WidthCase {
    name: &'static str,
    /// Hosts whose links differ from the others', by number, and what they carry in kbit/s.
    links: &'static [(usize, u32)],
    /// Hosts that must be among the two readers.
    readers: &'static [usize],
}

const WIDTHS: &[WidthCase] = &[
    WidthCase { name: "two wide links", links: &[(7, WIDE), (22, WIDE)], readers: &[7, 22] },
    WidthCase { name: "one wide link", links: &[(11, WIDE)], readers: &[11] },
    WidthCase {
        name: "the widest of three",
        links: &[(3, WIDE), (4, 2 * WIDE), (5, 3 * WIDE)],
        readers: &[4, 5],
    },
];

/// Answers to callers stop for a moment at hosts with narrow links, while wide ones in their zone idle.
/// Readers were drawn by name alone, and hand the store's records on to 14 hosts each. The widest links of
/// the zone read, and all hosts know which those are.
#[test]
fn the_widest_links_read() {
    for case in WIDTHS {
        let mut all = hosts(30);
        for (number, link_kbps) in case.links {
            all[*number].link_kbps = *link_kbps;
        }
        let wanted: Vec<&HostName> = case.readers.iter().map(|number| &all[*number].host).collect();
        for own in &all {
            let others: Vec<ZonePeer> = all.iter().filter(|host| *host != own).cloned().collect();
            match record_source(own, &others, FEW) {
                RecordSource::Store => {
                    let may_read = wanted.len() < 2 || wanted.contains(&&own.host);
                    assert!(may_read, "{}: {own:?} reads", case.name);
                }
                RecordSource::Routers(asked) => {
                    let asks_all = wanted.iter().all(|wanted| asked.contains(wanted));
                    assert!(asks_all, "{}: {own:?} asks {asked:?}", case.name);
                }
            }
        }
    }
}

/// Each read of a zone costs a call of the store, as its hosts ask one whose link nobody knows.
/// A host of an earlier version does not say what its link carries, and might have any. It counts as the
/// narrowest.
#[test]
fn an_unknown_link_is_the_narrowest() {
    let mut all = hosts(30);
    let known = [2, 19];
    for (number, host) in all.iter_mut().enumerate() {
        host.link_kbps = if known.contains(&number) { 1 } else { 0 };
    }
    let (own, others) = all.split_first().expect("hosts");
    let RecordSource::Routers(mut asked) = record_source(own, others, FEW) else {
        panic!("it asks others");
    };
    asked.sort_unstable();
    assert_eq!(asked, [HostName::new("host-19"), HostName::new("host-2")]);
}

/// Hosts of a zone know each other's links from their words.
#[test]
fn words_tell_links() {
    let now = Instant::now();
    let mut board = PeerBoard::default();
    let zone = ZoneName::new("north");
    for (name, link_kbps) in [("host-1", Some(NARROW)), ("host-2", None)] {
        let news =
            GossipMessage { zone: Some(zone.clone()), link_kbps, ..GossipMessage::default() };
        board.hear(&HostName::new(name), &news, now);
    }
    let links: Vec<u32> = board.zone_peers(&zone, now).map(|peer| peer.link_kbps).collect();
    assert_eq!(links, [NARROW, 0]);
}

struct CacheCase {
    name: &'static str,
    /// Offset and number of records of each read.
    reads: &'static [(u64, usize)],
    from: u64,
    now: u64,
    /// Records given and their age; none if the asker has to read for himself.
    answer: Option<(usize, u64)>,
}

const CACHES: &[CacheCase] = &[
    CacheCase {
        name: "what follows",
        reads: &[(0, 3), (3, 2)],
        from: 2,
        now: 1_100,
        answer: Some((3, 100)),
    },
    CacheCase {
        name: "nothing new",
        reads: &[(0, 3)],
        from: 3,
        now: 1_100,
        answer: Some((0, 100)),
    },
    CacheCase {
        name: "older than what is kept",
        reads: &[(10, 3)],
        from: 9,
        now: 1_100,
        answer: None,
    },
    CacheCase {
        name: "newer than what is known",
        reads: &[(0, 3)],
        from: 4,
        now: 1_100,
        answer: None,
    },
    CacheCase { name: "too old", reads: &[(0, 3)], from: 0, now: 9_000, answer: None },
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

/// A host that does not read the store takes a cut-off reader's word for new, and serves a key that
/// was taken. The answer says how old it is, and too old a one is none.
#[test]
fn answers_say_how_old_they_are() {
    for case in CACHES {
        let mut cache = LogCache::default();
        for (from, count) in case.reads {
            cache.add(position(*from), &vec![b"record".to_vec(); *count]);
            cache.prove(BootTime(1_000));
        }
        let answer =
            cache.answer(position(case.from), LONGEST, BootTime(case.now), BootTime(case.now));
        let found = answer.map(|answer: LogAnswer| (answer.records.len(), answer.age_ms));
        assert_eq!(found, case.answer, "{}", case.name);
    }
}

/// A host misses a configuration for good.
/// The store has come back from a copy and gives offsets out again; the host's reader has read the new
/// records, and the host asks it for what follows the lost ones. Records of another epoch are no answer.
#[test]
fn records_of_another_epoch_are_no_answer() {
    let now = BootTime(1_100);
    let in_epoch = |epoch| LogPosition { epoch: StoreEpoch(epoch), offset: LogOffset(2) };
    let mut cache = LogCache::default();
    cache.add(position(0), &vec![b"lost".to_vec(); 2]);
    cache.add(LogPosition { epoch: StoreEpoch(1), ..position(1) }, &vec![b"new".to_vec(); 2]);
    cache.prove(BootTime(1_000));
    assert_eq!(cache.answer(in_epoch(0), LONGEST, now, now), None, "an asker of the earlier epoch");
    let answer = cache.answer(in_epoch(1), LONGEST, now, now).expect("records of this epoch");
    assert_eq!(answer.records, vec![b"new".to_vec()]);
    assert_eq!(cache.answer(in_epoch(2), LONGEST, now, now), None, "the reader is behind");
}

struct ProofCase {
    name: &'static str,
    /// When the reader's proof was sent, the question came and the answer was made, by its clock.
    proven: u64,
    arrived: u64,
    answered: u64,
    /// When the asker sent the question, and since when it may believe, by its own clock.
    asked: u64,
    believed: u64,
}

const PROOFS: &[ProofCase] = &[
    ProofCase {
        name: "answered at once",
        proven: 1_000,
        arrived: 1_500,
        answered: 1_500,
        asked: 70_000,
        believed: 69_500,
    },
    ProofCase {
        name: "the wait is not counted twice",
        proven: 1_000,
        arrived: 1_200,
        answered: 2_400,
        asked: 70_000,
        believed: 69_800,
    },
    ProofCase {
        name: "renewed while it waited",
        proven: 2_000,
        arrived: 1_200,
        answered: 2_400,
        asked: 70_000,
        believed: 70_800,
    },
];

/// Hosts of a large zone refuse all keys now and then, though the store is well.
/// Their reader's answer came after a wait, and the wait was counted in the answer's age and again by
/// the asker. Only the time between proof and question, and the way, make a proof older.
#[test]
fn a_wait_does_not_make_a_proof_older() {
    for case in PROOFS {
        let mut cache = LogCache::default();
        cache.add(position(0), &[b"record".to_vec()]);
        cache.prove(BootTime(case.proven));
        let (arrived, answered) = (BootTime(case.arrived), BootTime(case.answered));
        let answer = cache.answer(position(0), LONGEST, arrived, answered).expect("an answer");
        assert_eq!(answer.proven(BootTime(case.asked)), BootTime(case.believed), "{}", case.name);
    }
}
