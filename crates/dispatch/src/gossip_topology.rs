//! Which routers a word goes to, and who passes it on.
//!
//! Answers fleets of hundreds: words from all to all grow with the square of the hosts, so that each host
//! must say less the more there are, and choices rest on what others had under way half a second ago. Instead
//! the hosts of a zone with the widest links pass on the words of their zone, to all of it and to their like
//! in other zones. Each other host sends a word to these and hears one of them.

use std::cmp::Reverse;
use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::gossip_interval;

/// Pause between two words of a host, for each host that there is: all words together take the same share of a
/// link at any size.
const PACE_PER_HOST: Duration = Duration::from_millis(1);
/// Relays pass words on about as often.
const LEAST_PACE: Duration = Duration::from_millis(50);
/// Beyond, hosts would take each other for gone between two words.
const LONGEST_PACE: Duration = Duration::from_millis(600);
/// A word names some ten servers, and a prompt and some parts of caches now and then.
const MESSAGE_BYTES: f64 = 300.0;
/// The share of a host's link for words that it passes on; its callers' answers go over the same link.
const RELAY_SHARE: f64 = 0.25;
/// One may fail, and the others of its zone hear the next one at once.
const LEAST_RELAYS: usize = 2;
/// Where more of a zone's hosts than this share were needed, words go from all to all.
const MOST_RELAYS: f64 = 0.25;
/// A relay says something at least each 120 ms. One that has been silent for so long is frozen or cut off. A
/// word counts for 1.2 s: its listeners hear the next word of each host by another relay before that.
const RELAY_SILENCE: Duration = Duration::from_millis(450);
/// A relay that was silent is left alone for so long. It may come back and be the widest again.
const SILENT_PAUSE: Duration = Duration::from_secs(5);

/// A host that is there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetHost {
    /// Its name.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// What its link carries, in kbit/s; zero while it has not said so.
    pub link_kbps: u32,
}

/// How a word came to a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipPath {
    /// From the router that said it.
    Direct,
    /// Passed on by another one.
    Relayed,
}

/// A router that a word goes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipTarget {
    /// Its host.
    pub host: HostName,
    /// It is asked to pass on what others say.
    pub subscribes: bool,
}

/// How words go in a fleet. Hosts that know the same others come to the same route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipTopology {
    /// The pause between two words of a host.
    pub pace: Duration,
    /// The hosts of each zone that pass words on, the widest first; none where words go from all to all.
    pub relays: Option<IndexMap<ZoneName, Vec<HostName>>>,
}

impl GossipTopology {
    /// The route for these hosts, all that there are. Up to `direct_hosts` speak to all others themselves, and
    /// so do those whose links are too narrow to pass words on.
    pub fn new(hosts: &[FleetHost], direct_hosts: usize) -> GossipTopology {
        let direct =
            GossipTopology { pace: gossip_interval(hosts.len().saturating_sub(1)), relays: None };
        if hosts.len() <= direct_hosts {
            return direct;
        }
        let zones = hosts_by_zone(hosts);
        let pace = PACE_PER_HOST.saturating_mul(hosts.len() as u32);
        let mut pace = pace.clamp(LEAST_PACE, LONGEST_PACE);
        loop {
            if let Some(relays) = all_relays(&zones, hosts.len(), pace) {
                return GossipTopology { pace, relays: Some(relays) };
            }
            if LONGEST_PACE <= pace {
                return direct;
            }
            pace = (pace * 2).min(LONGEST_PACE);
        }
    }

    /// Where a host's own words go; none where they go to all.
    pub fn targets(
        &self,
        own: &FleetHost,
        choice: &mut RelayChoice,
        now: Instant,
    ) -> Option<Vec<GossipTarget>> {
        let relays = self.relays.as_ref()?;
        let near = relays.get(&own.zone).map_or(&[][..], Vec::as_slice);
        let is_relay = near.contains(&own.host);
        choice.forget_others(|zone| (*zone != own.zone) == is_relay);
        let near_choice = match is_relay {
            // What the others of its zone say comes to it by itself.
            true => None,
            false => choice.choose(&own.zone, near, &own.host, now),
        };
        let near = near.iter().filter(|relay| **relay != own.host).map(|relay| GossipTarget {
            host: relay.clone(),
            subscribes: near_choice.as_ref() == Some(relay),
        });
        let mut targets: Vec<GossipTarget> = near.collect();
        if is_relay {
            for (zone, far) in relays.iter().filter(|(zone, _)| **zone != own.zone) {
                let far = choice.choose(zone, far, &own.host, now);
                targets.extend(far.map(|host| GossipTarget { host, subscribes: true }));
            }
        }
        Some(targets)
    }
}

/// Whether a router passes a word on. What its own zone says comes to it directly, what others say by one of
/// their relays; passed on in any other case, a word would go round.
pub fn is_passed_on(way: GossipPath, origin: &ZoneName, own: &ZoneName) -> bool {
    match way {
        GossipPath::Direct => origin == own,
        GossipPath::Relayed => origin != own,
    }
}

