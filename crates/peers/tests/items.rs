//! What hosts tell each other, under failures, on the core alone.

mod support;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::PromptHash;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use fulmargate_peers::PeerItem;
use fulmargate_peers::PeerNews;
use fulmargate_peers::RecordKind;
use fulmargate_peers::SpreadScope;
use fulmargate_peers::TeamRate;
use fulmargate_peers::VerdictState;
use support::SimNet;

fn leaving(server: &str, incarnation: u64) -> PeerItem {
    PeerItem::ServerLeaving {
        server: ServerName::new(server),
        incarnation: Incarnation(incarnation),
    }
}

fn seen(server: &str, incarnation: u64) -> PeerItem {
    PeerItem::ServerSeen { server: ServerName::new(server), incarnation: Incarnation(incarnation) }
}

fn gone(host: &str, incarnation: u64) -> PeerItem {
    PeerItem::ClaimerGone { host: HostName::new(host), incarnation: Incarnation(incarnation) }
}

fn hot(prefix: u64, server: &str) -> PeerItem {
    let (prefix, server) = (PromptHash(prefix), ServerName::new(server));
    PeerItem::HotPrefix { prefix, server, incarnation: Incarnation(1) }
}

fn verdict(state: VerdictState, servers: &[&str]) -> PeerItem {
    PeerItem::CrashVerdict {
        fingerprint: 77,
        state,
        servers: servers.iter().map(|server| ServerName::new(server)).collect(),
    }
}

fn rate(team: &str, tokens_per_s: u64) -> TeamRate {
    TeamRate { team: TeamName::new(team), milli_requests_per_s: 10, tokens_per_s }
}

fn settled(hosts: usize, zones: usize, seed: u64) -> SimNet {
    let mut net = SimNet::new(hosts, zones, seed);
    assert!(net.run_until(15_000, SimNet::all_alive).is_some());
    net.run(2_000);
    net
}

#[test]
fn each_kind_reaches_whom_it_is_for() {
    let items = [
        leaving("s", 3),
        seen("s", 3),
        gone("h", 3),
        hot(9, "s"),
        verdict(VerdictState::Suspect, &["s"]),
    ];
    for item in items {
        let mut net = settled(24, 3, 1);
        net.put(4, item.clone());
        let all: Vec<usize> = (0..24).collect();
        let zone = net.zone("zone-1");
        let is_zonal = item.kind().row().scope == SpreadScope::Zone;
        let wanted = if is_zonal { &zone } else { &all };
        let took = net.run_until(8_000, |net| net.all_have(wanted, |held| *held == item));
        assert!(took.is_some(), "{item:?}");
        let holders = all.iter().filter(|&&index| net.has(index, |held| *held == item)).count();
        assert_eq!(holders, wanted.len(), "{item:?}");
    }
}

/// Two writers of one key that do not know of each other, the later one last, and who prevails.
struct WriteCase {
    name: &'static str,
    first: fn() -> PeerItem,
    second: fn() -> PeerItem,
    stands: fn() -> PeerItem,
}

impl WriteCase {
    /// The writers are cut off from each other while they write.
    fn check(&self) {
        for (writers, seed) in [([0, 1], 1), ([1, 0], 2), ([4, 3], 3)] {
            let mut net = settled(6, 3, seed);
            let (a, b) = (net.zone("zone-0"), net.zone("zone-1"));
            net.cut_both(&a, &b);
            let third = net.zone("zone-2");
            net.cut_both(&third, &b);
            net.put(writers[0], (self.first)());
            net.put(writers[1], (self.second)());
            net.run(3_000);
            net.heal();
            let all: Vec<usize> = (0..6).collect();
            let took =
                net.run_until(10_000, |net| net.all_have(&all, |held| *held == (self.stands)()));
            assert!(took.is_some(), "{}: seed {seed}", self.name);
            net.run(10_000);
            assert!(
                net.all_have(&all, |held| *held == (self.stands)()),
                "{}: it reverts, seed {seed}",
                self.name
            );
        }
    }
}

