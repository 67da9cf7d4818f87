//! Totals and link ranks from the messages of other routers, and the intervals between messages.

use std::time::Duration;

use fulmargate_dispatch::Backlog;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::LinkRank;
use fulmargate_dispatch::PeerLoad;
use fulmargate_dispatch::PeerLoadTable;
use fulmargate_dispatch::PeerTotal;
use fulmargate_dispatch::ServerKey;
use fulmargate_dispatch::Urgency;
use fulmargate_dispatch::gossip_interval;
use fulmargate_dispatch::urgent_interval;
use fulmargate_names::HostName;
use indexmap::IndexMap;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use tokio::time::Instant;

/// Age at which a message expires.
const MESSAGE_TTL_MS: u64 = 1_200;

/// A message of a router: its host, its loads by server, and the milliseconds since the previous
/// message.
type TestMessage = (u8, Vec<(u8, u8, u16)>, u16);

fn load((server, open, tokens): (u8, u8, u16)) -> PeerLoad {
    let mut backlog = Backlog::default();
    backlog.add(Urgency::timely(server % 3), f64::from(tokens));
    let server = ServerKey(u64::from(server % 4));
    PeerLoad { server, open: u32::from(open), chats: u32::from(open / 2), backlog }
}

fn expected_sum(loads: &[PeerLoad], server: ServerKey) -> (u32, u32, f64) {
    let loads = || loads.iter().filter(|load| load.server == server);
    (
        loads().map(|load| load.open).sum(),
        loads().map(|load| load.chats).sum(),
        loads().map(|load| load.backlog.total()).sum(),
    )
}

/// Guards against requests that have ended still being counted at an engine. After any messages,
/// the totals must be those of the newest current message of each router.
fn totals_match_current_reports(messages: Vec<TestMessage>) -> bool {
    let mut peer_loads = PeerLoadTable::default();
    let mut newest: IndexMap<u8, (u64, Vec<PeerLoad>)> = IndexMap::new();
    let start = Instant::now();
    let mut elapsed = 0;
    for (host, loads, pause) in messages {
        elapsed += u64::from(pause % 700);
        let loads: Vec<PeerLoad> = loads.into_iter().map(load).collect();
        let name = HostName::new(&format!("host-{}", host % 5));
        let message = GossipMessage { loads, ..GossipMessage::default() };
        peer_loads.record_message(&name, &message, start + Duration::from_millis(elapsed));
        newest.insert(host % 5, (elapsed, message.loads));
    }
    peer_loads.remove_expired(start + Duration::from_millis(elapsed));
    newest.retain(|_, (at, _)| elapsed - *at < MESSAGE_TTL_MS);
    let current: Vec<PeerLoad> = newest.into_values().flat_map(|(_, loads)| loads).collect();
    (0..4).map(ServerKey).all(|server| {
        let PeerTotal { open, chats, backlog } = peer_loads.total(server);
        (open, chats, backlog.total()) == expected_sum(&current, server)
    })
}

#[test]
fn totals_include_only_the_newest_report_of_each_router() {
    let generator = Gen::from_size_and_seed(60, 7);
    let property = totals_match_current_reports as fn(Vec<TestMessage>) -> bool;
    QuickCheck::new().tests(300).rng(generator).quickcheck(property);
}

/// Guards against routers of a large fleet considering each other gone because the interval between
/// messages exceeds their age limit.
#[test]
fn messages_are_sent_before_the_previous_one_expires() {
    for peers in [0, 5, 90, 300, 740] {
        let interval_ms = gossip_interval(peers).as_millis() as u64;
        assert!(2 * interval_ms <= MESSAGE_TTL_MS, "{peers} peers: {interval_ms} ms");
    }
}

/// Links of 10 and 200 Mbit/s, in bytes per second.
const NARROW_LINK: f64 = 1.25e6;
const WIDE_LINK: f64 = 25e6;
/// The share of a link that urgent messages may use.
const LINK_SHARE: f64 = 0.5;

struct UrgentCase {
    name: &'static str,
    peers: usize,
    /// Size of the previous message, and bandwidth of the link in bytes per second.
    message_bytes: usize,
    link: f64,
    interval: Duration,
}

