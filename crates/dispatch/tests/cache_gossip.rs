//! Rate and order of cache updates in gossip messages.

use std::time::Duration;

use fulmargate_dispatch::CacheNotice;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::ServerRegistry;
use fulmargate_dispatch::max_published_parts;
use tokio::time::Instant;

/// Parts per message for 90 peers on a link of 10 Mbit/s.
const MAX_PARTS: usize = 170;

/// Upper bound on pending parts.
const MAX_PENDING: usize = 16_384;

struct UpdateCase {
    name: &'static str,
    /// Updates received before each message: server, whether its cache is reset, and number of parts.
    received: &'static [&'static [(u64, bool, usize)]],
    /// Number of parts in each message until none is pending.
    sent: &'static [usize],
}

const CASES: &[UpdateCase] = &[
    UpdateCase { name: "few updates", received: &[&[(1, false, 30), (2, false, 40)]], sent: &[70] },
    UpdateCase {
        name: "the contents of a cache",
        received: &[&[(1, false, 495)]],
        sent: &[170, 170, 155],
    },
    UpdateCase {
        name: "the contents of a cache, and updates received meanwhile",
        received: &[&[(1, false, 495)], &[(1, false, 20), (2, false, 20)]],
        sent: &[170, 170, 170, 25],
    },
    UpdateCase { name: "resets", received: &[&[(1, true, 200), (2, true, 0)]], sent: &[170, 30] },
];

/// Guards against messages that fill the host's link, or exceed the size limit and are not sent at all, when a
/// router takes over reading an engine's cache events.
#[test]
fn large_cache_updates_are_split_over_several_messages() {
    for case in CASES {
        let messages = messages_of(case);
        let sizes: Vec<usize> = messages.iter().map(|message| part_count(message)).collect();
        assert_eq!(sizes, case.sent, "{}", case.name);
        assert!(sizes.iter().all(|size| *size <= MAX_PARTS), "{}", case.name);
        let sent: Vec<CacheNotice> = messages.into_iter().flatten().collect();
        let received: Vec<CacheNotice> =
            (0..case.received.len()).flat_map(|round| notices(case, round)).collect();
        assert_eq!(parts(&sent), parts(&received), "{}: each part is sent once", case.name);
        assert_eq!(resets(&sent), resets(&received), "{}: each reset is sent once", case.name);
    }
}

struct PartsCase {
    name: &'static str,
    /// Link bandwidth in bytes per second.
    link: f64,
    peers: usize,
    /// Time since the last message.
    since_ms: u64,
    parts: usize,
}

const PARTS: &[PartsCase] = &[
    PartsCase {
        name: "small link, many peers",
        link: 1.25e6,
        peers: 90,
        since_ms: 600,
        parts: 173,
    },
    PartsCase {
        name: "small link, short interval",
        link: 1.25e6,
        peers: 90,
        since_ms: 120,
        parts: 34,
    },
    PartsCase {
        name: "large link, many peers",
        link: 125e6,
        peers: 90,
        since_ms: 600,
        parts: 1_024,
    },
    PartsCase { name: "small link, few peers", link: 1.25e6, peers: 5, since_ms: 27, parts: 140 },
    PartsCase {
        name: "link too small for the fleet",
        link: 1.25e5,
        peers: 90,
        since_ms: 100,
        parts: 16,
    },
    PartsCase { name: "no peers", link: 1.25e6, peers: 0, since_ms: 600, parts: 1_024 },
];

/// Guards against cache updates that use more than their share of the link or exceed the message size limit.
#[test]
fn message_size_follows_link_bandwidth_and_fleet_size() {
    for case in PARTS {
        let since = Duration::from_millis(case.since_ms);
        assert_eq!(max_published_parts(case.link, case.peers, since), case.parts, "{}", case.name);
    }
}

