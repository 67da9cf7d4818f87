//! Startup delay until a router takes its share of common work.

use std::time::Duration;

use fulmargate_dispatch::PeerDiscovery;
use fulmargate_names::HostName;
use tokio::time::Instant;

struct DiscoveryCase {
    name: &'static str,
    /// Hosts in the fleet topic, with the time in milliseconds at which each appears.
    members: &'static [(u64, &'static str)],
    /// Times in milliseconds after the start, and whether discovery must be over by then.
    checks: &'static [(u64, bool)],
}

const DISCOVERY_CASES: &[DiscoveryCase] = &[
    DiscoveryCase {
        name: "other hosts are in the topic",
        members: &[(0, "other"), (40, "own")],
        checks: &[(0, false), (500, false), (2_400, false), (3_000, false), (3_100, true)],
    },
    DiscoveryCase {
        name: "the records of other hosts have expired",
        members: &[(40, "own")],
        checks: &[(0, false), (500, false), (2_400, false), (3_100, true)],
    },
    DiscoveryCase {
        name: "its own record appears late",
        members: &[(0, "other"), (2_000, "own")],
        checks: &[(2_000, false), (3_100, false), (4_400, false), (5_100, true)],
    },
    DiscoveryCase {
        name: "its own record cannot be written",
        members: &[],
        checks: &[(3_100, false), (7_900, false), (8_000, true), (20_000, true)],
    },
    DiscoveryCase {
        name: "its own record appears after the timeout",
        members: &[(9_000, "own")],
        checks: &[(8_000, true), (9_000, true), (9_500, true)],
    },
];

/// Guards against a starting router that knows no other yet and requests the cache contents of all
/// engines, which saturates its link. Other routers need some seconds to connect to it.
#[test]
fn shared_work_waits_until_other_routers_are_known() {
    let own = HostName::new("own");
    for case in DISCOVERY_CASES {
        let start = Instant::now();
        let mut discovery = PeerDiscovery::new(start);
        for (at, is_complete) in checks_from_start(case) {
            let seen = case.members.iter().filter(|(from, _)| *from <= at);
            let members: Vec<HostName> = seen.map(|(_, host)| HostName::new(host)).collect();
            let actual = discovery.is_complete(&own, &members, start + Duration::from_millis(at));
            if let Some(is_complete) = is_complete {
                assert_eq!(actual, is_complete, "{} after {at} ms", case.name);
            }
        }
    }
}

/// Checks every 100 ms; only the times that the case names have an expected result.
fn checks_from_start(case: &DiscoveryCase) -> Vec<(u64, Option<bool>)> {
    let last = case.checks.last().map_or(0, |(at, _)| *at);
    let expected_at =
        |at: u64| case.checks.iter().find(|(check, _)| *check == at).map(|(_, over)| *over);
    (0..=last).step_by(100).map(|at| (at, expected_at(at))).collect()
}
