//! Which services a host reaches, and which host sends requests for one that reaches none.

mod support;

use std::sync::Arc;
use std::time::Duration;

use fulmargate_dispatch::ConnectOutcome;
use fulmargate_dispatch::GossipMessage;
use fulmargate_dispatch::HelperCandidate;
use fulmargate_dispatch::PeerLoad;
use fulmargate_dispatch::ReachReport;
use fulmargate_dispatch::ServerEntry;
use fulmargate_dispatch::ServerRegistry;
use fulmargate_dispatch::choose_helper;
use fulmargate_dispatch::service_key;
use fulmargate_names::HostName;
use fulmargate_names::ServiceName;
use fulmargate_names::ZoneName;
use support::ENGINES;
use support::PLAIN_SERVICE;
use support::engines;
use support::key;
use support::prompt_call;
use support::server;
use tokio::time::Instant;

use ConnectOutcome::Reached;
use ConnectOutcome::Refused;
use ConnectOutcome::TimedOut;
use ReachStep::*;

/// Action or check at a time in milliseconds.
enum ReachStep {
    Tried(u64, &'static [&'static str], ConnectOutcome),
    IsUnreached(bool),
    /// Number of servers to probe.
    Probes(u64, usize),
    /// Share of the requests that a host of six sends itself.
    LocalShare(u64, f64),
}

struct ReachCase {
    name: &'static str,
    servers: &'static [&'static str],
    steps: &'static [ReachStep],
}

const TWELVE: &[&str] = &["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
const ALL_BUT_A: &[&str] = &["b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
const HALF: &[&str] = &["a", "b", "c", "d", "e", "f"];

const REACH_CASES: &[ReachCase] = &[
    ReachCase {
        name: "three refusals and no success",
        servers: TWELVE,
        steps: &[
            Tried(0, TWELVE, Reached),
            Tried(10, &["a", "b"], Refused),
            IsUnreached(false),
            Tried(20, &["c"], Refused),
            IsUnreached(true),
            LocalShare(20, 0.0),
        ],
    },
    ReachCase {
        name: "timeouts count as refusals do",
        servers: TWELVE,
        steps: &[Tried(0, &["a", "b", "c"], TimedOut), IsUnreached(true)],
    },
    ReachCase {
        name: "three servers have crashed, others are reached",
        servers: TWELVE,
        steps: &[
            Tried(0, &["a"], Refused),
            Tried(10, &["d"], Reached),
            Tried(20, &["b", "c"], Refused),
            IsUnreached(false),
            Probes(20, 0),
            LocalShare(20, 1.0),
        ],
    },
    ReachCase {
        name: "a small service fails as a whole",
        servers: &["a", "b"],
        steps: &[
            Tried(0, &["a"], Refused),
            IsUnreached(false),
            Tried(10, &["b"], TimedOut),
            IsUnreached(true),
        ],
    },
    ReachCase {
        name: "a single server may refuse one connection",
        servers: &["a"],
        steps: &[
            Tried(0, &["a"], Refused),
            IsUnreached(false),
            Tried(10, &["a"], Refused),
            IsUnreached(true),
        ],
    },
    ReachCase {
        name: "old failures do not count",
        servers: TWELVE,
        steps: &[Tried(0, &["a", "b"], Refused), Tried(5_100, &["c"], Refused), IsUnreached(false)],
    },
    ReachCase {
        name: "probes go round until one succeeds, then to all that failed",
        servers: TWELVE,
        steps: &[
            Tried(0, TWELVE, TimedOut),
            IsUnreached(true),
            Probes(200, 3),
            Tried(300, &["a"], Reached),
            IsUnreached(false),
            Probes(300, 11),
            // A host of six may fill one of twelve servers by half of its own load.
            Tried(310, ALL_BUT_A, TimedOut),
            LocalShare(310, 0.5),
            Tried(320, ALL_BUT_A, Reached),
            Probes(320, 0),
            LocalShare(320, 1.0),
        ],
    },
    ReachCase {
        name: "few servers reached for long: the others are probed in turn",
        servers: TWELVE,
        steps: &[
            Tried(0, TWELVE, TimedOut),
            Tried(300, &["a"], Reached),
            Tried(310, ALL_BUT_A, TimedOut),
            Tried(5_200, ALL_BUT_A, TimedOut),
            IsUnreached(false),
            Probes(5_400, 6),
            Tried(5_500, ALL_BUT_A, Reached),
            Probes(5_600, 0),
        ],
    },
    ReachCase {
        name: "half of the servers reached: the host uses them",
        servers: TWELVE,
        steps: &[
            Tried(0, HALF, TimedOut),
            Tried(10, ALL_BUT_A, Reached),
            Tried(20, HALF, TimedOut),
            Tried(30, HALF, TimedOut),
            IsUnreached(false),
            LocalShare(40, 1.0),
        ],
    },
];

impl ReachCase {
    fn check(&self) {
        let start = Instant::now();
        let mut registry = ServerRegistry::default();
        registry.sync(&engines(self.servers), start);
        let service = ServiceName::new(ENGINES);
        for number in 0..5 {
            registry.apply_gossip(&report(&format!("host-{number}"), "north", &[]), start);
        }
        for (number, step) in self.steps.iter().enumerate() {
            let at = |ms: &u64| start + Duration::from_millis(*ms);
            let name = format!("{}, step {number}", self.name);
            match step {
                Tried(ms, names, outcome) => {
                    for name in *names {
                        registry.record_connect(key(name), *outcome, at(ms));
                    }
                }
                IsUnreached(expected) => {
                    assert_eq!(registry.is_unreached(&service), *expected, "{name}");
                }
                Probes(ms, expected) => {
                    assert_eq!(registry.next_probes(at(ms)).len(), *expected, "{name}");
                }
                LocalShare(ms, expected) => {
                    let share = registry.local_share(&service, at(ms));
                    assert!((share - expected).abs() < 1e-9, "{name}: {share}");
                }
            }
        }
    }
}

/// A host must know soon that it reaches no server, and must not take a crash of some servers for that.
#[test]
fn a_service_is_unreached_after_failures_without_a_success() {
    REACH_CASES.iter().for_each(ReachCase::check);
}

/// Changes are reported once each, with what they rest on.
#[test]
fn changes_of_reach_are_reported_once() {
    let start = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.sync(&engines(&["a", "b"]), start);
    for name in ["a", "b", "a"] {
        registry.record_connect(key(name), Refused, start);
    }
    let changes = registry.take_reach_changes();
    assert_eq!(changes.len(), 1);
    assert_eq!((changes[0].ended_after, changes[0].evidence.failed), (None, 2));
    registry.record_connect(key("b"), Reached, start + Duration::from_millis(700));
    let changes = registry.take_reach_changes();
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].ended_after, Some(Duration::from_millis(700)));
    assert!(registry.take_reach_changes().is_empty());
}

