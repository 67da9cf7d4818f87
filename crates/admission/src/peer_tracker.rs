//! Reachability of the other routers that share quotas.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::QuotaConf;

/// Tracks the other routers, each of which has a permanent index, and when they last reported.
#[derive(Debug, Default)]
pub(crate) struct PeerTracker {
    peers: IndexMap<HostName, Peer>,
    /// Whether the list of routers has been received.
    is_initialized: bool,
    /// Indexes of the unreachable routers, recomputed at most once per `REFRESH_INTERVAL`.
    unreachable: Vec<usize>,
    refreshed: Option<Instant>,
}

#[derive(Debug)]
struct Peer {
    zone: Option<ZoneName>,
    start_id: u16,
    /// When the router was added.
    added: Instant,
    last_report: Option<Instant>,
}

/// The sender of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReportSender {
    pub(crate) index: usize,
    /// Whether the router has restarted since its last report, or reports for the first time.
    pub(crate) has_restarted: bool,
}

/// Minimum time between two computations of the unreachable routers.
const REFRESH_INTERVAL: Duration = Duration::from_millis(20);

impl PeerTracker {
    /// Adds the other routers. Routers missing from the list are kept, as they may only be
    /// partitioned.
    pub(crate) fn add_peers(
        &mut self,
        peers: impl Iterator<Item = (HostName, ZoneName)>,
        now: Instant,
    ) {
        self.is_initialized = true;
        for (host, zone) in peers {
            self.peer(&host, now).zone = Some(zone);
        }
        self.refreshed = None;
    }

    /// Whether the list of routers has been received.
    pub(crate) fn is_initialized(&self) -> bool {
        self.is_initialized
    }

    /// Records a report from `host`.
    pub(crate) fn record_report(
        &mut self,
        host: &HostName,
        start_id: u16,
        now: Instant,
    ) -> ReportSender {
        let peer = self.peer(host, now);
        let has_restarted = peer.last_report.is_none() || peer.start_id != start_id;
        peer.start_id = start_id;
        peer.last_report = peer.last_report.max(Some(now));
        let index = self.peers.get_index_of(host).unwrap_or_default();
        ReportSender { index, has_restarted }
    }

    /// When a router last reported; `None` if it never has.
    pub(crate) fn last_report(&self, index: usize) -> Option<Instant> {
        self.peers.get_index(index)?.1.last_report
    }

    /// Age of the newest report from any other router.
    pub(crate) fn newest_report_age(&self, now: Instant) -> Option<Duration> {
        let last_report = self.peers.values().filter_map(|peer| peer.last_report).max()?;
        Some(now.saturating_duration_since(last_report))
    }

    /// Number of all routers ever added, including this one.
    pub(crate) fn router_count(&self) -> usize {
        self.peers.len() + 1
    }

    pub(crate) fn has_reported(&self, index: usize) -> bool {
        self.peers.get_index(index).is_some_and(|(_, peer)| peer.last_report.is_some())
    }

    /// Routers that have reported lately, in the order of their names.
    pub(crate) fn hosts_in_touch(&self, conf: &QuotaConf, now: Instant) -> Vec<HostName> {
        let is_in_touch = |peer: &Peer| {
            peer.last_report
                .is_some_and(|at| now.saturating_duration_since(at) < conf.reach_timeout)
        };
        let in_touch = self.peers.iter().filter(|(_, peer)| is_in_touch(peer));
        let mut hosts: Vec<HostName> = in_touch.map(|(host, _)| host.clone()).collect();
        hosts.sort_unstable_by(|a, b| a.as_str().cmp(b.as_str()));
        hosts
    }

    /// Indexes of routers that are unreachable and may still admit requests.
    pub(crate) fn unreachable(&mut self, conf: &QuotaConf, now: Instant) -> &[usize] {
        if self.refreshed.is_none_or(|at| REFRESH_INTERVAL <= now.saturating_duration_since(at)) {
            self.refreshed = Some(now);
            self.unreachable = self.find_unreachable(conf, now);
        }
        &self.unreachable
    }

    fn find_unreachable(&self, conf: &QuotaConf, now: Instant) -> Vec<usize> {
        let time_since_report = |peer: &Peer| {
            now.saturating_duration_since(peer.last_report.unwrap_or(peer.added).max(peer.added))
        };
        let is_reachable = |peer: &Peer| {
            peer.last_report
                .is_some_and(|at| now.saturating_duration_since(at) < conf.reach_timeout)
        };
        let has_stopped = |peer: &Peer| {
            let is_zone_reachable =
                || self.peers.values().any(|other| other.zone == peer.zone && is_reachable(other));
            conf.end_timeout <= time_since_report(peer) && is_zone_reachable()
        };
        let is_unreachable = |peer: &Peer| !is_reachable(peer) && !has_stopped(peer);
        let unreachable = self.peers.values().enumerate().filter(|(_, peer)| is_unreachable(peer));
        unreachable.map(|(index, _)| index).collect()
    }

    fn peer(&mut self, host: &HostName, now: Instant) -> &mut Peer {
        let new_peer = || Peer { zone: None, start_id: 0, added: now, last_report: None };
        self.peers.entry(host.clone()).or_insert_with(new_peer)
    }
}
