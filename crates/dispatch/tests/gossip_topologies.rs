//! Gossip topologies of fleets of all sizes.

use std::time::Duration;

use fulmargate_dispatch::FleetHost;
use fulmargate_dispatch::GossipPath;
use fulmargate_dispatch::GossipTarget;
use fulmargate_dispatch::GossipTopology;
use fulmargate_dispatch::RelayChoice;
use fulmargate_dispatch::should_apply;
use fulmargate_dispatch::should_forward;
use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

const DIRECT_HOSTS: usize = 32;
const NARROW_KBPS: u32 = 20_000;
const WIDE_KBPS: u32 = 200_000;
/// Forwarding steps within which a message reaches all hosts: through a relay of its own zone and
/// through one of the receiver's.
const RELAY_HOPS: usize = 2;

/// Zones of equal size; the first `wide` hosts of each have wide links.
fn fleet(zones: usize, hosts_per_zone: usize, wide: usize) -> Vec<FleetHost> {
    let host = |zone: usize, number: usize| FleetHost {
        host: HostName::new(&format!("host-{zone}-{number}")),
        zone: ZoneName::new(&format!("zone-{zone}")),
        link_kbps: if number < wide { WIDE_KBPS } else { NARROW_KBPS },
    };
    (0..zones).flat_map(|zone| (0..hosts_per_zone).map(move |number| host(zone, number))).collect()
}

/// Simulated hosts with their choices of relays.
struct TestFleet {
    hosts: Vec<FleetHost>,
    choices: Vec<RelayChoice>,
    /// Hosts that have crashed or are frozen.
    failed: IndexSet<HostName>,
    /// Number of messages received, by receiver and origin.
    received: IndexMap<(usize, usize), usize>,
    /// Subscribers of each relay.
    subscribers: IndexMap<usize, IndexSet<usize>>,
    /// Origins of the messages that each host has yet to forward.
    pending: IndexMap<usize, Vec<usize>>,
    /// Number of messages sent by each host.
    sent: Vec<usize>,
}

impl TestFleet {
    fn new(hosts: Vec<FleetHost>) -> TestFleet {
        let choices = hosts.iter().map(|_| RelayChoice::default()).collect();
        let sent = vec![0; hosts.len()];
        TestFleet {
            hosts,
            choices,
            failed: IndexSet::new(),
            received: IndexMap::new(),
            subscribers: IndexMap::new(),
            pending: IndexMap::new(),
            sent,
        }
    }

    fn index(&self, host: &HostName) -> usize {
        self.hosts.iter().position(|other| other.host == *host).expect("host is not in the fleet")
    }

    /// Every host sends once, and relays forward what they have received.
    fn round(&mut self, now: Instant) {
        self.received.clear();
        self.subscribers.clear();
        let topology = GossipTopology::new(&self.hosts, DIRECT_HOSTS);
        for sender in 0..self.hosts.len() {
            if !self.failed.contains(&self.hosts[sender].host) {
                self.send(&topology, sender, now);
            }
        }
        for _ in 0..RELAY_HOPS {
            self.forward(now);
        }
    }

    fn send(&mut self, topology: &GossipTopology, sender: usize, now: Instant) {
        let own = self.hosts[sender].clone();
        let targets =
            topology.targets(&own, &mut self.choices[sender], now).expect("topology has no relays");
        self.sent[sender] += targets.len();
        self.pending.entry(sender).or_default().push(sender);
        for GossipTarget { host, subscribes } in targets {
            let receiver = self.index(&host);
            if self.failed.contains(&host) {
                continue;
            }
            let zone = &self.hosts[receiver].zone;
            if should_apply(GossipPath::Direct, subscribes, &own.zone, zone) {
                *self.received.entry((receiver, sender)).or_default() += 1;
            }
            if subscribes {
                self.subscribers.entry(receiver).or_default().insert(sender);
            }
            if should_forward(GossipPath::Direct, &own.zone, &self.hosts[receiver].zone) {
                self.pending.entry(receiver).or_default().push(sender);
            }
        }
    }

    fn forward(&mut self, now: Instant) {
        for (relay, origins) in std::mem::take(&mut self.pending) {
            let zone = self.hosts[relay].zone.clone();
            for subscriber in self.subscribers.get(&relay).cloned().unwrap_or_default() {
                let relay_host = self.hosts[relay].host.clone();
                self.choices[subscriber].record_message(&relay_host, now);
                self.sent[relay] += 1;
                let is_same_zone = self.hosts[subscriber].zone == zone;
                for sender in origins.iter().copied().filter(|sender| *sender != subscriber) {
                    if !is_same_zone && self.hosts[sender].zone != zone {
                        continue;
                    }
                    *self.received.entry((subscriber, sender)).or_default() += 1;
                    let (origin, own) = (&self.hosts[sender].zone, &self.hosts[subscriber].zone);
                    if should_forward(GossipPath::Relayed, origin, own) {
                        self.pending.entry(subscriber).or_default().push(sender);
                    }
                }
            }
        }
    }

    /// Number of pairs of hosts of which one did not receive the other's message, and of those with
    /// duplicates.
    fn lost_and_duplicates(&self) -> (usize, usize) {
        let is_running = |index: &usize| !self.failed.contains(&self.hosts[*index].host);
        let all: Vec<usize> = (0..self.hosts.len()).filter(is_running).collect();
        let pairs = all.iter().flat_map(|one| all.iter().map(move |other| (*one, *other)));
        let pairs: Vec<(usize, usize)> = pairs.filter(|(one, other)| one != other).collect();
        let count = |pair: &(usize, usize)| self.received.get(pair).copied().unwrap_or_default();
        let lost = pairs.iter().filter(|pair| count(pair) == 0).count();
        let duplicate = pairs.iter().filter(|pair| 1 < count(pair)).count();
        (lost, duplicate)
    }
}

