//! Who is held to be there, under failures, on the core alone.

mod support;

use fulmargate_peers::MemberState;
use support::SimNet;

#[test]
fn a_fleet_that_starts_at_once_knows_itself() {
    for (hosts, zones) in [(2, 1), (6, 3), (24, 3), (96, 10)] {
        let mut net = SimNet::new(hosts, zones, 7);
        assert!(net.run_until(10_000, SimNet::all_alive).is_some(), "{hosts} hosts");
    }
}

#[test]
fn a_killed_host_is_gone_and_comes_back() {
    let mut net = SimNet::new(6, 3, 7);
    net.run(10_000);
    net.kill(0);
    assert!(net.run_until(15_000, |net| net.all_hold(0, MemberState::Gone)).is_some());
    net.restart(0);
    assert!(net.run_until(5_000, SimNet::all_alive).is_some());
}
