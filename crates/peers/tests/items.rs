//! Propagation of items under failures, tested on the protocol core.

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

fn server_leaving(server: &str, incarnation: u64) -> PeerItem {
    PeerItem::ServerLeaving {
        server: ServerName::new(server),
        incarnation: Incarnation(incarnation),
    }
}

fn server_seen(server: &str, incarnation: u64) -> PeerItem {
    PeerItem::ServerSeen { server: ServerName::new(server), incarnation: Incarnation(incarnation) }
}

fn claimer_gone(host: &str, incarnation: u64) -> PeerItem {
    PeerItem::ClaimerGone { host: HostName::new(host), incarnation: Incarnation(incarnation) }
}

fn hot_prefix(prefix: u64, server: &str) -> PeerItem {
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

fn team_rate(team: &str, tokens_per_s: u64) -> TeamRate {
    TeamRate { team: TeamName::new(team), milli_requests_per_s: 10, tokens_per_s }
}

fn converged_net(hosts: usize, zones: usize, seed: u64) -> SimNet {
    let mut net = SimNet::new(hosts, zones, seed);
    assert!(net.run_until(15_000, SimNet::all_alive).is_some());
    net.run(2_000);
    net
}

#[test]
fn each_kind_reaches_the_hosts_in_its_scope() {
    let items = [
        server_leaving("s", 3),
        server_seen("s", 3),
        claimer_gone("h", 3),
        hot_prefix(9, "s"),
        verdict(VerdictState::Suspect, &["s"]),
    ];
    for item in items {
        let mut net = converged_net(24, 3, 1);
        net.publish(4, item.clone());
        let all: Vec<usize> = (0..24).collect();
        let zone = net.zone_hosts("zone-1");
        let is_zonal = item.kind().row().scope == SpreadScope::Zone;
        let wanted = if is_zonal { &zone } else { &all };
        let elapsed_ms =
            net.run_until(8_000, |net| net.all_have_item(wanted, |stored| *stored == item));
        assert!(elapsed_ms.is_some(), "{item:?}");
        let holders =
            all.iter().filter(|&&index| net.has_item(index, |stored| *stored == item)).count();
        assert_eq!(holders, wanted.len(), "{item:?}");
    }
}

/// Two concurrent writes under one key, and the item on which all hosts must agree.
struct WriteCase {
    name: &'static str,
    first: fn() -> PeerItem,
    second: fn() -> PeerItem,
    expected: fn() -> PeerItem,
}

impl WriteCase {
    /// Writes from two zones that are partitioned from each other, then heals the partition.
    fn check(&self) {
        for (writers, seed) in [([0, 1], 1), ([1, 0], 2), ([4, 3], 3)] {
            let mut net = converged_net(6, 3, seed);
            let (a, b) = (net.zone_hosts("zone-0"), net.zone_hosts("zone-1"));
            net.block_both(&a, &b);
            let c = net.zone_hosts("zone-2");
            net.block_both(&c, &b);
            net.publish(writers[0], (self.first)());
            net.publish(writers[1], (self.second)());
            net.run(3_000);
            net.heal();
            let all: Vec<usize> = (0..6).collect();
            let elapsed_ms = net.run_until(10_000, |net| {
                net.all_have_item(&all, |stored| *stored == (self.expected)())
            });
            assert!(elapsed_ms.is_some(), "{}: seed {seed}", self.name);
            net.run(10_000);
            assert!(
                net.all_have_item(&all, |stored| *stored == (self.expected)()),
                "{}: reverted, seed {seed}",
                self.name
            );
        }
    }
}

const WRITE_CASES: [WriteCase; 6] = [
    WriteCase {
        name: "leaving: the higher incarnation wins",
        first: || server_leaving("s", 9),
        second: || server_leaving("s", 3),
        expected: || server_leaving("s", 9),
    },
    WriteCase {
        name: "server seen: the higher incarnation wins",
        first: || server_seen("s", 9),
        second: || server_seen("s", 3),
        expected: || server_seen("s", 9),
    },
    WriteCase {
        name: "claimer gone: the higher incarnation wins",
        first: || claimer_gone("h", 9),
        second: || claimer_gone("h", 3),
        expected: || claimer_gone("h", 9),
    },
    WriteCase {
        name: "a conviction is not replaced by a suspicion",
        first: || verdict(VerdictState::Convicted, &["s", "t"]),
        second: || verdict(VerdictState::Suspect, &["s"]),
        expected: || verdict(VerdictState::Convicted, &["s", "t"]),
    },
    WriteCase {
        name: "crashes seen by two routers are combined",
        first: || verdict(VerdictState::Suspect, &["s"]),
        second: || verdict(VerdictState::Suspect, &["t"]),
        expected: || verdict(VerdictState::Suspect, &["s", "t"]),
    },
    WriteCase {
        name: "a suspicion is not replaced by a concurrent clearing",
        first: || verdict(VerdictState::Suspect, &["s"]),
        second: || verdict(VerdictState::Cleared, &["s"]),
        expected: || verdict(VerdictState::Suspect, &["s"]),
    },
];

/// After concurrent writes all hosts must converge on the safe record: a lower incarnation, a
/// clearing or a suspicion must not replace a more severe one.
#[test]
fn concurrent_writes_converge_on_the_safe_record() {
    WRITE_CASES.iter().for_each(WriteCase::check);
}

#[test]
fn a_clearing_written_after_a_suspicion_replaces_it() {
    let mut net = converged_net(6, 3, 1);
    let all: Vec<usize> = (0..6).collect();
    net.publish(0, verdict(VerdictState::Suspect, &["s"]));
    net.run(3_000);
    net.publish(5, verdict(VerdictState::Cleared, &["s"]));
    net.run(3_000);
    assert!(net.all_have_item(&all, |stored| *stored == verdict(VerdictState::Cleared, &["s"])));
}

/// A restart resets the sequence; records of the new incarnation must still replace those of the
/// old one.
#[test]
fn records_of_a_new_incarnation_replace_those_of_the_old_one() {
    let mut net = converged_net(6, 3, 1);
    for version in 1..=100 {
        net.apply_config(0, version);
        net.run(400);
    }
    net.restart(0);
    net.run(3_000);
    let host = net.nodes[0].conf.host.clone();
    let incarnation = net.nodes[0].conf.incarnation;
    net.apply_config(0, 100);
    net.run(10_000);
    for index in 0..6 {
        let items = net.nodes[index].core.items(net.now_ms);
        let of_host = |item: &PeerItem| matches!(item, PeerItem::ConfigInForce { host: of, .. } if *of == host);
        let record =
            items.iter().find(|record| of_host(&record.item)).expect("the record is stored");
        assert_eq!(record.incarnation, incarnation, "host {index}");
    }
}

/// The remaining TTL travels with the item: forwarding it, also to a host that joins late, must
/// not extend its life.
#[test]
fn an_item_expires_on_all_hosts_after_its_ttl() {
    let ttl_ms = RecordKind::HotPrefix.row().ttl_ms;
    let mut net = converged_net(6, 1, 1);
    net.publish(0, hot_prefix(9, "s"));
    let all: Vec<usize> = (0..6).collect();
    net.run(ttl_ms - 10_000);
    net.restart(5);
    assert!(
        net.run_until(5_000, |net| net.all_have_item(&all, |stored| *stored == hot_prefix(9, "s")))
            .is_some()
    );
    net.run(15_000);
    assert!(!all.iter().any(|&index| net.has_item(index, |stored| *stored == hot_prefix(9, "s"))));
    net.run(60_000);
    assert!(!all.iter().any(|&index| net.has_item(index, |stored| *stored == hot_prefix(9, "s"))));
}

/// Anti-entropy must repair lost gossip within seconds when a third of the frames is lost.
#[test]
fn lost_updates_are_repaired_by_anti_entropy() {
    for seed in 1..=5 {
        let mut net = converged_net(24, 3, seed);
        net.loss = 0.33;
        net.publish(4, server_leaving("s", 1));
        let all: Vec<usize> = (0..24).collect();
        let elapsed_ms = net.run_until(10_000, |net| {
            net.all_have_item(&all, |stored| *stored == server_leaving("s", 1))
        });
        assert!(elapsed_ms.is_some(), "seed {seed}");
    }
}

#[test]
fn usage_is_aggregated_per_zone() {
    let mut net = converged_net(6, 3, 1);
    for round in 0..10 {
        for index in 0..6 {
            let host = net.nodes[index].conf.host.clone();
            net.publish(
                index,
                PeerItem::TeamUsage {
                    host,
                    teams: vec![team_rate("shop", 100), team_rate("small", round)],
                },
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
            assert!(net.has_item(index, is_sum), "{name} at host {index}");
            let is_reported =
                |news: &PeerNews| matches!(news, PeerNews::Item { record } if is_sum(&record.item));
            assert!(net.count_events(index, is_reported) > 0, "{name} at host {index}");
        }
    }
}

/// When the aggregator is killed, another host must take over and its report must replace the old
/// one, regardless of which incarnation is higher.
#[test]
fn usage_is_aggregated_after_the_aggregator_is_lost() {
    for restarts in [0, 1] {
        let mut net = converged_net(6, 2, 1);
        (0..restarts).for_each(|_| net.restart(0));
        let is_sum = |item: &PeerItem| match item {
            PeerItem::ZoneUsage { hosts, teams, .. } => *hosts == 2 && teams[0].tokens_per_s == 100,
            _ => false,
        };
        let mut is_aggregated = false;
        for second in 0..35 {
            if second == 10 {
                net.kill(0);
            }
            for index in net.running().into_iter().filter(|index| index % 2 == 0) {
                let host = net.nodes[index].conf.host.clone();
                net.publish(
                    index,
                    PeerItem::TeamUsage { host, teams: vec![team_rate("shop", 50)] },
                );
            }
            net.run(1_000);
            is_aggregated |= net.all_have_item(&[1, 2, 3, 4, 5], is_sum);
        }
        assert!(is_aggregated, "after {restarts} restarts");
    }
}

/// Hosts in a partitioned zone must reach the newest configuration after the partition heals, and
/// no host may revert to an older one.
#[test]
fn configuration_versions_converge_and_never_decrease() {
    for seed in 1..=3 {
        let mut net = converged_net(6, 3, seed);
        net.apply_config(0, 5);
        net.run(2_000);
        assert!(net.all_have_config(5));
        let (a, b) = (net.zone_hosts("zone-0"), net.zone_hosts("zone-1"));
        let c = net.zone_hosts("zone-2");
        net.block_both(&a, &b);
        net.block_both(&a, &c);
        net.apply_config(1, 9);
        net.apply_config(0, 7);
        net.run(60_000);
        assert_eq!(net.nodes[3].core.config_version().0, 7);
        net.heal();
        let mut highest = [0; 6];
        for _ in 0..100 {
            net.run(100);
            for (index, highest) in highest.iter_mut().enumerate() {
                let version = net.nodes[index].core.config_version().0;
                assert!(version >= *highest, "host {index}, seed {seed}");
                *highest = version;
            }
        }
        assert!(net.all_have_config(9), "seed {seed}");
        net.restart(4);
        assert!(net.run_until(3_000, |net| net.all_have_config(9)).is_some(), "seed {seed}");
    }
}
