//! How words between routers go in fleets of any size.

use std::time::Duration;

use fulmargate_dispatch::FleetHost;
use fulmargate_dispatch::GossipPath;
use fulmargate_dispatch::GossipTarget;
use fulmargate_dispatch::GossipTopology;
use fulmargate_dispatch::RelayChoice;
use fulmargate_dispatch::is_passed_on;
use fulmargate_dispatch::is_taken_in;
use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

const DIRECT_HOSTS: usize = 32;
const NARROW: u32 = 20_000;
const WIDE: u32 = 200_000;
/// Turns of relays within which a word reaches all: its own relay's, and that of the hearer's zone.
const RELAY_TURNS: usize = 2;

/// Hosts of some zones; the first ones of each have wide links.
fn fleet(zones: usize, hosts: usize, wide: usize) -> Vec<FleetHost> {
    let host = |zone: usize, number: usize| FleetHost {
        host: HostName::new(&format!("host-{zone}-{number}")),
        zone: ZoneName::new(&format!("zone-{zone}")),
        link_kbps: if number < wide { WIDE } else { NARROW },
    };
    (0..zones).flat_map(|zone| (0..hosts).map(move |number| host(zone, number))).collect()
}

/// Hosts with their choices of relays, and what each relay has to pass on.
struct TestFleet {
    hosts: Vec<FleetHost>,
    choices: Vec<RelayChoice>,
    /// Hosts that are dead or frozen.
    silent: IndexSet<HostName>,
    /// The words heard, by hearer and speaker.
    heard: IndexMap<(usize, usize), usize>,
    /// Who wants the words of a relay.
    listeners: IndexMap<usize, IndexSet<usize>>,
    waiting: IndexMap<usize, Vec<usize>>,
    /// Messages sent by each host.
    sent: Vec<usize>,
}

impl TestFleet {
    fn new(hosts: Vec<FleetHost>) -> TestFleet {
        let choices = hosts.iter().map(|_| RelayChoice::default()).collect();
        let sent = vec![0; hosts.len()];
        TestFleet {
            hosts,
            choices,
            silent: IndexSet::new(),
            heard: IndexMap::new(),
            listeners: IndexMap::new(),
            waiting: IndexMap::new(),
            sent,
        }
    }

    fn index(&self, host: &HostName) -> usize {
        self.hosts.iter().position(|other| other.host == *host).expect("a host of the fleet")
    }

    /// All speak once, and relays pass on what they have heard.
    fn round(&mut self, now: Instant) {
        self.heard.clear();
        self.listeners.clear();
        let route = GossipTopology::new(&self.hosts, DIRECT_HOSTS);
        for speaker in 0..self.hosts.len() {
            if !self.silent.contains(&self.hosts[speaker].host) {
                self.speak(&route, speaker, now);
            }
        }
        for _ in 0..RELAY_TURNS {
            self.pass_on(now);
        }
    }

    fn speak(&mut self, route: &GossipTopology, speaker: usize, now: Instant) {
        let own = self.hosts[speaker].clone();
        let targets = route.targets(&own, &mut self.choices[speaker], now).expect("relays");
        self.sent[speaker] += targets.len();
        self.waiting.entry(speaker).or_default().push(speaker);
        for GossipTarget { host, subscribes } in targets {
            let hearer = self.index(&host);
            if self.silent.contains(&host) {
                continue;
            }
            let zone = &self.hosts[hearer].zone;
            if is_taken_in(GossipPath::Direct, subscribes, &own.zone, zone) {
                *self.heard.entry((hearer, speaker)).or_default() += 1;
            }
            if subscribes {
                self.listeners.entry(hearer).or_default().insert(speaker);
            }
            if is_passed_on(GossipPath::Direct, &own.zone, &self.hosts[hearer].zone) {
                self.waiting.entry(hearer).or_default().push(speaker);
            }
        }
    }

    fn pass_on(&mut self, now: Instant) {
        for (relay, words) in std::mem::take(&mut self.waiting) {
            let zone = self.hosts[relay].zone.clone();
            for listener in self.listeners.get(&relay).cloned().unwrap_or_default() {
                let relay_host = self.hosts[relay].host.clone();
                self.choices[listener].heard(&relay_host, now);
                self.sent[relay] += 1;
                let is_near = self.hosts[listener].zone == zone;
                for speaker in words.iter().copied().filter(|speaker| *speaker != listener) {
                    if !is_near && self.hosts[speaker].zone != zone {
                        continue;
                    }
                    *self.heard.entry((listener, speaker)).or_default() += 1;
                    let (origin, own) = (&self.hosts[speaker].zone, &self.hosts[listener].zone);
                    if is_passed_on(GossipPath::Relayed, origin, own) {
                        self.waiting.entry(listener).or_default().push(speaker);
                    }
                }
            }
        }
    }

    /// Hearers and speakers of whom no word came, and of whom more than one came.
    fn faults(&self) -> (usize, usize) {
        let speaking = |index: &usize| !self.silent.contains(&self.hosts[*index].host);
        let all: Vec<usize> = (0..self.hosts.len()).filter(speaking).collect();
        let pairs = all.iter().flat_map(|one| all.iter().map(move |other| (*one, *other)));
        let pairs: Vec<(usize, usize)> = pairs.filter(|(one, other)| one != other).collect();
        let count = |pair: &(usize, usize)| self.heard.get(pair).copied().unwrap_or_default();
        let lost = pairs.iter().filter(|pair| count(pair) == 0).count();
        let twice = pairs.iter().filter(|pair| 1 < count(pair)).count();
        (lost, twice)
    }
}

