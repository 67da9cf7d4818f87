//! Loads reported by other routers, and how often routers report them.
//!
//! Routers that choose by outdated reports send their requests to the same engines.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::Backlog;
use crate::FleetHost;
use crate::GossipMessage;
use crate::HelperCandidate;
use crate::LinkRank;
use crate::OwnerCandidate;
use crate::PeerLoad;
use crate::ReachReport;
use crate::ServerKey;
use crate::ZonePeer;
use crate::experiment::Mechanism;
use crate::experiment::is_enabled;

/// How long a report counts: twice the longest interval between two. A router that stopped
/// reporting may have ended, and its requests with it.
const MESSAGE_TTL: Duration = Duration::from_millis(1_200);

/// Base interval between the gossip messages of a router, to which the term for the fleet size is
/// added. Until a long prompt is reported to the others, they may queue short ones behind it.
const BASE_INTERVAL: Duration = Duration::from_millis(25);
/// Multiplied by the square of the number of peers, as the number of messages in the fleet grows
/// with it.
const INTERVAL_PER_SQUARED_PEERS: Duration = Duration::from_micros(71);
/// Base interval without the fast gossip mechanism.
const SLOW_BASE_INTERVAL: Duration = Duration::from_millis(150);
/// Upper bound of the interval. With a longer one, reports could expire before the next arrives,
/// and each router would read the store and the engines' events itself.
const MAX_GOSSIP_INTERVAL: Duration = Duration::from_millis(600);

/// Minimum interval before a message that announces an engine about to load weights. Many engines
/// may be ordered to load together, and a message for each would overload small hosts.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(30);
/// Added for each other router.
const URGENT_INTERVAL_PER_PEER: Duration = Duration::from_millis(1);
/// Share of a link that urgent messages may use; the rest is for answers to callers and regular
/// messages. Delayed announcements cause more requests to engines that reject them.
const URGENT_LINK_SHARE: f64 = 0.5;

/// Interval between the gossip messages of a router with this many peers.
pub fn gossip_interval(peers: usize) -> Duration {
    let squared_peers = (peers as u32).saturating_mul(peers as u32);
    let min_interval =
        if is_enabled(Mechanism::FastGossip) { BASE_INTERVAL } else { SLOW_BASE_INTERVAL };
    (min_interval + INTERVAL_PER_SQUARED_PEERS.saturating_mul(squared_peers))
        .min(MAX_GOSSIP_INTERVAL)
}

/// Interval after which an urgent message may follow the last message, whose size was
/// `message_bytes`.
///
/// The interval is proportional to the message size, up to the regular interval, so that
/// announcements of a weights rollout don't saturate a narrow link.
pub fn urgent_interval(peers: usize, message_bytes: usize, link_bytes_per_s: f64) -> Duration {
    let min_interval = MIN_URGENT_INTERVAL + URGENT_INTERVAL_PER_PEER.saturating_mul(peers as u32);
    let bytes = message_bytes as f64 * peers as f64;
    let link_interval_s = bytes / (link_bytes_per_s * URGENT_LINK_SHARE);
    let link_interval =
        Duration::from_secs_f64(link_interval_s.min(MAX_GOSSIP_INTERVAL.as_secs_f64()));
    min_interval.max(link_interval).min(gossip_interval(peers))
}

/// The newest report of each router, and the totals by server.
///
/// Totals are maintained incrementally, since each choice of an engine needs them for all engines.
#[derive(Debug, Default)]
pub struct PeerLoadTable {
    reports: IndexMap<HostName, PeerReport>,
    totals: IndexMap<ServerKey, PeerTotal>,
}

#[derive(Debug)]
struct PeerReport {
    received_at: Instant,
    zone: Option<ZoneName>,
    link_kbps: Option<u32>,
    loads: Vec<PeerLoad>,
    reach: Option<ReachReport>,
    /// Since when each service that the router does not reach has been reported.
    unreached_since: IndexMap<u64, Instant>,
    binds_streams: bool,
}

/// Load of all other routers at one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerTotal {
    /// Requests in progress.
    pub open: u32,
    /// Chat requests among them.
    pub chats: u32,
    /// Prompt tokens of requests that wait for their first event.
    pub backlog: Backlog,
}

impl PeerLoadTable {
    /// Records a message from a router.
    pub fn record_message(&mut self, host: &HostName, message: &GossipMessage, now: Instant) {
        self.remove_expired(now);
        let known = self.reports.get(host).map(|report| &report.unreached_since);
        let since = |service: &u64| {
            (*service, known.and_then(|known| known.get(service)).copied().unwrap_or(now))
        };
        let unreached = message.reach.iter().flat_map(|reach| &reach.unreached);
        let report = PeerReport {
            unreached_since: unreached.map(since).collect(),
            received_at: now,
            zone: message.zone.clone(),
            link_kbps: message.link_kbps,
            loads: message.loads.clone(),
            reach: message.reach.clone(),
            binds_streams: message.mixed_services.is_some(),
        };
        for load in &message.loads {
            self.totals.entry(load.server).or_default().add(load);
        }
        if let Some(previous) = self.reports.insert(host.clone(), report) {
            self.subtract(&previous);
        }
    }

