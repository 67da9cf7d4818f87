//! Topology of the gossip between routers: who sends to whom, and who relays.
//!
//! In a small fleet every router sends to every other. In a large one the hosts with the widest
//! links in each zone are relays: they forward the messages of their zone to its hosts and to
//! relays of other zones. Other hosts send to all relays of their zone and subscribe to one.

use std::cmp::Reverse;
use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::gossip_interval;

/// Interval between two messages of a host, per host in the fleet. The total traffic then takes the
/// same share of a link at any fleet size.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(1);
/// Lower bound of the interval between a host's messages where relays forward them. Relays forward
/// batches about as often.
const MIN_RELAYED_INTERVAL: Duration = Duration::from_millis(50);
/// Upper bound of the same interval. With a longer one, the last message of a host could expire
/// before the next arrives.
const MAX_RELAYED_INTERVAL: Duration = Duration::from_millis(600);
/// Typical size of a message: the loads of some ten servers, and now and then a prompt and cache
/// updates.
const MESSAGE_BYTES: f64 = 300.0;
/// Share of a relay's link that forwarded messages may use; answers to callers use the same link.
const RELAY_LINK_SHARE: f64 = 0.25;
/// With two relays, messages still reach a zone after one fails.
const MIN_RELAYS: usize = 2;
/// If more than this fraction of a zone's hosts would have to relay, all hosts send to all instead.
const MAX_RELAY_FRACTION: f64 = 0.25;
/// A relay that forwards nothing for this long is considered failed. Subscribers must get messages through
/// another relay before the last ones expire after 1.2 s. A relay sends something at least each 120 ms.
const RELAY_TIMEOUT: Duration = Duration::from_millis(450);
/// How long a failed relay is avoided. It may come back, and have the widest link again.
const FAILED_RELAY_COOLDOWN: Duration = Duration::from_secs(5);

/// A host of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetHost {
    /// Its name.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Bandwidth of its link, in kbit/s; zero while unknown.
    pub link_kbps: u32,
}

/// How a message reached a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GossipPath {
    /// From its origin.
    Direct,
    /// Forwarded by a relay.
    Relayed,
}

/// A router to which a host sends its messages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipTarget {
    /// Its host.
    pub host: HostName,
    /// The target is asked to forward the messages of others.
    pub subscribes: bool,
}

/// Gossip topology of a fleet. Hosts with the same view of the fleet compute the same topology.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GossipTopology {
    /// Interval between two messages of a host.
    pub interval: Duration,
    /// Relays of each zone, the widest links first; `None` if all hosts send to all.
    pub relays: Option<IndexMap<ZoneName, Vec<HostName>>>,
}

impl GossipTopology {
    /// Computes the topology of a fleet. Fleets of up to `max_full_mesh_hosts` hosts, and those
    /// whose links are too narrow for relays, send from all to all.
    pub fn new(hosts: &[FleetHost], max_full_mesh_hosts: usize) -> GossipTopology {
        let direct = GossipTopology {
            interval: gossip_interval(hosts.len().saturating_sub(1)),
            relays: None,
        };
        if hosts.len() <= max_full_mesh_hosts {
            return direct;
        }
        let zones = hosts_by_zone(hosts);
        let interval = INTERVAL_PER_HOST.saturating_mul(hosts.len() as u32);
        let mut interval = interval.clamp(MIN_RELAYED_INTERVAL, MAX_RELAYED_INTERVAL);
        loop {
            if let Some(relays) = relays_by_zone(&zones, hosts.len(), interval) {
                return GossipTopology { interval, relays: Some(relays) };
            }
            if MAX_RELAYED_INTERVAL <= interval {
                return direct;
            }
            interval = (interval * 2).min(MAX_RELAYED_INTERVAL);
        }
    }

    /// Targets of a host's own messages; `None` if they go to all hosts.
    pub fn targets(
        &self,
        own: &FleetHost,
        choice: &mut RelayChoice,
        now: Instant,
    ) -> Option<Vec<GossipTarget>> {
        let relays = self.relays.as_ref()?;
        let local_relays = relays.get(&own.zone).map_or(&[][..], Vec::as_slice);
        let is_relay = local_relays.contains(&own.host);
        choice.retain_zones(|zone| (*zone != own.zone) == is_relay);
        let subscribed = match is_relay {
            // The other hosts of its zone send to it anyway.
            true => None,
            false => choice.choose_relay(&own.zone, local_relays, &own.host, now),
        };
        let local_targets = local_relays.iter().filter(|relay| **relay != own.host).map(|relay| {
            GossipTarget { host: relay.clone(), subscribes: subscribed.as_ref() == Some(relay) }
        });
        let mut targets: Vec<GossipTarget> = local_targets.collect();
        if is_relay {
            for (zone, remote_relays) in relays.iter().filter(|(zone, _)| **zone != own.zone) {
                let remote_relay = choice.choose_relay(zone, remote_relays, &own.host, now);
                targets.extend(remote_relay.map(|host| GossipTarget { host, subscribes: true }));
            }
        }
        Some(targets)
    }
}

/// Whether a router forwards a message. Messages of its own zone reach it directly, those of other
/// zones through their relays. Forwarding in any other case would create loops.
pub fn should_forward(path: GossipPath, origin: &ZoneName, own: &ZoneName) -> bool {
    match path {
        GossipPath::Direct => origin == own,
        GossipPath::Relayed => origin != own,
    }
}

