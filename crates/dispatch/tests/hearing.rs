//! When a router that has just started takes its share of common work.

use std::time::Duration;

use fulmargate_dispatch::LastSeen;
use fulmargate_names::HostName;
use tokio::time::Instant;

struct HearingCase {
    name: &'static str,
    /// Hosts in the routers' topic, by the time they are first seen there.
    members: &'static [(u64, &'static str)],
    /// Milliseconds after the start, and whether the others can have been heard by then.
    looks: &'static [(u64, bool)],
}

const CASES: &[HearingCase] = &[
    HearingCase {
        name: "among others",
        members: &[(0, "other"), (40, "own")],
        looks: &[(0, false), (500, false), (2_400, false), (3_000, false), (3_100, true)],
    },
    HearingCase {
        name: "records of the others have expired",
        members: &[(40, "own")],
        looks: &[(0, false), (500, false), (2_400, false), (3_100, true)],
    },
    HearingCase {
        name: "the others learn late that it is there",
        members: &[(0, "other"), (2_000, "own")],
        looks: &[(2_000, false), (3_100, false), (4_400, false), (5_100, true)],
    },
    HearingCase {
        name: "its own record cannot be written",
        members: &[],
        looks: &[(3_100, false), (7_900, false), (8_000, true), (20_000, true)],
    },
    HearingCase {
        name: "its own record is written after it went on without",
        members: &[(9_000, "own")],
        looks: &[(8_000, true), (9_000, true), (9_500, true)],
    },
];

/// A host that has just started answers nobody for ten seconds: no connection to it or from it opens in
/// time, and streams through it are cut.
/// It had heard no other router yet, so took itself for the only one, and asked all engines at once for
/// all that they had kept. Its link was full, and with that it went on hearing nobody.
/// Others open their links to it, and speak, some seconds after they know that it is there.
#[test]
fn common_work_waits_until_others_can_have_been_heard() {
    let own = HostName::new("own");
    for case in CASES {
        let start = Instant::now();
        let mut hearing = LastSeen::new(start);
        for (at, is_over) in looks_from_start(case) {
            let seen = case.members.iter().filter(|(from, _)| *from <= at);
            let members: Vec<HostName> = seen.map(|(_, host)| HostName::new(host)).collect();
            let found = hearing.is_over(&own, &members, start + Duration::from_millis(at));
            if let Some(is_over) = is_over {
                assert_eq!(found, is_over, "{} after {at} ms", case.name);
            }
        }
    }
}

/// The list is looked at each 100 ms and at the moments that the case names.
fn looks_from_start(case: &HearingCase) -> Vec<(u64, Option<bool>)> {
    let last = case.looks.last().map_or(0, |(at, _)| *at);
    let named = |at: u64| case.looks.iter().find(|(look, _)| *look == at).map(|(_, over)| *over);
    (0..=last).step_by(100).map(|at| (at, named(at))).collect()
}