const WRITE_CASES: [WriteCase; 6] = [
    WriteCase {
        name: "leaving is not undone by an earlier incarnation's leaving",
        first: || leaving("s", 9),
        second: || leaving("s", 3),
        stands: || leaving("s", 9),
    },
    WriteCase {
        name: "an old incarnation does not come back",
        first: || seen("s", 9),
        second: || seen("s", 3),
        stands: || seen("s", 9),
    },
    WriteCase {
        name: "the last claimer gone",
        first: || gone("h", 9),
        second: || gone("h", 3),
        stands: || gone("h", 9),
    },
    WriteCase {
        name: "a conviction is not covered by a suspicion",
        first: || verdict(VerdictState::Convicted, &["s", "t"]),
        second: || verdict(VerdictState::Suspect, &["s"]),
        stands: || verdict(VerdictState::Convicted, &["s", "t"]),
    },
    WriteCase {
        name: "two crashes at two routers are two",
        first: || verdict(VerdictState::Suspect, &["s"]),
        second: || verdict(VerdictState::Suspect, &["t"]),
        stands: || verdict(VerdictState::Suspect, &["s", "t"]),
    },
    WriteCase {
        name: "a suspicion is not covered by a clearing elsewhere",
        first: || verdict(VerdictState::Suspect, &["s"]),
        second: || verdict(VerdictState::Cleared, &["s"]),
        stands: || verdict(VerdictState::Suspect, &["s"]),
    },
];

/// Two hosts of cut-off zones write under one key, neither knowing of the other's record. When they
/// meet again each host must come to the same record, and to the one that is safe to act on: a lower
/// incarnation, a clearing or a suspicion must not cover what is worse.
#[test]
fn writes_in_ignorance_of_each_other_settle_on_the_safe_one() {
    WRITE_CASES.iter().for_each(WriteCase::check);
}

#[test]
fn a_clearing_that_knows_of_the_suspicion_stands() {
    let mut net = settled(6, 3, 1);
    let all: Vec<usize> = (0..6).collect();
    net.put(0, verdict(VerdictState::Suspect, &["s"]));
    net.run(3_000);
    net.put(5, verdict(VerdictState::Cleared, &["s"]));
    net.run(3_000);
    assert!(net.all_have(&all, |held| *held == verdict(VerdictState::Cleared, &["s"])));
}

/// A host restarts, so that its sequence starts anew. Its first words must count for more than the
/// hundredth of its earlier process, which others still hold.
#[test]
fn a_new_process_is_believed_over_its_forerunner() {
    let mut net = settled(6, 3, 1);
    for version in 1..=100 {
        net.put_config(0, version);
        net.run(400);
    }
    net.restart(0);
    net.run(3_000);
    let host = net.nodes[0].conf.host.clone();
    let incarnation = net.nodes[0].conf.incarnation;
    net.put_config(0, 100);
    net.run(10_000);
    for index in 0..6 {
        let items = net.nodes[index].core.items(net.now_ms);
        let of_host = |item: &PeerItem| matches!(item, PeerItem::ConfigInForce { host: of, .. } if *of == host);
        let record = items.iter().find(|record| of_host(&record.item)).expect("it is held");
        assert_eq!(record.incarnation, incarnation, "host {index}");
    }
}

/// A hint lives for a minute, counted by each holder on its own clock. A host that joins late gets it
/// with what is left of its life, and hands it to nobody after: it is forgotten by all in the same
/// minute, however often it was handed on.
#[test]
fn an_item_expires_everywhere_at_its_age() {
    let ttl_ms = RecordKind::HotPrefix.row().ttl_ms;
    let mut net = settled(6, 1, 1);
    net.put(0, hot(9, "s"));
    let all: Vec<usize> = (0..6).collect();
    net.run(ttl_ms - 10_000);
    net.restart(5);
    assert!(net.run_until(5_000, |net| net.all_have(&all, |held| *held == hot(9, "s"))).is_some());
    net.run(15_000);
    assert!(!all.iter().any(|&index| net.has(index, |held| *held == hot(9, "s"))));
    net.run(60_000);
    assert!(!all.iter().any(|&index| net.has(index, |held| *held == hot(9, "s"))));
}

