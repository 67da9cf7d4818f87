//! Who reads the store, and what is kept for those who do not.

use std::time::Duration;

use fulmargate_dispatch::BootTime;
use fulmargate_dispatch::LogAnswer;
use fulmargate_dispatch::LogCache;
use fulmargate_dispatch::RecordSource;
use fulmargate_dispatch::record_source;
use fulmargate_names::HostName;
use fulmargate_names::LogOffset;

const FEW: usize = 6;

fn hosts(count: usize) -> Vec<HostName> {
    (0..count).map(|number| HostName::new(&format!("host-{number}"))).collect()
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
        let source = |own: &HostName| {
            let others: Vec<HostName> = all.iter().filter(|host| *host != own).cloned().collect();
            record_source(own, &others, FEW)
        };
        let readers: Vec<&HostName> =
            all.iter().filter(|host| source(host) == RecordSource::Store).collect();
        assert_eq!(readers.len(), case.readers, "{}", case.name);
        for host in &all {
            if let RecordSource::Router(asked) = source(host) {
                assert!(readers.contains(&&asked), "{}: {host} asks {asked}", case.name);
            }
        }
    }
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

/// A host that does not read the store takes a cut-off reader's word for new, and serves a key that
/// was taken. The answer says how old it is, and too old a one is none.
#[test]
fn answers_say_how_old_they_are() {
    for case in CACHES {
        let mut cache = LogCache::default();
        for (from, count) in case.reads {
            cache.add(LogOffset(*from), &vec![b"record".to_vec(); *count]);
            cache.prove(BootTime(1_000));
        }
        let answer =
            cache.answer(LogOffset(case.from), Duration::from_millis(2_500), BootTime(case.now));
        let found = answer.map(|answer: LogAnswer| (answer.records.len(), answer.age_ms));
        assert_eq!(found, case.answer, "{}", case.name);
    }
}
