//! Probes of servers that have stopped sending, and detection of lost servers.

mod support;

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::ProbeStep;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerRegistry;
use fulmargate_names::Incarnation;
use support::ENGINES;
use support::server;
use tokio::time::Instant;

/// An event with its time in milliseconds.
enum ContactEvent {
    Failed(u64),
    Reached(u64),
    /// A waiting request asks what to do, and is given this step.
    NextStep(u64, ProbeStep),
    /// Whether the server counts as lost.
    IsLost(u64, bool),
}

struct ContactCase {
    name: &'static str,
    events: &'static [ContactEvent],
}

use ContactEvent::*;
use ProbeStep::*;

const CASES: &[ContactCase] = &[
    ContactCase {
        name: "waiting requests share one probe",
        events: &[NextStep(0, Probe), NextStep(1, Wait), NextStep(300, Wait), NextStep(400, Probe)],
    },
    ContactCase {
        name: "a successful probe holds for all requests for a while",
        events: &[NextStep(0, Probe), Reached(5), NextStep(200, Wait), NextStep(300, Probe)],
    },
    ContactCase {
        name: "a failed probe holds for all requests for a while",
        events: &[
            NextStep(0, Probe),
            Failed(150),
            NextStep(160, Unreachable),
            NextStep(420, Probe),
        ],
    },
    ContactCase {
        name: "three failures over the minimum time make a server lost",
        events: &[Failed(0), Failed(400), IsLost(600, false), Failed(601), IsLost(601, true)],
    },
    ContactCase {
        name: "three failures at once, as at the connection limit, do not make a server lost",
        events: &[Failed(0), Failed(1), Failed(2), IsLost(100, false)],
    },
    ContactCase {
        name: "a successful connection resets the failures",
        events: &[Failed(0), Failed(400), Reached(500), Failed(700), IsLost(800, false)],
    },
    ContactCase {
        name: "a lost server is no longer lost after a successful connection",
        events: &[
            Failed(0),
            Failed(400),
            Failed(700),
            IsLost(700, true),
            Reached(900),
            IsLost(901, false),
        ],
    },
];

/// Guards against requests that wait at an unreachable server, and against one probe per waiting request.
#[test]
fn waiting_requests_share_probes_and_lost_servers_are_detected() {
    for case in CASES {
        let origin = Instant::now();
        let at = |ms: &u64| origin + Duration::from_millis(*ms);
        let entry = Arc::new(server("e", ENGINES));
        let mut registry = ServerRegistry::default();
        registry.sync(std::slice::from_ref(&entry), origin);
        for event in case.events {
            match event {
                Failed(ms) => registry.record_unreachable(entry.key(), at(ms)),
                Reached(ms) => registry.record_reachable(entry.key(), at(ms)),
                NextStep(ms, step) => {
                    assert_eq!(
                        registry.next_probe_step(entry.key(), at(ms)),
                        *step,
                        "{} at {ms}",
                        case.name
                    );
                }
                IsLost(ms, is_lost) => {
                    assert_eq!(registry.is_lost(&entry, at(ms)), *is_lost, "{} at {ms}", case.name);
                }
            }
        }
    }
}

/// Guards against requests that wait for an earlier incarnation of a restarted server. A server that only left
/// the list may still respond.
#[test]
fn a_restarted_server_loses_its_earlier_incarnation() {
    let now = Instant::now();
    let incarnation_of = |number| {
        let incarnation = Some(Incarnation(number));
        Arc::new(ServerEntry { incarnation, ..server("e", ENGINES) })
    };
    let (old, new) = (incarnation_of(6), incarnation_of(7));
    let mut registry = ServerRegistry::default();
    registry.sync(std::slice::from_ref(&old), now);
    assert!(!registry.is_lost(&old, now));
    registry.sync(&[], now);
    assert!(!registry.is_lost(&old, now), "a server that left the list may still respond");
    registry.sync(std::slice::from_ref(&new), now);
    assert!(registry.is_lost(&old, now));
    assert!(!registry.is_lost(&new, now));
}
