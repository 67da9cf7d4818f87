//! Ejection, recovery and shutdown of servers.

mod support;

use std::sync::Arc;

use fulmargate_admission::ConfiguredServer;
use fulmargate_admission::DrainState;
use fulmargate_admission::HealthChange;
use fulmargate_admission::HealthConf;
use fulmargate_admission::HealthEvent;
use fulmargate_admission::HealthRegistry;
use fulmargate_admission::ServerAvailability;
use fulmargate_admission::ServerResult;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_names::ZoneName;
use support::ms;
use tokio::time::Instant;

use HealthChange::Ejected;
use HealthChange::KeptByFloor;
use HealthChange::Leaving;
use HealthChange::Restarted;
use HealthChange::Restored;
use ServerResult::Answered;
use ServerResult::Broken;
use ServerResult::Closed;
use ServerResult::Failed;
use ServerResult::TimedOut;

/// Events at servers `a` to `d` of one zone, and the state changes they must cause.
struct HealthCase {
    name: &'static str,
    events: &'static [Event],
    changes: &'static [(&'static str, HealthChange)],
    /// Final state of server `a`.
    final_state: FinalState,
}

enum Event {
    /// Server, incarnation, result and number of results.
    Results(&'static str, u64, ServerResult, u32),
    Seen(&'static str, u64),
    AnnouncedLeaving(&'static str, u64),
    Advance(u64),
    /// A trial of `a` must be due; its result.
    Trial(ServerResult),
    NoTrialDue,
    /// `a` is removed from the configuration and added again.
    Reconfigured,
    Drained(&'static str),
}

#[derive(Debug, PartialEq)]
enum FinalState {
    Open,
    Warming,
    LastResort,
    Trial,
    Ejected,
    Leaving,
}

use Event::Advance;
use Event::AnnouncedLeaving;
use Event::Drained;
use Event::NoTrialDue;
use Event::Reconfigured;
use Event::Results;
use Event::Seen;
use Event::Trial;

const CASES: &[HealthCase] = &[
    HealthCase {
        name: "a few failures among answers",
        events: &[
            Results("a", 1, Broken, 3),
            Results("a", 1, Answered, 1),
            Results("a", 1, Failed, 3),
        ],
        changes: &[],
        final_state: FinalState::Open,
    },
    HealthCase {
        name: "failures in a row",
        events: &[Results("a", 1, TimedOut, 4), NoTrialDue],
        changes: &[("a", Ejected)],
        final_state: FinalState::Ejected,
    },
    HealthCase {
        name: "a closed port counts twice",
        events: &[Results("a", 1, Closed, 2)],
        changes: &[("a", Ejected)],
        final_state: FinalState::Ejected,
    },
    HealthCase {
        name: "most requests fail, never four in a row",
        events: &[
            Results("a", 1, Failed, 3),
            Results("a", 1, Answered, 1),
            Results("a", 1, Failed, 3),
            Results("a", 1, Answered, 1),
            Results("a", 1, Failed, 3),
        ],
        changes: &[("a", Ejected)],
        final_state: FinalState::Ejected,
    },
    HealthCase {
        name: "successful trials restore a server",
        events: &[
            Results("a", 1, Broken, 4),
            Advance(1_000),
            Trial(Answered),
            NoTrialDue,
            Advance(250),
            Trial(Answered),
        ],
        changes: &[("a", Ejected), ("a", Restored)],
        final_state: FinalState::Warming,
    },
    HealthCase {
        name: "a failed trial doubles the ejection time",
        events: &[
            Results("a", 1, Broken, 4),
            Advance(1_000),
            Trial(Broken),
            Advance(1_900),
            NoTrialDue,
            Advance(100),
            Trial(Answered),
        ],
        changes: &[("a", Ejected)],
        final_state: FinalState::Trial,
    },
    HealthCase {
        name: "late answers to earlier requests don't end an ejection",
        events: &[Results("a", 1, Broken, 4), Results("a", 1, Answered, 9)],
        changes: &[("a", Ejected)],
        final_state: FinalState::Ejected,
    },
    HealthCase {
        name: "late failures of earlier requests don't prolong an ejection",
        events: &[Results("a", 1, Broken, 16), Advance(1_000), Trial(Answered)],
        changes: &[("a", Ejected)],
        final_state: FinalState::Trial,
    },
    HealthCase {
        name: "a new incarnation is used at once and warms up",
        events: &[Seen("a", 1), Results("a", 1, Broken, 4), Seen("a", 2)],
        changes: &[("a", Ejected), ("a", Restarted)],
        final_state: FinalState::Warming,
    },
    HealthCase {
        name: "late failures of the previous incarnation are ignored",
        events: &[Seen("a", 1), Seen("a", 2), Results("a", 1, Broken, 9), Advance(5_000)],
        changes: &[("a", Restarted)],
        final_state: FinalState::Open,
    },
    HealthCase {
        name: "a late report of an earlier incarnation is ignored",
        events: &[Seen("a", 2), Seen("a", 1)],
        changes: &[],
        final_state: FinalState::Open,
    },
    HealthCase {
        name: "at most half of a zone is ejected",
        events: &[
            Results("b", 1, Closed, 9),
            Results("c", 1, Closed, 9),
            Results("a", 1, Closed, 9),
        ],
        changes: &[("b", Ejected), ("c", Ejected), ("a", KeptByFloor)],
        final_state: FinalState::LastResort,
    },
    HealthCase {
        name: "a last-resort server that answers again is restored",
        events: &[
            Results("b", 1, Closed, 9),
            Results("c", 1, Closed, 9),
            Results("a", 1, Closed, 2),
            Results("a", 1, Answered, 3),
        ],
        changes: &[("b", Ejected), ("c", Ejected), ("a", KeptByFloor), ("a", Restored)],
        final_state: FinalState::Open,
    },
    HealthCase {
        name: "an ejected server is used again when the others leave",
        events: &[
            Results("a", 1, Closed, 9),
            AnnouncedLeaving("c", 1),
            AnnouncedLeaving("d", 1),
            AnnouncedLeaving("b", 1),
        ],
        changes: &[
            ("a", Ejected),
            ("c", Leaving),
            ("d", Leaving),
            ("b", Leaving),
            ("a", KeptByFloor),
        ],
        final_state: FinalState::LastResort,
    },
    HealthCase {
        name: "an ejected server is used again when the others are drained",
        events: &[Results("a", 1, Closed, 9), Drained("b"), Drained("c"), Drained("d")],
        changes: &[("a", Ejected), ("a", KeptByFloor)],
        final_state: FinalState::LastResort,
    },
    HealthCase {
        name: "a leaving incarnation stays leaving",
        events: &[
            Seen("a", 7),
            AnnouncedLeaving("a", 7),
            Seen("a", 7),
            Results("a", 7, Answered, 9),
            Reconfigured,
            Seen("a", 7),
        ],
        changes: &[("a", Leaving)],
        final_state: FinalState::Leaving,
    },
    HealthCase {
        name: "leaving is announced before the server is seen",
        events: &[AnnouncedLeaving("a", 7), Seen("a", 7)],
        changes: &[("a", Leaving)],
        final_state: FinalState::Leaving,
    },
    HealthCase {
        name: "a later incarnation is not leaving",
        events: &[Seen("a", 7), AnnouncedLeaving("a", 7), Seen("a", 8), AnnouncedLeaving("a", 7)],
        changes: &[("a", Leaving), ("a", Restarted)],
        final_state: FinalState::Warming,
    },
    HealthCase {
        name: "a late announcement for an earlier incarnation is ignored",
        events: &[Seen("a", 8), AnnouncedLeaving("a", 7)],
        changes: &[],
        final_state: FinalState::Open,
    },
];

#[test]
fn events_cause_expected_state_changes() {
    for case in CASES {
        assert_case(case);
    }
}

fn assert_case(case: &HealthCase) {
    let registry = HealthRegistry::new(HealthConf::default());
    let mut now = Instant::now();
    let mut configured_servers: Vec<ConfiguredServer> =
        ["a", "b", "c", "d"].map(configured).to_vec();
    let mut reported = registry.set_servers(&configured_servers, now);
    for event in case.events {
        match event {
            Results(server, incarnation, result, count) => {
                for _ in 0..*count {
                    let incarnation = Some(Incarnation(*incarnation));
                    reported.extend(registry.record_result(
                        &ServerName::new(server),
                        incarnation,
                        *result,
                        now,
                    ));
                }
            }
            Seen(server, incarnation) => {
                reported.extend(registry.incarnation_seen(
                    &ServerName::new(server),
                    Incarnation(*incarnation),
                    now,
                ));
            }
            AnnouncedLeaving(server, incarnation) => {
                reported.extend(
                    registry.mark_leaving(&ServerName::new(server), Incarnation(*incarnation)),
                );
            }
            Advance(millis) => now += ms(*millis),
            Trial(result) => {
                assert_eq!(registry.trial_due(now), [ServerName::new("a")], "{}", case.name);
                reported.extend(registry.record_result(&ServerName::new("a"), None, *result, now));
            }
            NoTrialDue => assert!(registry.trial_due(now).is_empty(), "{}", case.name),
            Reconfigured => {
                reported.extend(registry.set_servers(&configured_servers[1..], now));
                reported.extend(registry.set_servers(&configured_servers, now));
            }
            Drained(server) => {
                let found = configured_servers
                    .iter_mut()
                    .find(|configured| configured.server.as_str() == *server);
                found.expect("a configured server").drain = DrainState::Drained;
                reported.extend(registry.set_servers(&configured_servers, now));
            }
        }
    }
    let expected: Vec<HealthEvent> = case.changes.iter().map(event_of).collect();
    assert_eq!(reported, expected, "{}", case.name);
    assert_eq!(
        final_state(registry.availability(&ServerName::new("a"), now)),
        case.final_state,
        "{}",
        case.name
    );
}

fn configured(name: &str) -> ConfiguredServer {
    ConfiguredServer {
        server: ServerName::new(name),
        zone: ZoneName::new("brescia-est"),
        pool: Arc::from("describer"),
        drain: DrainState::InUse,
    }
}

fn event_of((server, change): &(&str, HealthChange)) -> HealthEvent {
    HealthEvent { server: ServerName::new(server), change: *change }
}

fn final_state(availability: ServerAvailability) -> FinalState {
    match availability {
        ServerAvailability::Open => FinalState::Open,
        ServerAvailability::Warming { .. } => FinalState::Warming,
        ServerAvailability::LastResort => FinalState::LastResort,
        ServerAvailability::Trial => FinalState::Trial,
        ServerAvailability::Ejected => FinalState::Ejected,
        ServerAvailability::Leaving => FinalState::Leaving,
        ServerAvailability::Drained => panic!("not drained"),
    }
}

#[test]
fn warm_up_is_linear() {
    let registry = HealthRegistry::new(HealthConf::default());
    let now = Instant::now();
    registry.set_servers(&[configured("a")], now);
    let name = ServerName::new("a");
    registry.incarnation_seen(&name, Incarnation(1), now);
    assert_eq!(
        registry.availability(&name, now),
        ServerAvailability::Open,
        "no warm-up at the first sighting"
    );
    registry.incarnation_seen(&name, Incarnation(2), now);
    let share = |millis| match registry.availability(&name, now + ms(millis)) {
        ServerAvailability::Warming { share } => (share * 100.0).round(),
        other => panic!("not warming: {other:?}"),
    };
    assert_eq!([share(0), share(2_500), share(4_999)], [10.0, 55.0, 100.0]);
    assert_eq!(registry.availability(&name, now + ms(5_000)), ServerAvailability::Open);
}

/// The minimum share applies to each pool: the only server of a pool stays in use even if other
/// pools of the zone are healthy.
#[test]
fn only_server_of_a_pool_is_not_ejected() {
    let registry = HealthRegistry::new(HealthConf::default());
    let now = Instant::now();
    let checkout = ConfiguredServer { pool: Arc::from("checkout"), ..configured("checkout-1") };
    registry.set_servers(&[configured("a"), configured("b"), checkout], now);
    for _ in 0..50 {
        registry.record_result(&ServerName::new("checkout-1"), None, Closed, now);
    }
    assert!(registry.availability(&ServerName::new("checkout-1"), now).accepts_requests());
}
