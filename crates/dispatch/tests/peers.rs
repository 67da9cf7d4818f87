//! What a router sums up of the others' words.

use std::time::Duration;

use fulmargate_dispatch::Backlog;
use fulmargate_dispatch::PeerBoard;
use fulmargate_dispatch::PeerLoad;
use fulmargate_dispatch::PeerNews;
use fulmargate_dispatch::PeerSum;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::Urgency;
use fulmargate_dispatch::word_pace;
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
        let news = PeerNews { loads, ..PeerNews::default() };
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
        let pace_ms = word_pace(peers).as_millis() as u64;
        assert!(2 * pace_ms <= WORD_AGE_MS, "{peers}: {pace_ms} ms");
    }
}