/// Requests on connections that live on must not be given up because new connections from this host fail.
#[test]
fn a_server_that_others_reach_is_not_lost() {
    let start = Instant::now();
    let entries: Vec<Arc<ServerEntry>> =
        ["a", "b", "c"].iter().map(|name| Arc::new(server(name, PLAIN_SERVICE))).collect();
    let mut registry = ServerRegistry::default();
    registry.sync(&entries, start);
    let at = |ms| start + Duration::from_millis(ms);
    for ms in [0, 400, 800] {
        for entry in &entries {
            registry.record_connect(entry.key(), Refused, at(ms));
            registry.record_unreachable(entry.key(), at(ms));
        }
    }
    assert!(registry.is_lost(&entries[0], at(900)));
    registry.apply_gossip(&report("other", "north", &[]), at(900));
    assert!(!registry.is_lost(&entries[0], at(900)));
    registry.apply_gossip(&report("other", "north", &[PLAIN_SERVICE]), at(910));
    assert!(registry.is_lost(&entries[0], at(910)));
}

/// Guards against servers that look busy to all hosts with the requests of a host that is cut off from them.
#[test]
fn a_host_that_reaches_no_server_reports_no_load_there() {
    let now = Instant::now();
    let mut registry = ServerRegistry::default();
    registry.sync(&engines(&["a", "b", "c"]), now);
    registry.record_send(&prompt_call("open", &[], now), key("a"), now);
    assert_eq!(registry.take_gossip(usize::MAX, now).loads.len(), 1);
    for name in ["a", "b", "c"] {
        registry.record_connect(key(name), TimedOut, now);
    }
    assert_eq!(registry.take_gossip(usize::MAX, now).loads, []);
    registry.record_connect(key("b"), Reached, now + Duration::from_millis(700));
    assert_eq!(registry.take_gossip(usize::MAX, now).loads.len(), 1, "the cut has ended");
}

fn report(host: &str, zone: &str, unreached: &[&str]) -> GossipMessage {
    let unreached = unreached.iter().map(|service| service_key(service)).collect();
    GossipMessage {
        host: Some(HostName::new(host)),
        zone: Some(ZoneName::new(zone)),
        loads: vec![PeerLoad { server: key("a"), open: 1, chats: 0, backlog: Default::default() }],
        link_kbps: Some(1_000),
        reach: Some(ReachReport { unreached, takes_requests: true }),
        ..GossipMessage::default()
    }
}