    /// Drops the reports of routers that have stopped reporting. Must be called regularly, since
    /// the totals include a report until it is dropped.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_expired =
            |report: &PeerReport| MESSAGE_TTL <= now.saturating_duration_since(report.received_at);
        while let Some(index) = self.reports.values().position(is_expired) {
            if let Some((_, report)) = self.reports.swap_remove_index(index) {
                self.subtract(&report);
            }
        }
    }

    /// Hosts of routers with a current report.
    pub fn hosts(&self, now: Instant) -> impl Iterator<Item = &HostName> {
        let is_fresh = move |report: &PeerReport| {
            now.saturating_duration_since(report.received_at) < MESSAGE_TTL
        };
        self.reports.iter().filter(move |(_, report)| is_fresh(report)).map(|(host, _)| host)
    }

    /// Routers of one availability zone with a current report.
    pub fn zone_peers(&self, zone: &ZoneName, now: Instant) -> impl Iterator<Item = ZonePeer> {
        let is_fresh_in_zone = move |report: &PeerReport| {
            report.zone.as_ref() == Some(zone)
                && now.saturating_duration_since(report.received_at) < MESSAGE_TTL
        };
        let peer = |(host, report): (&HostName, &PeerReport)| ZonePeer {
            host: host.clone(),
            link_kbps: report.link_kbps.unwrap_or_default(),
        };
        self.reports.iter().filter(move |(_, report)| is_fresh_in_zone(report)).map(peer)
    }

    /// Routers with a current report whose zone is known.
    pub fn fleet_hosts(&self, now: Instant) -> impl Iterator<Item = FleetHost> {
        let is_fresh = move |report: &PeerReport| {
            now.saturating_duration_since(report.received_at) < MESSAGE_TTL
        };
        let fresh = self.reports.iter().filter(move |(_, report)| is_fresh(report));
        fresh.filter_map(|(host, report)| {
            let (host, zone) = (host.clone(), report.zone.clone()?);
            Some(FleetHost { host, zone, link_kbps: report.link_kbps.unwrap_or_default() })
        })
    }

    /// Routers with a current report that keep records of streams.
    pub(crate) fn binding_hosts(&self, now: Instant) -> impl Iterator<Item = OwnerCandidate> {
        let is_fresh = move |report: &PeerReport| {
            now.saturating_duration_since(report.received_at) < MESSAGE_TTL
        };
        let fresh = self.reports.iter().filter(move |(_, report)| is_fresh(report));
        fresh.filter(|(_, report)| report.binds_streams).filter_map(|(host, report)| {
            Some(OwnerCandidate { host: host.clone(), zone: report.zone.clone()? })
        })
    }

    /// Hosts that may send a request to a service with this key, but for the excluded ones.
    pub(crate) fn helper_candidates(
        &self,
        service: u64,
        excluded: &[HostName],
        now: Instant,
    ) -> Vec<HelperCandidate> {
        let candidate = |(host, report): (&HostName, &PeerReport)| {
            let age = now.saturating_duration_since(report.received_at);
            let reach = report.reach.as_ref().filter(|_| age < MESSAGE_TTL)?;
            Some(HelperCandidate {
                host: host.clone(),
                zone: report.zone.clone(),
                reaches_service: !reach.unreached.contains(&service),
                is_available: reach.takes_requests && !excluded.contains(host),
                open: report.loads.iter().map(|load| load.open).sum(),
                link_kbps: report.link_kbps.unwrap_or_default(),
                age,
            })
        };
        self.reports.iter().filter_map(candidate).collect()
    }

    /// Hosts with a current report that does not list the service with this key as unreached.
    pub(crate) fn hosts_reaching(
        &self,
        service: u64,
        now: Instant,
    ) -> impl Iterator<Item = &HostName> {
        let reaches = move |report: &PeerReport| {
            let is_fresh = now.saturating_duration_since(report.received_at) < MESSAGE_TTL;
            is_fresh
                && !report.reach.as_ref().is_some_and(|reach| reach.unreached.contains(&service))
        };
        self.reports.iter().filter(move |(_, report)| reaches(report)).map(|(host, _)| host)
    }

    /// Number of hosts with a current report that have listed the service with this key as unreached since before then.
    pub(crate) fn hosts_unreached_before(
        &self,
        service: u64,
        before: Instant,
        now: Instant,
    ) -> usize {
        let is_unreached = |report: &&PeerReport| {
            let is_fresh = now.saturating_duration_since(report.received_at) < MESSAGE_TTL;
            is_fresh && report.unreached_since.get(&service).is_some_and(|since| *since < before)
        };
        self.reports.values().filter(is_unreached).count()
    }

    /// Rank of a link among those of all routers with a current report.
    pub fn link_rank(&self, own_kbps: u32, now: Instant) -> LinkRank {
        let fresh = self
            .reports
            .values()
            .filter(|report| now.saturating_duration_since(report.received_at) < MESSAGE_TTL);
        let others: Vec<u32> = fresh.filter_map(|report| report.link_kbps).collect();
        if others.iter().any(|kbps| own_kbps < *kbps) {
            return LinkRank::Narrower;
        }
        let equal = others.iter().filter(|kbps| **kbps == own_kbps).count();
        if equal == others.len() { LinkRank::Equal } else { LinkRank::Widest { hosts: equal + 1 } }
    }

    /// Total load of all other routers at a server.
    pub fn total(&self, server: ServerKey) -> PeerTotal {
        self.totals.get(&server).copied().unwrap_or_default()
    }

    fn subtract(&mut self, report: &PeerReport) {
        for load in &report.loads {
            let Some(sum) = self.totals.get_mut(&load.server) else { continue };
            sum.subtract(load);
            if *sum == PeerTotal::default() {
                self.totals.swap_remove(&load.server);
            }
        }
    }
}

impl PeerTotal {
    fn add(&mut self, load: &PeerLoad) {
        self.open = self.open.saturating_add(load.open);
        self.chats = self.chats.saturating_add(load.chats);
        self.backlog.add_all(&load.backlog);
    }

    fn subtract(&mut self, load: &PeerLoad) {
        self.open = self.open.saturating_sub(load.open);
        self.chats = self.chats.saturating_sub(load.chats);
        self.backlog.take_all(&load.backlog);
    }
}
