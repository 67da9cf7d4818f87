//! Which routers that may admit for the same teams are in reach.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use tokio::time::Instant;

use crate::QuotaConf;

/// The other routers, each with a number that it keeps.
#[derive(Debug, Default)]
pub(crate) struct QuotaReach {
    peers: IndexMap<HostName, PeerReach>,
    /// All routers have been named.
    is_complete: bool,
    /// Numbers of the routers out of reach, renewed now and then.
    lost: Vec<usize>,
    renewed: Option<Instant>,
}

#[derive(Debug)]
struct PeerReach {
    zone: Option<ZoneName>,
    start: u16,
    /// When it was named.
    known: Instant,
    last_seen: Option<Instant>,
}

/// What a report says of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerContact {
    pub(crate) number: usize,
    /// It has started again since its last report, or is seen for the first time.
    pub(crate) is_new_start: bool,
}

/// Routers out of reach are looked for at this pace.
const RENEW_PAUSE: Duration = Duration::from_millis(20);

impl QuotaReach {
    /// Names all other routers. Those that are no longer named are kept: they may be cut off.
    pub(crate) fn set_peers(
        &mut self,
        peers: impl Iterator<Item = (HostName, ZoneName)>,
        now: Instant,
    ) {
        self.is_complete = true;
        for (host, zone) in peers {
            self.peer(&host, now).zone = Some(zone);
        }
        self.renewed = None;
    }

    /// Whether all routers have been named.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// A report of this router has come.
    pub(crate) fn note_seen(&mut self, host: &HostName, start: u16, now: Instant) -> PeerContact {
        let peer = self.peer(host, now);
        let is_new_start = peer.last_seen.is_none() || peer.start != start;
        peer.start = start;
        peer.last_seen = peer.last_seen.max(Some(now));
        let number = self.peers.get_index_of(host).unwrap_or_default();
        PeerContact { number, is_new_start }
    }

    /// When a router was last seen; none if it never was.
    pub(crate) fn last_seen(&self, number: usize) -> Option<Instant> {
        self.peers.get_index(number)?.1.last_seen
    }

    /// Age of the latest report of any router.
    pub(crate) fn least_age(&self, now: Instant) -> Option<Duration> {
        let seen = self.peers.values().filter_map(|peer| peer.last_seen).max()?;
        Some(now.saturating_duration_since(seen))
    }

    /// Routers that may admit, this one included.
    pub(crate) fn count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Whether this router was ever seen.
    pub(crate) fn was_seen(&self, number: usize) -> bool {
        self.peers.get_index(number).is_some_and(|(_, peer)| peer.last_seen.is_some())
    }

    /// Routers that may admit and are out of reach.
    pub(crate) fn lost(&mut self, conf: &QuotaConf, now: Instant) -> &[usize] {
        if self.renewed.is_none_or(|at| RENEW_PAUSE <= now.saturating_duration_since(at)) {
            self.renewed = Some(now);
            self.lost = self.find_lost(conf, now);
        }
        &self.lost
    }

    fn find_lost(&self, conf: &QuotaConf, now: Instant) -> Vec<usize> {
        let silence = |peer: &PeerReach| {
            now.saturating_duration_since(peer.last_seen.unwrap_or(peer.known).max(peer.known))
        };
        let is_there = |peer: &PeerReach| {
            peer.last_seen.is_some_and(|at| now.saturating_duration_since(at) < conf.reach_timeout)
        };
        let has_ended = |peer: &PeerReach| {
            let zone_speaks =
                || self.peers.values().any(|other| other.zone == peer.zone && is_there(other));
            conf.end_timeout <= silence(peer) && zone_speaks()
        };
        let is_lost = |peer: &PeerReach| !is_there(peer) && !has_ended(peer);
        let lost = self.peers.values().enumerate().filter(|(_, peer)| is_lost(peer));
        lost.map(|(number, _)| number).collect()
    }

    fn peer(&mut self, host: &HostName, now: Instant) -> &mut PeerReach {
        let unseen = || PeerReach { zone: None, start: 0, known: now, last_seen: None };
        self.peers.entry(host.clone()).or_insert_with(unseen)
    }
}
