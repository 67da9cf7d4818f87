//! What a router sums up of the others' words.

use std::time::Duration;

use fulmargate_dispatch::Backlog;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::LinkRank;
use fulmargate_dispatch::PeerBoard;
use fulmargate_dispatch::PeerLoad;
use fulmargate_dispatch::PeerSum;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::Urgency;
use fulmargate_dispatch::gossip_interval;
use fulmargate_dispatch::urgent_pace;
use fulmargate_names::HostName;
use indexmap::IndexMap;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use tokio::time::Instant;

/// Words older than this do not count.
const WORD_AGE_MS: u64 = 1_200;

/// A router's word: host, what it has by server, and the milliseconds since the word before.
type SpokenWord = (u8, Vec<(u8, u8, u16)>, u16);

fn load((server, open, tokens): (u8, u8, u16)) -> PeerLoad {
    let mut backlog = Backlog::default();
    backlog.add(Urgency::timely(server % 3), f64::from(tokens));
    let server = ServerKey(u64::from(server % 4));
    PeerLoad { server, open: u32::from(open), chats: u32::from(open / 2), backlog }
}

fn sum(loads: &[PeerLoad], server: ServerKey) -> (u32, u32, f64) {
    let loads = || loads.iter().filter(|load| load.server == server);
    (
        loads().map(|load| load.open).sum(),
        loads().map(|load| load.chats).sum(),
        loads().map(|load| load.backlog.total()).sum(),
    )
}

/// A router is thought to have requests at an engine that it has long left, and nobody goes there.
/// Its words were added to a sum again and again, and one of them was not taken off.
/// The sums must be those of the newest word of each router that is not silent, after any words.
fn sums_are_those_of_fresh_words(words: Vec<SpokenWord>) -> bool {
    let mut board = PeerBoard::default();
    let mut newest: IndexMap<u8, (u64, Vec<PeerLoad>)> = IndexMap::new();
    let start = Instant::now();
    let mut elapsed = 0;
    for (host, loads, pause) in words {
        elapsed += u64::from(pause % 700);
        let loads: Vec<PeerLoad> = loads.into_iter().map(load).collect();
        let name = HostName::new(&format!("host-{}", host % 5));
        let news = GossipMessage { loads, ..GossipMessage::default() };
        board.hear(&name, &news, start + Duration::from_millis(elapsed));
        newest.insert(host % 5, (elapsed, news.loads));
    }
    board.drop_silent(start + Duration::from_millis(elapsed));
    newest.retain(|_, (at, _)| elapsed - *at < WORD_AGE_MS);
    let fresh: Vec<PeerLoad> = newest.into_values().flat_map(|(_, loads)| loads).collect();
    (0..4).map(ServerKey).all(|server| {
        let PeerSum { open, chats, backlog } = board.sum(server);
        (open, chats, backlog.total()) == sum(&fresh, server)
    })
}

#[test]
fn sums_hold() {
    let generator = Gen::from_size_and_seed(60, 7);
    let property = sums_are_those_of_fresh_words as fn(Vec<SpokenWord>) -> bool;
    QuickCheck::new().tests(300).rng(generator).quickcheck(property);
}

/// In a fleet of hundreds routers take each other for gone, and all read the store themselves.
/// The pause between two words grew with the fleet beyond the age at which a word counts.
#[test]
fn words_come_before_the_last_one_is_old() {
    for peers in [0, 5, 90, 300, 740] {
        let pace_ms = gossip_interval(peers).as_millis() as u64;
        assert!(2 * pace_ms <= WORD_AGE_MS, "{peers}: {pace_ms} ms");
    }
}

/// A link of 10 Mbit/s and one of 200, in bytes a second.
const SMALL_LINK: f64 = 1.25e6;
const WIDE_LINK: f64 = 25e6;
/// The share of a link that words before their turn may take.
const LINK_SHARE: f64 = 0.5;

struct UrgentCase {
    name: &'static str,
    peers: usize,
    /// Bytes of the word before, and what the link carries in a second.
    word_bytes: usize,
    link: f64,
    pause: Duration,
}