const URGENT_CASES: &[UrgentCase] = &[
    UrgentCase {
        name: "a rollout on a narrow link",
        peers: 90,
        message_bytes: 1_400,
        link: NARROW_LINK,
        interval: Duration::from_micros(201_600),
    },
    UrgentCase {
        name: "a rollout on a wide link",
        peers: 90,
        message_bytes: 1_400,
        link: WIDE_LINK,
        interval: Duration::from_millis(120),
    },
    UrgentCase {
        name: "a short previous message",
        peers: 90,
        message_bytes: 60,
        link: NARROW_LINK,
        interval: Duration::from_millis(120),
    },
    UrgentCase {
        name: "no previous message",
        peers: 90,
        message_bytes: 0,
        link: NARROW_LINK,
        interval: Duration::from_millis(120),
    },
    UrgentCase {
        name: "a long previous message",
        peers: 90,
        message_bytes: 12_000,
        link: NARROW_LINK,
        interval: Duration::from_millis(600),
    },
    UrgentCase {
        name: "a very narrow link",
        peers: 90,
        message_bytes: 1_400,
        link: 1.0,
        interval: Duration::from_millis(600),
    },
    UrgentCase {
        name: "a small fleet",
        peers: 30,
        message_bytes: 1_600,
        link: NARROW_LINK,
        interval: Duration::from_micros(76_800),
    },
    UrgentCase {
        name: "few routers with a short regular interval",
        peers: 5,
        message_bytes: 1_400,
        link: NARROW_LINK,
        interval: Duration::from_micros(26_775),
    },
    UrgentCase {
        name: "no peers",
        peers: 0,
        message_bytes: 1_400,
        link: NARROW_LINK,
        interval: Duration::from_millis(25),
    },
];

/// Guards against the host that rolls out weights saturating a narrow link with announcements of
/// engines that load.
#[test]
fn urgent_messages_keep_to_a_share_of_the_link() {
    for case in URGENT_CASES {
        let interval = urgent_interval(case.peers, case.message_bytes, case.link);
        assert_eq!(interval, case.interval, "{}", case.name);
        let regular_interval = gossip_interval(case.peers);
        assert!(interval <= regular_interval, "{}: regular messages are more frequent", case.name);
        let sent = (case.message_bytes * case.peers) as f64;
        let allowed = case.link * LINK_SHARE * interval.as_secs_f64();
        assert!(
            interval == regular_interval || sent <= allowed + 1.0,
            "{}: {sent} bytes sent",
            case.name
        );
    }
}

struct RankCase {
    name: &'static str,
    /// Bandwidths of the own link and of those reported by others, in kbit/s.
    own: u32,
    others: &'static [Option<u32>],
    rank: LinkRank,
}

const RANK_CASES: &[RankCase] = &[
    RankCase { name: "no other router", own: 10_000, others: &[], rank: LinkRank::Equal },
    RankCase {
        name: "all links are equal",
        own: 10_000,
        others: &[Some(10_000), Some(10_000)],
        rank: LinkRank::Equal,
    },
    RankCase {
        name: "the only wide link",
        own: 200_000,
        others: &[Some(10_000), Some(10_000)],
        rank: LinkRank::Widest { hosts: 1 },
    },
    RankCase {
        name: "one of two wide links",
        own: 200_000,
        others: &[Some(10_000), Some(200_000)],
        rank: LinkRank::Widest { hosts: 2 },
    },
    RankCase {
        name: "another link is wider",
        own: 50_000,
        others: &[Some(10_000), Some(200_000)],
        rank: LinkRank::Narrower,
    },
    RankCase {
        name: "routers of an earlier version do not report their links",
        own: 10_000,
        others: &[None, None],
        rank: LinkRank::Equal,
    },
    RankCase {
        name: "some routers do not report their links",
        own: 200_000,
        others: &[None, Some(10_000)],
        rank: LinkRank::Widest { hosts: 1 },
    },
];

/// Links are compared with those in current reports only.
#[test]
fn links_are_ranked_by_current_reports() {
    for case in RANK_CASES {
        let mut peer_loads = PeerLoadTable::default();
        let start = Instant::now();
        for (number, link_kbps) in case.others.iter().enumerate() {
            let message = GossipMessage { link_kbps: *link_kbps, ..GossipMessage::default() };
            peer_loads.record_message(&HostName::new(&format!("host-{number}")), &message, start);
        }
        assert_eq!(peer_loads.link_rank(case.own, start), case.rank, "{}", case.name);
        let later = start + Duration::from_millis(MESSAGE_TTL_MS);
        assert_eq!(
            peer_loads.link_rank(case.own, later),
            LinkRank::Equal,
            "{}: expired",
            case.name
        );
    }
}