/// Guards against unbounded memory when updates arrive faster than they are sent. Resets must not be dropped.
#[test]
fn the_oldest_pending_parts_are_dropped() {
    const PARTS_PER_UPDATE: usize = 4_000;
    let mut registry = ServerRegistry::default();
    let now = Instant::now();
    for round in 0..5 {
        let first = round * PARTS_PER_UPDATE as u64;
        let parts = (0..PARTS_PER_UPDATE as u64).map(|number| (first + number, 16)).collect();
        registry.apply_cache_update(
            CacheNotice { server: ServerKey(1), is_reset: round == 0, parts },
            now,
        );
    }
    let sent = registry.take_gossip(usize::MAX, now).caches;
    assert_eq!(part_count(&sent), MAX_PENDING);
    let oldest_kept = (5 * PARTS_PER_UPDATE - MAX_PENDING) as u64;
    assert_eq!(parts(&sent)[0], (oldest_kept, 16), "the oldest parts are dropped");
    assert_eq!(resets(&sent), [1], "the reset is sent");
}

/// Guards against stale cache estimates on other routers while a large backlog of updates is sent: newer
/// updates go first, and replace older ones of the same part.
#[test]
fn newer_updates_are_sent_before_older_ones() {
    let mut registry = ServerRegistry::default();
    let now = Instant::now();
    let update_of = |server: u64, parts: Vec<(u64, u32)>| CacheNotice {
        server: ServerKey(server),
        is_reset: false,
        parts,
    };
    registry.apply_cache_update(update_of(1, (0..400).map(|part| (part, 16)).collect()), now);
    registry.take_gossip(MAX_PARTS, now);
    let new = [(7, 0), (9_000, 16)];
    registry.apply_cache_update(update_of(1, new.to_vec()), now);
    registry.apply_cache_update(update_of(2, vec![(5, 16)]), now);
    let sent = parts(&registry.take_gossip(MAX_PARTS, now).caches);
    assert!(new.iter().chain(&[(5, 16)]).all(|part| sent.contains(part)), "{sent:?}");
    let later = parts(&registry.take_gossip(MAX_PARTS, now).caches);
    assert!(
        later.iter().all(|(part, _)| *part != 7),
        "the older update must not be sent: {later:?}"
    );
}

/// Messages until no update is pending.
fn messages_of(case: &UpdateCase) -> Vec<Vec<CacheNotice>> {
    let mut registry = ServerRegistry::default();
    let now = Instant::now();
    let mut messages = Vec::new();
    for round in 0.. {
        for notice in notices(case, round) {
            registry.apply_cache_update(notice, now);
        }
        let message = registry.take_gossip(MAX_PARTS, now);
        if message.caches.is_empty() {
            break;
        }
        messages.push(message.caches);
    }
    messages
}

/// Updates received before a message. Part keys are made of server, round and number.
fn notices(case: &UpdateCase, round: usize) -> Vec<CacheNotice> {
    let received = case.received.get(round).copied().unwrap_or_default();
    let notice = |(server, is_reset, count): &(u64, bool, usize)| {
        let first = server * 1_000_000 + round as u64 * 10_000;
        let parts = (0..*count as u64).map(|number| (first + number, 16)).collect();
        CacheNotice { server: ServerKey(*server), is_reset: *is_reset, parts }
    };
    received.iter().map(notice).collect()
}

fn part_count(notices: &[CacheNotice]) -> usize {
    notices.iter().map(|notice| notice.parts.len()).sum()
}

/// All parts, sorted by key.
fn parts(notices: &[CacheNotice]) -> Vec<(u64, u32)> {
    let mut parts: Vec<(u64, u32)> =
        notices.iter().flat_map(|notice| notice.parts.iter().copied()).collect();
    parts.sort_unstable();
    parts
}

/// Keys of all reset servers, sorted.
fn resets(notices: &[CacheNotice]) -> Vec<u64> {
    let is_reset = notices.iter().filter(|notice| notice.is_reset);
    let mut resets: Vec<u64> = is_reset.map(|notice| notice.server.0).collect();
    resets.sort_unstable();
    resets
}