const URGENT: &[UrgentCase] = &[
    UrgentCase {
        name: "a wave on a small link",
        peers: 90,
        word_bytes: 1_400,
        link: SMALL_LINK,
        pause: Duration::from_micros(201_600),
    },
    UrgentCase {
        name: "a wave on a wide link",
        peers: 90,
        word_bytes: 1_400,
        link: WIDE_LINK,
        pause: Duration::from_millis(120),
    },
    UrgentCase {
        name: "the first notice after a short word",
        peers: 90,
        word_bytes: 60,
        link: SMALL_LINK,
        pause: Duration::from_millis(120),
    },
    UrgentCase {
        name: "nothing was said before",
        peers: 90,
        word_bytes: 0,
        link: SMALL_LINK,
        pause: Duration::from_millis(120),
    },
    UrgentCase {
        name: "a long word",
        peers: 90,
        word_bytes: 12_000,
        link: SMALL_LINK,
        pause: Duration::from_millis(600),
    },
    UrgentCase {
        name: "too small a link",
        peers: 90,
        word_bytes: 1_400,
        link: 1.0,
        pause: Duration::from_millis(600),
    },
    UrgentCase {
        name: "a small fleet",
        peers: 30,
        word_bytes: 1_600,
        link: SMALL_LINK,
        pause: Duration::from_micros(76_800),
    },
    UrgentCase {
        name: "few routers, whose words are frequent anyway",
        peers: 5,
        word_bytes: 1_400,
        link: SMALL_LINK,
        pause: Duration::from_micros(26_775),
    },
    UrgentCase {
        name: "nobody else",
        peers: 0,
        word_bytes: 1_400,
        link: SMALL_LINK,
        pause: Duration::from_millis(25),
    },
];

/// Callers of the host that orders engines to load get no answer for seconds, and its own reports of
/// engines come too late, so that new weights are in place later.
/// With each engine that began or ended its load it told 90 others all that it had to say, 1.1 KB and more
/// eight times a second, and filled a link of 10 Mbit/s.
/// A longer word is followed by a longer pause, up to that of all words.
#[test]
fn words_before_their_turn_keep_to_a_share_of_the_link() {
    for case in URGENT {
        let pause = urgent_pace(case.peers, case.word_bytes, case.link);
        assert_eq!(pause, case.pause, "{}", case.name);
        let turn = gossip_interval(case.peers);
        assert!(pause <= turn, "{}: all words go out more often", case.name);
        let sent = (case.word_bytes * case.peers) as f64;
        let allowed = case.link * LINK_SHARE * pause.as_secs_f64();
        assert!(pause == turn || sent <= allowed + 1.0, "{}: {sent} bytes", case.name);
    }
}

struct RankCase {
    name: &'static str,
    /// The own link, and what each of the others has said of its link, in kbit/s.
    own: u32,
    others: &'static [Option<u32>],
    rank: LinkRank,
}

const RANKS: &[RankCase] = &[
    RankCase { name: "nobody has spoken", own: 10_000, others: &[], rank: LinkRank::Equal },
    RankCase {
        name: "all are the same",
        own: 10_000,
        others: &[Some(10_000), Some(10_000)],
        rank: LinkRank::Equal,
    },
    RankCase {
        name: "the only wide one",
        own: 200_000,
        others: &[Some(10_000), Some(10_000)],
        rank: LinkRank::Widest { hosts: 1 },
    },
    RankCase {
        name: "one of two",
        own: 200_000,
        others: &[Some(10_000), Some(200_000)],
        rank: LinkRank::Widest { hosts: 2 },
    },
    RankCase {
        name: "another is wider",
        own: 50_000,
        others: &[Some(10_000), Some(200_000)],
        rank: LinkRank::Narrower,
    },
    RankCase {
        name: "those of an earlier version say nothing",
        own: 10_000,
        others: &[None, None],
        rank: LinkRank::Equal,
    },
    RankCase {
        name: "some say nothing",
        own: 200_000,
        others: &[None, Some(10_000)],
        rank: LinkRank::Widest { hosts: 1 },
    },
];

/// A host knows its place among the others' links by what they have said lately.
#[test]
fn links_are_ranked_by_fresh_words() {
    for case in RANKS {
        let mut board = PeerBoard::default();
        let start = Instant::now();
        for (number, link_kbps) in case.others.iter().enumerate() {
            let news = GossipMessage { link_kbps: *link_kbps, ..GossipMessage::default() };
            board.hear(&HostName::new(&format!("host-{number}")), &news, start);
        }
        assert_eq!(board.link_rank(case.own, start), case.rank, "{}", case.name);
        let later = start + Duration::from_millis(WORD_AGE_MS);
        assert_eq!(board.link_rank(case.own, later), LinkRank::Equal, "{}: silent", case.name);
    }
}