/// A host that does not answer any more, stops, is cut off itself, or is of a version without forwarding must not be
/// asked.
#[test]
fn only_hosts_that_reach_the_service_are_asked() {
    let start = Instant::now();
    let mut registry = ServerRegistry::default();
    let mut stopping = report("stopping", "north", &[]);
    stopping.reach = Some(ReachReport { unreached: Vec::new(), takes_requests: false });
    let mut old_version = report("old", "north", &[]);
    old_version.reach = None;
    registry.apply_gossip(&report("silent", "north", &[]), start);
    let now = start + Duration::from_millis(1_300);
    for message in [stopping, old_version, report("cut", "north", &[ENGINES])] {
        registry.apply_gossip(&message, now);
    }
    let service = ServiceName::new(ENGINES);
    let zone = ZoneName::new("north");
    let chosen = |registry: &ServerRegistry| registry.choose_helper(&service, &zone, &[], 7, now);
    assert_eq!(chosen(&registry), None);
    registry.apply_gossip(&report("sound", "south", &[]), now);
    assert_eq!(chosen(&registry).map(|helper| helper.host), Some(HostName::new("sound")));
    let excluded = [HostName::new("sound")];
    assert_eq!(registry.choose_helper(&service, &zone, &excluded, 7, now), None);
}

/// Hosts of one zone that are cut off, of so many hosts in three zones.
struct SpreadCase {
    hosts: usize,
    cut: &'static [usize],
    /// Bound of the most requests that a helper gets, as a multiple of the mean over all helpers asked.
    max_over_mean: f64,
    stays_in_zone: bool,
}

const SPREAD_CASES: &[SpreadCase] = &[
    SpreadCase { hosts: 6, cut: &[0], max_over_mean: 1.5, stays_in_zone: true },
    SpreadCase { hosts: 6, cut: &[0, 1, 3], max_over_mean: 1.5, stays_in_zone: false },
    SpreadCase { hosts: 6, cut: &[0, 1, 2, 3, 4], max_over_mean: 1.0, stays_in_zone: true },
    SpreadCase { hosts: 6, cut: &[0, 3], max_over_mean: 1.5, stays_in_zone: false },
    SpreadCase { hosts: 30, cut: &[0, 3, 6, 9], max_over_mean: 1.7, stays_in_zone: true },
    SpreadCase { hosts: 195, cut: &[0, 3, 6, 9, 12, 15], max_over_mean: 2.0, stays_in_zone: true },
];

impl SpreadCase {
    fn check(&self) {
        let draws = 200 * self.hosts as u64;
        let zone_of = |host: usize| ZoneName::new(&format!("zone-{}", host % 3));
        let candidates: Vec<HelperCandidate> = (1..self.hosts)
            .map(|host| HelperCandidate {
                host: HostName::new(&format!("host-{host}")),
                zone: Some(zone_of(host)),
                reaches_service: !self.cut.contains(&host),
                is_available: true,
                open: 3,
                link_kbps: 1_000,
                age: Duration::ZERO,
            })
            .collect();
        let mut counts = indexmap::IndexMap::new();
        for draw in 0..draws {
            let chosen = choose_helper(&candidates, &zone_of(0), draw).expect("a helper");
            *counts.entry(chosen.host).or_insert(0_u64) += 1;
        }
        let most = counts.values().copied().max().unwrap_or_default() as f64;
        let mean = draws as f64 / counts.len() as f64;
        assert!(most <= self.max_over_mean * mean, "{} hosts: {most} of {mean}", self.hosts);
        let zones: indexmap::IndexSet<String> = counts
            .keys()
            .filter_map(|host| host.as_str().strip_prefix("host-")?.parse::<usize>().ok())
            .map(|host| zone_of(host).as_str().to_owned())
            .collect();
        assert_eq!(zones.len() == 1, self.stays_in_zone, "{} hosts: {zones:?}", self.hosts);
    }
}

/// No helper may get the load of all hosts that are cut off, and requests stay in their zone where it has enough hosts.
#[test]
fn forwarded_requests_are_spread_over_helpers() {
    SPREAD_CASES.iter().for_each(SpreadCase::check);
}

/// Of two hosts the one with fewer requests for its link is asked.
#[test]
fn busy_helpers_are_asked_less() {
    let candidate = |host: &str, open| HelperCandidate {
        host: HostName::new(host),
        zone: None,
        reaches_service: true,
        is_available: true,
        open,
        link_kbps: 1_000,
        age: Duration::ZERO,
    };
    let candidates = [candidate("busy", 60), candidate("idle", 2)];
    let zone = ZoneName::new("north");
    let chosen = (0..1_000).filter_map(|draw| choose_helper(&candidates, &zone, draw));
    let busy = chosen.filter(|helper| helper.host == HostName::new("busy")).count();
    assert!((150..350).contains(&busy), "{busy}");
}
