//! How much of caches a router tells the others at a time.

use fulmargate_dispatch::CacheNotice;
use fulmargate_dispatch::ServerBook;
use fulmargate_dispatch::ServerKey;
use tokio::time::Instant;

/// Parts for one message, on a link of 10 Mbit/s among 90 others.
const MOST_PARTS: usize = 170;

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
        heard: &[&[(1, false, 300)], &[(1, false, 20), (2, false, 20)]],
        told: &[170, 170],
    },
    ToldCase { name: "after a reset", heard: &[&[(1, true, 200), (2, true, 0)]], told: &[170, 30] },
];

/// A host that takes over an engine's cache events can be reached by nobody for half a second, and opens no
/// link itself.
/// It told all that the engine had kept to each of 90 others in one message, 560 KB together. A message
/// above 16 KB is not sent at all, and with it the host's requests under way are not told.
/// Each message takes some of it, in order, until all is told.
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
        assert_eq!(parts(&told), parts(&heard), "{}: all, in order", case.name);
        assert_eq!(resets(&told), resets(&heard), "{}: each reset once", case.name);
    }
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
        let news = book.take_news(now);
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

fn parts(notices: &[CacheNotice]) -> Vec<(u64, u32)> {
    notices.iter().flat_map(|notice| notice.parts.iter().copied()).collect()
}

fn resets(notices: &[CacheNotice]) -> Vec<ServerKey> {
    notices.iter().filter(|notice| notice.is_reset).map(|notice| notice.server).collect()
}