/// Whether a router applies a message. A relay of another zone sends its own messages along with
/// its subscription, and they also arrive through the relays of this zone; increments would count
/// twice.
pub fn should_apply(path: GossipPath, subscribes: bool, origin: &ZoneName, own: &ZoneName) -> bool {
    path == GossipPath::Relayed || !subscribes || origin == own
}

/// The relay of each zone to which a host is subscribed.
#[derive(Debug, Default)]
pub struct RelayChoice {
    /// By zone, with the time of the subscription.
    chosen: IndexMap<ZoneName, (HostName, Instant)>,
    /// When each relay last forwarded messages.
    last_received: IndexMap<HostName, Instant>,
    /// Relays that timed out or ended their stream, with the time of detection.
    failed_at: IndexMap<HostName, Instant>,
}

impl RelayChoice {
    /// Records that a relay has forwarded messages.
    pub fn record_message(&mut self, relay: &HostName, now: Instant) {
        self.failed_at.swap_remove(relay);
        self.last_received.insert(relay.clone(), now);
    }

    /// Records that a relay's stream has ended: its process has ended, or the subscription was
    /// cancelled.
    pub fn record_end(&mut self, relay: &HostName, now: Instant) {
        if self.chosen.values().any(|(chosen, _)| chosen == relay) {
            self.chosen.retain(|_, (chosen, _)| chosen != relay);
            self.failed_at.insert(relay.clone(), now);
        }
    }

    /// Whether a relay failed recently.
    pub fn failed_recently(&self, host: &HostName, now: Instant) -> bool {
        let failed_at = self.failed_at.get(host);
        failed_at.is_some_and(|at| now.saturating_duration_since(*at) < FAILED_RELAY_COOLDOWN)
    }

    /// Whether a chosen relay has not forwarded anything yet. The subscription travels in a
    /// message, and the first one may be lost while the link opens.
    pub fn is_waiting_for_relay(&self) -> bool {
        let has_forwarded = |(relay, since): &(HostName, Instant)| {
            self.last_received.get(relay).is_some_and(|received| since <= received)
        };
        !self.chosen.values().all(has_forwarded)
    }

    /// Drops the relays of zones that are no longer subscribed to. The end of their streams is not
    /// a failure.
    fn retain_zones(&mut self, is_wanted: impl Fn(&ZoneName) -> bool) {
        self.chosen.retain(|zone, _| is_wanted(zone));
    }

    fn choose_relay(
        &mut self,
        zone: &ZoneName,
        relays: &[HostName],
        own: &HostName,
        now: Instant,
    ) -> Option<HostName> {
        if let Some((relay, since)) = self.chosen.get(zone).cloned() {
            let last_activity = self.last_received.get(&relay).copied().unwrap_or(since).max(since);
            if now.saturating_duration_since(last_activity) < RELAY_TIMEOUT {
                if relays.contains(&relay) {
                    return Some(relay);
                }
            } else {
                self.failed_at.insert(relay, now);
            }
        }
        let responsive = relays.iter().filter(|relay| !self.failed_recently(relay, now));
        let responsive: Vec<&HostName> = responsive.collect();
        let all: Vec<&HostName> = relays.iter().collect();
        let candidates = if responsive.is_empty() { all } else { responsive };
        // Distributes subscribers over the relays by a hash of the name.
        let relay =
            candidates.get(hash_of(own) as usize % candidates.len().max(1)).copied()?.clone();
        self.chosen.insert(zone.clone(), (relay.clone(), now));
        Some(relay)
    }
}

/// Groups hosts by zone, the widest links first and ties ordered by a hash of the name.
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

fn relays_by_zone(
    zones: &IndexMap<ZoneName, Vec<&FleetHost>>,
    fleet_size: usize,
    interval: Duration,
) -> Option<IndexMap<ZoneName, Vec<HostName>>> {
    let relays = |(zone, hosts): (&ZoneName, &Vec<&FleetHost>)| {
        Some((zone.clone(), zone_relays(hosts, fleet_size, interval)?))
    };
    zones.iter().map(relays).collect()
}

/// The smallest number of the widest hosts that can forward all messages to the rest of their zone.
fn zone_relays(
    hosts: &[&FleetHost],
    fleet_size: usize,
    interval: Duration,
) -> Option<Vec<HostName>> {
    let bytes_per_s_per_subscriber = fleet_size as f64 * MESSAGE_BYTES / interval.as_secs_f64();
    let max_relays = ((hosts.len() as f64 * MAX_RELAY_FRACTION) as usize).max(MIN_RELAYS);
    let mut capacity_bytes_per_s = 0.0;
    for (index, host) in hosts.iter().enumerate().take(max_relays) {
        capacity_bytes_per_s += f64::from(host.link_kbps) * 1_000.0 / 8.0 * RELAY_LINK_SHARE;
        let subscribers = hosts.len() - index - 1;
        let is_enough = MIN_RELAYS <= index + 1 || subscribers == 0;
        if is_enough && subscribers as f64 * bytes_per_s_per_subscriber <= capacity_bytes_per_s {
            return Some(hosts[..=index].iter().map(|host| host.host.clone()).collect());
        }
    }
    None
}

fn hash_of(host: &HostName) -> u64 {
    xxh3_64(host.as_str().as_bytes())
}
