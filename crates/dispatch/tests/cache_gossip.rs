//! How much of caches a router tells the others at a time.

use std::time::Duration;

use fulmargate_dispatch::CacheNotice;
use fulmargate_dispatch::ServerBook;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::published_parts;
use tokio::time::Instant;

/// Parts for one message, on a link of 10 Mbit/s among 90 others.
const MOST_PARTS: usize = 170;

/// Parts that wait to be told.
const MOST_WAITING: usize = 16_384;

struct ToldCase {
    name: &'static str,
    /// What is heard before each message: the server, whether it starts anew, and its parts.
    heard: &'static [&'static [(u64, bool, usize)]],
    /// Parts of each message, until nothing is left.
    told: &'static [usize],
}

const CASES: &[ToldCase] = &[
    ToldCase { name: "what is new", heard: &[&[(1, false, 30), (2, false, 40)]], told: &[70] },
    ToldCase {
        name: "what an engine has kept",
        heard: &[&[(1, false, 495)]],
        told: &[170, 170, 155],
    },
    ToldCase {
        name: "what it has kept and what is new meanwhile",
        heard: &[&[(1, false, 495)], &[(1, false, 20), (2, false, 20)]],
        told: &[170, 170, 170, 25],
    },
    ToldCase { name: "after a reset", heard: &[&[(1, true, 200), (2, true, 0)]], told: &[170, 30] },
];

/// A host that takes over an engine's cache events can be reached by nobody for half a second, and opens no
/// link itself.
/// It told all that the engine had kept to each of 90 others in one message, 560 KB together. A message
/// above 16 KB is not sent at all, and with it the host's requests under way are not told.
/// Each message takes some of it, until all is told.
#[test]
fn what_caches_have_kept_is_told_little_by_little() {
    for case in CASES {
        let messages = tell_all(case);
        let sizes: Vec<usize> = messages.iter().map(|message| part_count(message)).collect();
        assert_eq!(sizes, case.told, "{}", case.name);
        assert!(sizes.iter().all(|size| *size <= MOST_PARTS), "{}", case.name);
        let told: Vec<CacheNotice> = messages.into_iter().flatten().collect();
        let heard: Vec<CacheNotice> =
            (0..case.heard.len()).flat_map(|turn| notices(case, turn)).collect();
        assert_eq!(parts(&told), parts(&heard), "{}: each part once", case.name);
        assert_eq!(resets(&told), resets(&heard), "{}: each reset once", case.name);
    }
}

struct PartsCase {
    name: &'static str,
    /// Bytes a second that the link carries, other routers, and milliseconds since the last message.
    link: f64,
    peers: usize,
    since_ms: u64,
    parts: usize,
}

const PARTS: &[PartsCase] = &[
    PartsCase { name: "a small link, many", link: 1.25e6, peers: 90, since_ms: 600, parts: 173 },
    PartsCase { name: "said early", link: 1.25e6, peers: 90, since_ms: 120, parts: 34 },
    PartsCase { name: "a large link, many", link: 125e6, peers: 90, since_ms: 600, parts: 1_024 },
    PartsCase { name: "a small link, few", link: 1.25e6, peers: 5, since_ms: 27, parts: 140 },
    PartsCase { name: "too small a link", link: 1.25e5, peers: 90, since_ms: 100, parts: 16 },
    PartsCase { name: "nobody else", link: 1.25e6, peers: 0, since_ms: 600, parts: 1_024 },
];

/// What is told to all is a share of the link, and a message stays below what a link takes at once.
#[test]
fn messages_keep_to_a_share_of_the_link() {
    for case in PARTS {
        let since = Duration::from_millis(case.since_ms);
        assert_eq!(published_parts(case.link, case.peers, since), case.parts, "{}", case.name);
    }
}

/// A router's memory grows while it can tell less than it hears.
/// Of too much the oldest is left out, but not that an engine has started anew.
#[test]
fn of_too_much_the_oldest_is_left_out() {
    const KEPT: usize = 4_000;
    let mut book = ServerBook::default();
    let now = Instant::now();
    for turn in 0..5 {
        let first = turn * KEPT as u64;
        let parts = (0..KEPT as u64).map(|number| (first + number, 16)).collect();
        book.hear_cache(CacheNotice { server: ServerKey(1), is_reset: turn == 0, parts }, now);
    }
    let told = book.take_news(usize::MAX, now).caches;
    assert_eq!(part_count(&told), MOST_WAITING);
    let oldest_left = (5 * KEPT - MOST_WAITING) as u64;
    assert_eq!(parts(&told)[0], (oldest_left, 16), "the oldest parts are left out");
    assert_eq!(resets(&told), [1], "the reset is told");
}

/// Routers send prompts to engines that have long dropped their parts, and read anew what others have.
/// One router tells what an engine has kept, for seconds, and all that it hears meanwhile came behind it.
/// What is new goes first; an older word on the same part does not follow it.
#[test]
fn what_is_new_goes_before_what_was_kept() {
    let mut book = ServerBook::default();
    let now = Instant::now();
    let told_of = |server: u64, parts: Vec<(u64, u32)>| CacheNotice {
        server: ServerKey(server),
        is_reset: false,
        parts,
    };
    book.hear_cache(told_of(1, (0..400).map(|part| (part, 16)).collect()), now);
    book.take_news(MOST_PARTS, now);
    let new = [(7, 0), (9_000, 16)];
    book.hear_cache(told_of(1, new.to_vec()), now);
    book.hear_cache(told_of(2, vec![(5, 16)]), now);
    let told = parts(&book.take_news(MOST_PARTS, now).caches);
    assert!(new.iter().chain(&[(5, 16)]).all(|part| told.contains(part)), "{told:?}");
    let later = parts(&book.take_news(MOST_PARTS, now).caches);
    assert!(later.iter().all(|(part, _)| *part != 7), "the engine has dropped it: {later:?}");
}

/// The messages until nothing is left.
fn tell_all(case: &ToldCase) -> Vec<Vec<CacheNotice>> {
    let mut book = ServerBook::default();
    let now = Instant::now();
    let mut messages = Vec::new();
    for turn in 0.. {
        for notice in notices(case, turn) {
            book.hear_cache(notice, now);
        }
        let news = book.take_news(MOST_PARTS, now);
        if news.caches.is_empty() {
            break;
        }
        messages.push(news.caches);
    }
    messages
}

/// What is heard before a message. Parts are named by server, turn and number.
fn notices(case: &ToldCase, turn: usize) -> Vec<CacheNotice> {
    let heard = case.heard.get(turn).copied().unwrap_or_default();
    let notice = |(server, is_reset, count): &(u64, bool, usize)| {
        let first = server * 1_000_000 + turn as u64 * 10_000;
        let parts = (0..*count as u64).map(|number| (first + number, 16)).collect();
        CacheNotice { server: ServerKey(*server), is_reset: *is_reset, parts }
    };
    heard.iter().map(notice).collect()
}

fn part_count(notices: &[CacheNotice]) -> usize {
    notices.iter().map(|notice| notice.parts.len()).sum()
}

/// In the order of their names.
fn parts(notices: &[CacheNotice]) -> Vec<(u64, u32)> {
    let mut parts: Vec<(u64, u32)> =
        notices.iter().flat_map(|notice| notice.parts.iter().copied()).collect();
    parts.sort_unstable();
    parts
}

/// In the order of their keys.
fn resets(notices: &[CacheNotice]) -> Vec<u64> {
    let is_reset = notices.iter().filter(|notice| notice.is_reset);
    let mut resets: Vec<u64> = is_reset.map(|notice| notice.server.0).collect();
    resets.sort_unstable();
    resets
}
