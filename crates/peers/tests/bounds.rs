//! What hosts hold and send is bounded, on the core alone.

mod support;

use fulmargate_names::Incarnation;
use fulmargate_names::PromptHash;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use fulmargate_peers::PeerItem;
use fulmargate_peers::PeerNews;
use fulmargate_peers::PeerPace;
use fulmargate_peers::RecordKind;
use fulmargate_peers::TOP_TEAMS;
use fulmargate_peers::TeamRate;
use fulmargate_peers::WORD_BYTES;
use fulmargate_peers::WordTopic;
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

fn hot(prefix: u64, server: &str) -> PeerItem {
    let (prefix, server) = (PromptHash(prefix), ServerName::new(server));
    PeerItem::HotPrefix { prefix, server, incarnation: Incarnation(1) }
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

fn word(net: &SimNet, index: usize, part: u64, length: usize) -> PeerItem {
    let host = net.nodes[index].conf.host.clone();
    PeerItem::HostWord { topic: WordTopic::TeamUse, host, part, bytes: vec![1; length].into() }
}

#[test]
fn lists_and_tables_are_bounded() {
    let mut net = settled(2, 1, 1);
    for count in 0..3_000 {
        net.put(0, hot(count, "s"));
        net.put(0, seen(&format!("s-{count}"), 1));
        net.put(0, seen(&format!("t-{count}"), 1));
        net.run(100);
    }
    let limit = |kind: RecordKind| kind.row().limit;
    for index in 0..2 {
        let items = net.nodes[index].core.items(net.now_ms);
        let count = |kind| items.iter().filter(|record| record.item.kind() == kind).count();
        assert!(count(RecordKind::HotPrefix) <= limit(RecordKind::HotPrefix));
        assert_eq!(count(RecordKind::ServerSeen), limit(RecordKind::ServerSeen));
    }
    let host = net.nodes[1].conf.host.clone();
    let teams = (0..100).map(|team| rate(&format!("team-{team}"), team)).collect();
    net.put(1, PeerItem::TeamUsage { host, teams });
    net.run(5_000);
    let hottest = |item: &PeerItem| match item {
        PeerItem::ZoneUsage { teams, .. } => {
            teams.len() == TOP_TEAMS && teams[0].tokens_per_s == 99
        }
        _ => false,
    };
    assert!(net.has(0, hottest));
}

/// A router has far more to tell than the allowance holds: a zone's servers all restart at once, again
/// and again. What it sends stays within the allowance, and probes go on, so that nobody is suspected.
#[test]
fn a_flood_of_news_stays_within_the_allowance() {
    const SECONDS: u64 = 60;
    let mut net = settled(6, 3, 1);
    net.clear_news();
    let sent =
        |net: &SimNet| -> u64 { net.nodes[0].counters.rows().iter().map(|row| row.sent).sum() };
    let before = sent(&net);
    for second in 0..SECONDS {
        (0..500).for_each(|server| net.put(0, seen(&format!("server-{server}"), second + 1)));
        net.run(1_000);
    }
    let pace = PeerPace::default();
    let allowed = pace.burst_bytes + SECONDS * pace.bytes_per_s;
    let probes = SECONDS * 100;
    let answers = 16 * 1024;
    assert!(
        sent(&net) - before <= allowed + probes + answers,
        "{} of {allowed}",
        sent(&net) - before
    );
    for holder in 0..6 {
        assert_eq!(net.told_states(holder), [], "host {holder}");
    }
}

/// Each router has words of the longest kind to tell, many times a second, in a fleet of today's size and
/// in a larger one. They are paced by their bytes: what a host sends stays within the budget, and a
/// leaving server is known to all as fast as ever.
#[test]
fn words_are_paced_and_do_not_hold_up_what_is_urgent() {
    for (hosts, zones) in [(6, 3), (48, 3)] {
        let mut net = settled(hosts, zones, 1);
        net.run(10_000);
        let sent = |net: &SimNet| -> u64 {
            let rows = net.nodes.iter().flat_map(|node| node.counters.rows());
            rows.map(|row| row.sent).sum()
        };
        let before = sent(&net);
        let all: Vec<usize> = (0..hosts).collect();
        let mut longest_ms = 0;
        for second in 0..60 {
            for part in 0..5 {
                all.iter().for_each(|&index| net.put(index, word(&net, index, part, WORD_BYTES)));
                net.run(150);
            }
            let item = leaving(&format!("s-{second}"), 1);
            net.put(second % hosts, item.clone());
            let took = net.run_until(10_000, |net| net.all_have(&all, |held| *held == item));
            longest_ms = longest_ms.max(took.expect("it is known to all"));
        }
        let per_host_s = (sent(&net) - before) / hosts as u64 / 48;
        assert!(
            per_host_s <= PeerPace::default().bytes_per_s,
            "{per_host_s} bytes/s, {hosts} hosts"
        );
        assert!(longest_ms <= 3_000, "{longest_ms} ms, {hosts} hosts");
        let is_word = |news: &PeerNews| match news {
            PeerNews::Item { record } => record.item.kind() == RecordKind::TeamUseWord,
            _ => false,
        };
        assert!(all.iter().all(|&index| net.heard(index, is_word) > 0), "{hosts} hosts");
    }
}

#[test]
fn a_word_beyond_the_limit_is_not_told() {
    for (length, told) in [(WORD_BYTES, true), (WORD_BYTES + 1, false)] {
        let mut net = settled(2, 1, 1);
        net.put(0, word(&net, 0, 1, length));
        net.run(5_000);
        let is_word = |held: &PeerItem| matches!(held, PeerItem::HostWord { .. });
        assert_eq!(net.has(0, is_word) && net.has(1, is_word), told, "{length} bytes");
    }
}