struct FleetCase {
    name: &'static str,
    zones: usize,
    hosts_per_zone: usize,
    wide: usize,
    /// Maximum number of messages that a host which is no relay, and a relay, send in a round.
    max_sent: usize,
    max_relayed: usize,
}

const FLEET_CASES: &[FleetCase] = &[
    FleetCase {
        name: "90 hosts in four zones",
        zones: 4,
        hosts_per_zone: 23,
        wide: 2,
        max_sent: 2,
        max_relayed: 60,
    },
    FleetCase {
        name: "195 hosts in five zones",
        zones: 5,
        hosts_per_zone: 39,
        wide: 3,
        max_sent: 2,
        max_relayed: 100,
    },
    FleetCase {
        name: "740 hosts in ten zones",
        zones: 10,
        hosts_per_zone: 74,
        wide: 6,
        max_sent: 6,
        max_relayed: 200,
    },
    FleetCase {
        name: "no wide links",
        zones: 5,
        hosts_per_zone: 39,
        wide: 0,
        max_sent: 9,
        max_relayed: 60,
    },
];

/// Guards against traffic that grows with the square of the fleet. Through relays each host must
/// receive each other one's message exactly once, and send a few messages at any fleet size.
#[test]
fn each_message_reaches_each_host_once() {
    for case in FLEET_CASES {
        let mut fleet = TestFleet::new(fleet(case.zones, case.hosts_per_zone, case.wide));
        let start = Instant::now();
        fleet.round(start);
        fleet.sent.fill(0);
        fleet.round(start + Duration::from_millis(200));
        assert_eq!(
            fleet.lost_and_duplicates(),
            (0, 0),
            "{}: messages lost, messages duplicated",
            case.name
        );
        let topology = GossipTopology::new(&fleet.hosts, DIRECT_HOSTS);
        let relays: IndexSet<HostName> =
            topology.relays.expect("topology has no relays").into_values().flatten().collect();
        for (host, sent) in fleet.hosts.iter().zip(&fleet.sent) {
            let is_relay = relays.contains(&host.host);
            let max_sent = if is_relay { case.max_relayed } else { case.max_sent };
            assert!(*sent <= max_sent, "{}: {} sent {sent} messages", case.name, host.host);
        }
    }
}

/// Guards against a zone choosing by outdated loads for seconds after its relay has failed.
#[test]
fn a_failed_relay_is_replaced() {
    let mut fleet = TestFleet::new(fleet(5, 39, 3));
    let start = Instant::now();
    let interval = Duration::from_millis(195);
    let mut now = start;
    for _ in 0..3 {
        fleet.round(now);
        now += interval;
    }
    let topology = GossipTopology::new(&fleet.hosts, DIRECT_HOSTS);
    let relays = topology.relays.expect("topology has no relays");
    fleet.failed.insert(relays["zone-1"][0].clone());
    let failed_at = now;
    while fleet.lost_and_duplicates() != (0, 0) || now == failed_at {
        assert!(
            now - failed_at < Duration::from_secs(1),
            "{:?} lost and duplicate messages after a second",
            fleet.lost_and_duplicates()
        );
        fleet.round(now);
        now += interval;
    }
}

struct IntervalCase {
    name: &'static str,
    zones: usize,
    hosts_per_zone: usize,
    wide: usize,
    /// Upper bound of the interval between two messages, in milliseconds.
    max_interval_ms: u64,
    relays: Option<usize>,
}

const INTERVAL_CASES: &[IntervalCase] = &[
    IntervalCase {
        name: "8 hosts",
        zones: 2,
        hosts_per_zone: 4,
        wide: 0,
        max_interval_ms: 29,
        relays: None,
    },
    IntervalCase {
        name: "32 hosts",
        zones: 4,
        hosts_per_zone: 8,
        wide: 0,
        max_interval_ms: 94,
        relays: None,
    },
    IntervalCase {
        name: "92 hosts",
        zones: 4,
        hosts_per_zone: 23,
        wide: 2,
        max_interval_ms: 92,
        relays: Some(2),
    },
    IntervalCase {
        name: "195 hosts",
        zones: 5,
        hosts_per_zone: 39,
        wide: 3,
        max_interval_ms: 195,
        relays: Some(2),
    },
    IntervalCase {
        name: "740 hosts",
        zones: 10,
        hosts_per_zone: 74,
        wide: 7,
        max_interval_ms: 600,
        relays: Some(5),
    },
    IntervalCase {
        name: "narrow links",
        zones: 5,
        hosts_per_zone: 39,
        wide: 0,
        max_interval_ms: 600,
        relays: Some(8),
    },
];

#[test]
fn intervals_and_relay_counts() {
    for case in INTERVAL_CASES {
        let hosts = fleet(case.zones, case.hosts_per_zone, case.wide);
        let topology = GossipTopology::new(&hosts, DIRECT_HOSTS);
        assert!(
            topology.interval.as_millis() as u64 <= case.max_interval_ms,
            "{}: {:?}",
            case.name,
            topology.interval
        );
        let relays = topology.relays.map(|relays| relays["zone-0"].len());
        assert_eq!(relays, case.relays, "{}", case.name);
    }
}

/// Hosts whose bandwidth is unknown must not become relays.
#[test]
fn hosts_with_unknown_links_do_not_relay() {
    let mut hosts = fleet(5, 39, 0);
    hosts.iter_mut().for_each(|host| host.link_kbps = 0);
    assert_eq!(GossipTopology::new(&hosts, DIRECT_HOSTS).relays, None);
}
