//! Who is held to be there while hosts are frozen or cut off, on the core alone.

mod support;

use fulmargate_peers::MemberState;
use fulmargate_peers::PeerNews;
use support::HeldFrames;
use support::SimNet;

/// A host is frozen for a minute, just after it has probed another, and then goes on. Meanwhile the
/// others have found it gone. On waking its probe is late, and what stands in its links is a minute old
/// or lost. It must not accuse anyone by that, and must be alive for all soon after. Its router hears
/// how long it slept, since leases have lapsed.
#[test]
fn a_frozen_host_wakes_and_accuses_nobody() {
    for (held, seed) in [(HeldFrames::Delivered, 1), (HeldFrames::Lost, 2), (HeldFrames::Lost, 3)] {
        let mut net = SimNet::new(6, 3, seed);
        net.run(10_000);
        net.run_to_probe(5);
        net.freeze(5);
        net.run(60_000);
        assert!(net.all_hold(5, MemberState::Gone), "seed {seed}");
        net.clear_news();
        net.thaw(5, held);
        assert!(net.run_until(5_000, SimNet::all_alive).is_some(), "seed {seed}");
        net.run(20_000);
        let slept =
            |news: &PeerNews| matches!(news, PeerNews::Paused { for_ms } if *for_ms >= 60_000);
        assert_eq!(net.heard(5, slept), 1, "seed {seed}");
        assert_eq!(net.nodes[5].links_dropped, 1, "seed {seed}");
        for holder in 0..6 {
            let accused = net
                .told_states(holder)
                .into_iter()
                .filter(|(_, state)| *state != MemberState::Alive);
            assert_eq!(accused.count(), 0, "host {holder}, seed {seed}");
        }
    }
}

/// A host is suspected for a moment and refutes. Another one is frozen between the two: when it wakes,
/// the time to refute is long over by its clock. It must not take the suspected host for gone, since it
/// could not have heard the refutation.
#[test]
fn a_host_frozen_during_a_suspicion_does_not_conclude_it() {
    let mut net = SimNet::new(6, 3, 1);
    net.run(10_000);
    net.cut_both(&[0], &[1, 2, 3, 4, 5]);
    assert!(net.run_until(10_000, |net| net.state(5, 0) == Some(MemberState::Suspected)).is_some());
    net.freeze(5);
    net.heal();
    net.run(60_000);
    assert_eq!(net.state(4, 0), Some(MemberState::Alive));
    net.clear_news();
    net.thaw(5, HeldFrames::Lost);
    net.run(10_000);
    assert!(net.all_alive());
    let gone = net.told_states(5).into_iter().filter(|(_, state)| *state == MemberState::Gone);
    assert_eq!(gone.count(), 0);
}

/// A zone is cut off for ten minutes: each side holds the other to be gone. When the cut ends, each
/// side's word reaches the other and says of its neighbours that they are gone. Were it believed,
/// each host would drop the hosts beside it, which never failed, until each of them had objected.
#[test]
fn a_healed_partition_costs_nobody_its_neighbors() {
    for (hosts, zones, seed) in [(6, 3, 1), (6, 3, 2), (24, 3, 3), (30, 10, 4)] {
        let mut net = SimNet::new(hosts, zones, seed);
        net.run(15_000);
        let inside = net.zone("zone-0");
        let outside: Vec<usize> = (0..hosts).filter(|index| !inside.contains(index)).collect();
        net.cut_both(&inside, &outside);
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
                .told_states(holder)
                .into_iter()
                .filter(|(_, state)| *state == MemberState::Gone);
            assert_eq!(gone.count(), 0, "host {holder} of {hosts}, seed {seed}");
        }
    }
}

/// Frames from one zone to another are lost, those back arrive, and both reach the third zone. Probes
/// across the cut fail, but those made through the third zone don't: nobody is even suspected.
#[test]
fn a_cut_one_way_leaves_all_alive() {
    for seed in 1..=3 {
        let mut net = SimNet::new(6, 3, seed);
        net.run(10_000);
        net.clear_news();
        let (from, to) = (net.zone("zone-0"), net.zone("zone-1"));
        net.cut(&from, &to);
        net.run(120_000);
        for holder in 0..6 {
            assert_eq!(net.told_states(holder), [], "host {holder}, seed {seed}");
        }
    }
}

/// A host hears all and reaches nobody. The others cannot tell it from a dead one, and it cannot tell
/// them from dead ones. It must not talk the others into its view, and all is well once it is heard.
#[test]
fn a_host_that_is_not_heard_harms_only_itself() {
    for seed in 1..=3 {
        let mut net = SimNet::new(6, 3, seed);
        net.run(10_000);
        net.clear_news();
        net.cut(&[0], &[1, 2, 3, 4, 5]);
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
