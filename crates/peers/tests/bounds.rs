//! Limits on table sizes and traffic, tested on the protocol core.

mod support;

use fulmargate_names::Incarnation;
use fulmargate_names::PromptHash;
use fulmargate_names::ServerName;
use fulmargate_names::TeamName;
use fulmargate_peers::MAX_PAYLOAD_BYTES;
use fulmargate_peers::MAX_TEAMS;
use fulmargate_peers::PeerItem;
use fulmargate_peers::PeerNews;
use fulmargate_peers::PeerPace;
use fulmargate_peers::RecordKind;
use fulmargate_peers::TeamRate;
use fulmargate_peers::WordTopic;
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

fn hot_prefix(prefix: u64, server: &str) -> PeerItem {
    let (prefix, server) = (PromptHash(prefix), ServerName::new(server));
    PeerItem::HotPrefix { prefix, server, incarnation: Incarnation(1) }
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

fn host_word(net: &SimNet, index: usize, part: u64, length: usize) -> PeerItem {
    let host = net.nodes[index].conf.host.clone();
    PeerItem::HostWord { topic: WordTopic::TeamUse, host, part, bytes: vec![1; length].into() }
}

#[test]
fn tables_and_lists_stay_within_limits() {
    let mut net = converged_net(2, 1, 1);
    for count in 0..3_000 {
        net.publish(0, hot_prefix(count, "s"));
        net.publish(0, server_seen(&format!("s-{count}"), 1));
        net.publish(0, server_seen(&format!("t-{count}"), 1));
        net.run(100);
    }
    let limit = |kind: RecordKind| kind.row().max_records;
    for index in 0..2 {
        let items = net.nodes[index].core.items(net.now_ms);
        let count = |kind| items.iter().filter(|record| record.item.kind() == kind).count();
        assert!(count(RecordKind::HotPrefix) <= limit(RecordKind::HotPrefix));
        assert_eq!(count(RecordKind::ServerSeen), limit(RecordKind::ServerSeen));
    }
    let host = net.nodes[1].conf.host.clone();
    let teams = (0..100).map(|team| team_rate(&format!("team-{team}"), team)).collect();
    net.publish(1, PeerItem::TeamUsage { host, teams });
    net.run(5_000);
    let hottest = |item: &PeerItem| match item {
        PeerItem::ZoneUsage { teams, .. } => {
            teams.len() == MAX_TEAMS && teams[0].tokens_per_s == 99
        }
        _ => false,
    };
    assert!(net.has_item(0, hottest));
}

/// A host that publishes far more than its byte budget must stay within it and keep probing, so
/// that no host is suspected.
#[test]
fn heavy_publishing_stays_within_the_byte_budget() {
    const SECONDS: u64 = 60;
    let mut net = converged_net(6, 3, 1);
    net.clear_news();
    let sent =
        |net: &SimNet| -> u64 { net.nodes[0].counters.rows().iter().map(|row| row.sent).sum() };
    let before = sent(&net);
    for second in 0..SECONDS {
        (0..500).for_each(|server| {
            net.publish(0, server_seen(&format!("server-{server}"), second + 1));
        });
        net.run(1_000);
    }
    let pace = PeerPace::default();
    let allowed = pace.burst_bytes + SECONDS * pace.bytes_per_s;
    let probes = SECONDS * 100;
    let answers = 16 * 1024;
    assert!(
        sent(&net) - before <= allowed + probes + answers,
        "sent {} bytes, limit {allowed}",
        sent(&net) - before
    );
    for holder in 0..6 {
        assert_eq!(net.take_member_states(holder), [], "host {holder}");
    }
}

/// Hosts that publish payloads of the maximum length at a high rate must stay within the byte
/// budget, without delaying urgent items.
#[test]
fn large_payloads_are_rate_limited_and_do_not_delay_urgent_items() {
    for (hosts, zones) in [(6, 3), (48, 3)] {
        let mut net = converged_net(hosts, zones, 1);
        net.run(10_000);
        let sent = |net: &SimNet| -> u64 {
            let rows = net.nodes.iter().flat_map(|node| node.counters.rows());
            rows.map(|row| row.sent).sum()
        };
        let before = sent(&net);
        let all: Vec<usize> = (0..hosts).collect();
        let mut max_elapsed_ms = 0;
        for second in 0..60 {
            for part in 0..5 {
                all.iter().for_each(|&index| {
                    net.publish(index, host_word(&net, index, part, MAX_PAYLOAD_BYTES));
                });
                net.run(150);
            }
            let item = server_leaving(&format!("s-{second}"), 1);
            net.publish(second % hosts, item.clone());
            let elapsed_ms =
                net.run_until(10_000, |net| net.all_have_item(&all, |stored| *stored == item));
            max_elapsed_ms = max_elapsed_ms.max(elapsed_ms.expect("the item reaches all hosts"));
        }
        let bytes_per_host_s = (sent(&net) - before) / hosts as u64 / 48;
        assert!(
            bytes_per_host_s <= PeerPace::default().bytes_per_s,
            "{bytes_per_host_s} bytes/s, {hosts} hosts"
        );
        assert!(max_elapsed_ms <= 3_000, "{max_elapsed_ms} ms, {hosts} hosts");
        let is_host_word = |news: &PeerNews| match news {
            PeerNews::Item { record } => record.item.kind() == RecordKind::TeamUsePayload,
            _ => false,
        };
        assert!(
            all.iter().all(|&index| net.count_events(index, is_host_word) > 0),
            "{hosts} hosts"
        );
    }
}

#[test]
fn an_oversized_payload_is_not_published() {
    for (length, is_published) in [(MAX_PAYLOAD_BYTES, true), (MAX_PAYLOAD_BYTES + 1, false)] {
        let mut net = converged_net(2, 1, 1);
        net.publish(0, host_word(&net, 0, 1, length));
        net.run(5_000);
        let is_host_word = |stored: &PeerItem| matches!(stored, PeerItem::HostWord { .. });
        assert_eq!(
            net.has_item(0, is_host_word) && net.has_item(1, is_host_word),
            is_published,
            "{length} bytes"
        );
    }
}