/// Whether a router takes in a word. A relay of another zone sends its own to ask for words; it comes by its
/// zone's relays as well, and what is told once would count twice.
pub fn is_taken_in(way: GossipPath, subscribes: bool, origin: &ZoneName, own: &ZoneName) -> bool {
    way == GossipPath::Relayed || !subscribes || origin == own
}

/// The relay of each zone that a host hears.
#[derive(Debug, Default)]
pub struct RelayChoice {
    /// By zone, and since when.
    chosen: IndexMap<ZoneName, (HostName, Instant)>,
    /// When each relay last passed something on.
    heard: IndexMap<HostName, Instant>,
    /// Relays that were silent, and when that was found.
    silent: IndexMap<HostName, Instant>,
}

impl RelayChoice {
    /// A relay has passed words on.
    pub fn heard(&mut self, relay: &HostName, now: Instant) {
        self.silent.swap_remove(relay);
        self.heard.insert(relay.clone(), now);
    }

    /// A relay's words have ended: its process has, or this host asks it no more.
    pub fn ended(&mut self, relay: &HostName, now: Instant) {
        if self.chosen.values().any(|(chosen, _)| chosen == relay) {
            self.chosen.retain(|_, (chosen, _)| chosen != relay);
            self.silent.insert(relay.clone(), now);
        }
    }

    /// Whether a host was asked for words lately and gave none.
    pub fn is_silent(&self, host: &HostName, now: Instant) -> bool {
        let silent = self.silent.get(host);
        silent.is_some_and(|at| now.saturating_duration_since(*at) < SILENT_PAUSE)
    }

    /// Whether a relay was chosen that has not passed anything on yet. It knows of its listener by a word only,
    /// and the first word may be lost with the opening of a link.
    pub fn is_awaiting(&self) -> bool {
        let has_begun = |(relay, since): &(HostName, Instant)| {
            self.heard.get(relay).is_some_and(|heard| since <= heard)
        };
        !self.chosen.values().all(has_begun)
    }

    /// The words of other zones are no longer asked for: that they end says nothing of their relays.
    fn forget_others(&mut self, is_asked: impl Fn(&ZoneName) -> bool) {
        self.chosen.retain(|zone, _| is_asked(zone));
    }

    fn choose(
        &mut self,
        zone: &ZoneName,
        relays: &[HostName],
        own: &HostName,
        now: Instant,
    ) -> Option<HostName> {
        if let Some((relay, since)) = self.chosen.get(zone).cloned() {
            let heard = self.heard.get(&relay).copied().unwrap_or(since).max(since);
            if now.saturating_duration_since(heard) < RELAY_SILENCE {
                if relays.contains(&relay) {
                    return Some(relay);
                }
            } else {
                self.silent.insert(relay, now);
            }
        }
        let speaking = relays.iter().filter(|relay| !self.is_silent(relay, now));
        let speaking: Vec<&HostName> = speaking.collect();
        let all: Vec<&HostName> = relays.iter().collect();
        let among = if speaking.is_empty() { all } else { speaking };
        // Spread over the relays by name.
        let relay = among.get(hash_of(own) as usize % among.len().max(1)).copied()?.clone();
        self.chosen.insert(zone.clone(), (relay.clone(), now));
        Some(relay)
    }
}

/// The hosts of each zone, the widest first and of equal ones in an order drawn by their names.
fn hosts_by_zone(hosts: &[FleetHost]) -> IndexMap<ZoneName, Vec<&FleetHost>> {
    let mut zones: IndexMap<ZoneName, Vec<&FleetHost>> = IndexMap::new();
    for host in hosts {
        zones.entry(host.zone.clone()).or_default().push(host);
    }
    for hosts in zones.values_mut() {
        hosts.sort_unstable_by_key(|host| (Reverse(host.link_kbps), hash_of(&host.host)));
    }
    zones
}

fn all_relays(
    zones: &IndexMap<ZoneName, Vec<&FleetHost>>,
    fleet: usize,
    pace: Duration,
) -> Option<IndexMap<ZoneName, Vec<HostName>>> {
    let relays = |(zone, hosts): (&ZoneName, &Vec<&FleetHost>)| {
        Some((zone.clone(), zone_relays(hosts, fleet, pace)?))
    };
    zones.iter().map(relays).collect()
}

/// As many of the widest hosts as can pass all words on to the rest of their zone.
fn zone_relays(hosts: &[&FleetHost], fleet: usize, pace: Duration) -> Option<Vec<HostName>> {
    let listener_bytes_per_s = fleet as f64 * MESSAGE_BYTES / pace.as_secs_f64();
    let most = ((hosts.len() as f64 * MOST_RELAYS) as usize).max(LEAST_RELAYS);
    let mut room = 0.0;
    for (index, host) in hosts.iter().enumerate().take(most) {
        room += f64::from(host.link_kbps) * 1_000.0 / 8.0 * RELAY_SHARE;
        let listeners = hosts.len() - index - 1;
        let is_enough = LEAST_RELAYS <= index + 1 || listeners == 0;
        if is_enough && listeners as f64 * listener_bytes_per_s <= room {
            return Some(hosts[..=index].iter().map(|host| host.host.clone()).collect());
        }
    }
    None
}

fn hash_of(host: &HostName) -> u64 {
    xxh3_64(host.as_str().as_bytes())
}
