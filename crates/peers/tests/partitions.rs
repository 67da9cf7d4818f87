//! Membership under paused processes and network partitions, tested on the protocol core.

mod support;

use fulmargate_peers::MemberState;
use fulmargate_peers::PeerNews;
use support::BufferedFrames;
use support::SimNet;

/// A process that resumes must not suspect hosts because of probes that timed out meanwhile. It
/// must report the pause, since leases may have expired, and be alive for all hosts soon.
#[test]
fn a_resumed_host_suspects_no_peer() {
    for (frame_handling, seed) in
        [(BufferedFrames::Delivered, 1), (BufferedFrames::Lost, 2), (BufferedFrames::Lost, 3)]
    {
        let mut net = SimNet::new(6, 3, seed);
        net.run(10_000);
        net.run_until_probe_sent(5);
        net.pause(5);
        net.run(60_000);
        assert!(net.all_see_state(5, MemberState::Gone), "seed {seed}");
        net.clear_news();
        net.resume(5, frame_handling);
        assert!(net.run_until(5_000, SimNet::all_alive).is_some(), "seed {seed}");
        net.run(20_000);
        let paused =
            |news: &PeerNews| matches!(news, PeerNews::Paused { for_ms } if *for_ms >= 60_000);
        assert_eq!(net.count_events(5, paused), 1, "seed {seed}");
        assert_eq!(net.nodes[5].links_dropped, 1, "seed {seed}");
        for holder in 0..6 {
            let accused = net
                .take_member_states(holder)
                .into_iter()
                .filter(|(_, state)| *state != MemberState::Alive);
            assert_eq!(accused.count(), 0, "host {holder}, seed {seed}");
        }
    }
}

/// A process paused during a suspicion must not conclude on resuming that the suspected host is
/// gone: it may have missed the refutation.
#[test]
fn a_host_paused_during_a_suspicion_does_not_conclude_it() {
    let mut net = SimNet::new(6, 3, 1);
    net.run(10_000);
    net.block_both(&[0], &[1, 2, 3, 4, 5]);
    assert!(net.run_until(10_000, |net| net.state(5, 0) == Some(MemberState::Suspected)).is_some());
    net.pause(5);
    net.heal();
    net.run(60_000);
    assert_eq!(net.state(4, 0), Some(MemberState::Alive));
    net.clear_news();
    net.resume(5, BufferedFrames::Lost);
    net.run(10_000);
    assert!(net.all_alive());
    let gone =
        net.take_member_states(5).into_iter().filter(|(_, state)| *state == MemberState::Gone);
    assert_eq!(gone.count(), 0);
}

/// When a partition heals, reports that the other side's hosts are gone must not make any host
/// drop healthy neighbors.
#[test]
fn a_healed_partition_does_not_drop_healthy_neighbors() {
    for (hosts, zones, seed) in [(6, 3, 1), (6, 3, 2), (24, 3, 3), (30, 10, 4)] {
        let mut net = SimNet::new(hosts, zones, seed);
        net.run(15_000);
        let inside = net.zone_hosts("zone-0");
        let outside: Vec<usize> = (0..hosts).filter(|index| !inside.contains(index)).collect();
        net.block_both(&inside, &outside);
        net.run(600_000);
        assert!(
            inside
                .iter()
                .all(|&a| outside.iter().all(|&b| net.state(a, b) == Some(MemberState::Gone)))
        );
        assert!(
            outside
                .iter()
                .all(|&a| inside.iter().all(|&b| net.state(a, b) == Some(MemberState::Gone)))
        );
        net.clear_news();
        net.heal();
        assert!(net.run_until(20_000, SimNet::all_alive).is_some(), "{hosts} hosts, seed {seed}");
        for holder in 0..hosts {
            let gone = net
                .take_member_states(holder)
                .into_iter()
                .filter(|(_, state)| *state == MemberState::Gone);
            assert_eq!(gone.count(), 0, "host {holder} of {hosts}, seed {seed}");
        }
    }
}

/// If only the path between two zones is cut, and only in one direction, indirect probes through
/// the third zone must prevent suspicions.
#[test]
fn a_one_way_cut_between_two_zones_causes_no_suspicion() {
    for seed in 1..=3 {
        let mut net = SimNet::new(6, 3, seed);
        net.run(10_000);
        net.clear_news();
        let (from, to) = (net.zone_hosts("zone-0"), net.zone_hosts("zone-1"));
        net.block(&from, &to);
        net.run(120_000);
        for holder in 0..6 {
            assert_eq!(net.take_member_states(holder), [], "host {holder}, seed {seed}");
        }
    }
}

/// A host that receives but cannot send must not convince the others that their peers are gone,
/// and must recover.
#[test]
fn a_host_that_cannot_send_does_not_affect_others() {
    for seed in 1..=3 {
        let mut net = SimNet::new(6, 3, seed);
        net.run(10_000);
        net.clear_news();
        net.block(&[0], &[1, 2, 3, 4, 5]);
        net.run(60_000);
        for holder in 1..6 {
            assert_eq!(net.state(holder, 0), Some(MemberState::Gone), "seed {seed}");
            for of in 1..6 {
                assert_eq!(
                    net.state(holder, of),
                    Some(MemberState::Alive),
                    "{of} at {holder}, seed {seed}"
                );
            }
        }
        net.heal();
        assert!(net.run_until(10_000, SimNet::all_alive).is_some(), "seed {seed}");
    }
}
