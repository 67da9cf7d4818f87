//! Order in which other routers are asked.

use fulmargate_names::HostName;
use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::FleetHost;

/// Hosts to be asked in turn, in an order that depends on the seed, so that not all hosts ask the same ones first.
#[derive(Debug)]
pub struct PeerRotation {
    seed: u64,
    asked: IndexSet<HostName>,
}

impl PeerRotation {
    /// Starts with all hosts.
    pub fn new(seed: u64) -> PeerRotation {
        PeerRotation { seed, asked: IndexSet::new() }
    }

    /// Up to `count` hosts, in different zones if there are. Each is returned again only after all others.
    pub fn next(&mut self, hosts: &[FleetHost], count: usize) -> Vec<HostName> {
        if hosts.iter().all(|host| self.asked.contains(&host.host)) {
            self.asked.clear();
        }
        let is_left = |host: &&FleetHost| !self.asked.contains(&host.host);
        let mut left: Vec<&FleetHost> = hosts.iter().filter(is_left).collect();
        left.sort_by_key(|host| xxh3_64_with_seed(host.host.as_str().as_bytes(), self.seed));
        let mut zones = IndexSet::new();
        let (first, others): (Vec<&FleetHost>, Vec<&FleetHost>) =
            left.into_iter().partition(|host| zones.insert(host.zone.clone()));
        let chosen = first.into_iter().chain(others).take(count);
        let chosen: Vec<HostName> = chosen.map(|host| host.host.clone()).collect();
        self.asked.extend(chosen.iter().cloned());
        chosen
    }
}