/// A third of all frames is lost while a server begins to leave. Whoever missed the news hears of it by
/// comparing: work for a leaving server must end everywhere within seconds.
#[test]
fn lost_news_is_made_good_by_comparing() {
    for seed in 1..=5 {
        let mut net = settled(24, 3, seed);
        net.loss = 0.33;
        net.put(4, leaving("s", 1));
        let all: Vec<usize> = (0..24).collect();
        let took = net.run_until(10_000, |net| net.all_have(&all, |held| *held == leaving("s", 1)));
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn use_is_summed_up_for_each_zone() {
    let mut net = settled(6, 3, 1);
    for round in 0..10 {
        for index in 0..6 {
            let host = net.nodes[index].conf.host.clone();
            net.put(
                index,
                PeerItem::TeamUsage { host, teams: vec![rate("shop", 100), rate("small", round)] },
            );
        }
        net.run(1_000);
    }
    for index in 0..6 {
        for zone in 0..3 {
            let name = format!("zone-{zone}");
            let is_sum = |item: &PeerItem| match item {
                PeerItem::ZoneUsage { zone, hosts, teams } => {
                    zone.as_str() == name && *hosts == 2 && teams[0].tokens_per_s == 200
                }
                _ => false,
            };
            assert!(net.has(index, is_sum), "{name} at host {index}");
            let told =
                |news: &PeerNews| matches!(news, PeerNews::Item { record } if is_sum(&record.item));
            assert!(net.heard(index, told) > 0, "{name} at host {index}");
        }
    }
}

/// The host that sums up a zone is killed while its last sum is still held. The next one takes over as
/// soon as that one is found gone, and its sum must stand, whichever of the two processes is older.
#[test]
fn use_is_summed_up_again_after_the_reporter_is_lost() {
    for restarts in [0, 1] {
        let mut net = settled(6, 2, 1);
        (0..restarts).for_each(|_| net.restart(0));
        let is_sum = |item: &PeerItem| match item {
            PeerItem::ZoneUsage { hosts, teams, .. } => *hosts == 2 && teams[0].tokens_per_s == 100,
            _ => false,
        };
        let mut stands = false;
        for second in 0..35 {
            if second == 10 {
                net.kill(0);
            }
            for index in net.running().into_iter().filter(|index| index % 2 == 0) {
                let host = net.nodes[index].conf.host.clone();
                net.put(index, PeerItem::TeamUsage { host, teams: vec![rate("shop", 50)] });
            }
            net.run(1_000);
            stands |= net.all_have(&[1, 2, 3, 4, 5], is_sum);
        }
        assert!(stands, "after {restarts} restarts");
    }
}

/// A zone is cut off from the rest while the rest moves on, and restarts in part. When the cut ends it
/// comes to the newest configuration, and at no time does any host go back.
#[test]
fn configurations_converge_on_the_newest_and_never_go_back() {
    for seed in 1..=3 {
        let mut net = settled(6, 3, seed);
        net.put_config(0, 5);
        net.run(2_000);
        assert!(net.all_in_force(5));
        let (a, b) = (net.zone("zone-0"), net.zone("zone-1"));
        let c = net.zone("zone-2");
        net.cut_both(&a, &b);
        net.cut_both(&a, &c);
        net.put_config(1, 9);
        net.put_config(0, 7);
        net.run(60_000);
        assert_eq!(net.nodes[3].core.in_force().0, 7);
        net.heal();
        let mut highest = [0; 6];
        for _ in 0..100 {
            net.run(100);
            for (index, highest) in highest.iter_mut().enumerate() {
                let version = net.nodes[index].core.in_force().0;
                assert!(version >= *highest, "host {index}, seed {seed}");
                *highest = version;
            }
        }
        assert!(net.all_in_force(9), "seed {seed}");
        net.restart(4);
        assert!(net.run_until(3_000, |net| net.all_in_force(9)).is_some(), "seed {seed}");
    }
}