struct FleetCase {
    name: &'static str,
    zones: usize,
    hosts: usize,
    wide: usize,
    /// Messages of a host that passes nothing on, and of the busiest relay, in a turn.
    most_sent: usize,
    most_relayed: usize,
}

const FLEETS: &[FleetCase] = &[
    FleetCase {
        name: "90 hosts in four zones",
        zones: 4,
        hosts: 23,
        wide: 2,
        most_sent: 2,
        most_relayed: 60,
    },
    FleetCase {
        name: "195 hosts in five zones",
        zones: 5,
        hosts: 39,
        wide: 3,
        most_sent: 2,
        most_relayed: 100,
    },
    FleetCase {
        name: "740 hosts in ten zones",
        zones: 10,
        hosts: 74,
        wide: 6,
        most_sent: 6,
        most_relayed: 200,
    },
    FleetCase {
        name: "no wide links",
        zones: 5,
        hosts: 39,
        wide: 0,
        most_sent: 9,
        most_relayed: 60,
    },
];

/// Routers choose by what others had under way half a second ago, and each sends hundreds of messages a second.
/// Words went from all to all. Through relays each host hears each other one's word exactly once, and sends a
/// few messages at any size.
#[test]
fn each_word_reaches_each_host_once() {
    for case in FLEETS {
        let mut fleet = TestFleet::new(fleet(case.zones, case.hosts, case.wide));
        let start = Instant::now();
        fleet.round(start);
        fleet.sent.fill(0);
        fleet.round(start + Duration::from_millis(200));
        assert_eq!(fleet.faults(), (0, 0), "{}: words lost, words heard twice", case.name);
        let route = GossipTopology::new(&fleet.hosts, DIRECT_HOSTS);
        let relays: IndexSet<HostName> =
            route.relays.expect("relays").into_values().flatten().collect();
        for (host, sent) in fleet.hosts.iter().zip(&fleet.sent) {
            let is_relay = relays.contains(&host.host);
            let most = if is_relay { case.most_relayed } else { case.most_sent };
            assert!(*sent <= most, "{}: {} sent {sent}", case.name, host.host);
        }
    }
}

/// A whole zone chooses by old words for seconds.
/// The host that passes words on to it is killed, frozen or cut off. Those that hear nothing of it for some
/// hundred milliseconds turn to the next one, whatever else is known of it.
#[test]
fn a_silent_relay_is_left() {
    let mut fleet = TestFleet::new(fleet(5, 39, 3));
    let start = Instant::now();
    let pace = Duration::from_millis(195);
    let mut now = start;
    for _ in 0..3 {
        fleet.round(now);
        now += pace;
    }
    let route = GossipTopology::new(&fleet.hosts, DIRECT_HOSTS);
    let relays = route.relays.expect("relays");
    fleet.silent.insert(relays["zone-1"][0].clone());
    let begun = now;
    while fleet.faults() != (0, 0) || now == begun {
        assert!(now - begun < Duration::from_secs(1), "{:?} after a second", fleet.faults());
        fleet.round(now);
        now += pace;
    }
}

struct PaceCase {
    name: &'static str,
    zones: usize,
    hosts: usize,
    wide: usize,
    /// The longest pause between two words, in milliseconds.
    most_ms: u64,
    relays: Option<usize>,
}

const PACES: &[PaceCase] = &[
    PaceCase { name: "8 hosts", zones: 2, hosts: 4, wide: 0, most_ms: 29, relays: None },
    PaceCase { name: "32 hosts", zones: 4, hosts: 8, wide: 0, most_ms: 94, relays: None },
    PaceCase { name: "92 hosts", zones: 4, hosts: 23, wide: 2, most_ms: 92, relays: Some(2) },
    PaceCase { name: "195 hosts", zones: 5, hosts: 39, wide: 3, most_ms: 195, relays: Some(2) },
    PaceCase { name: "740 hosts", zones: 10, hosts: 74, wide: 7, most_ms: 600, relays: Some(5) },
    PaceCase { name: "narrow links", zones: 5, hosts: 39, wide: 0, most_ms: 600, relays: Some(8) },
];

#[test]
fn paces_and_relays() {
    for case in PACES {
        let hosts = fleet(case.zones, case.hosts, case.wide);
        let route = GossipTopology::new(&hosts, DIRECT_HOSTS);
        assert!(route.pace.as_millis() as u64 <= case.most_ms, "{}: {:?}", case.name, route.pace);
        let relays = route.relays.map(|relays| relays["zone-0"].len());
        assert_eq!(relays, case.relays, "{}", case.name);
    }
}

/// Hosts that have not said what their links carry are not trusted with others' words.
#[test]
fn unknown_links_pass_nothing_on() {
    let mut hosts = fleet(5, 39, 0);
    hosts.iter_mut().for_each(|host| host.link_kbps = 0);
    assert_eq!(GossipTopology::new(&hosts, DIRECT_HOSTS).relays, None);
}
