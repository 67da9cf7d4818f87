//! Who reads the store, and who asks those.

use std::cmp::Reverse;

use fulmargate_names::HostName;
use xxhash_rust::xxh3::xxh3_64;

use crate::ZonePeer;

/// Readers of an availability zone: one may fail, and its zone can be cut off from the others.
const READERS: usize = 2;

/// Where a router gets the store's records from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// The store.
    Store,
    /// The routers that read it, the one to be asked first in front.
    Routers(Vec<HostName>),
}

/// The source of a host. In a small fleet all read: it costs little and nothing depends on others. In
/// a large one two hosts of each zone do, those with the widest links and of equal ones drawn by their
/// names, and the others ask one of them. For a moment hosts may know different links, as they may know
/// different hosts: who is asked and does not read says so, and the asker reads the store.
pub fn record_source(own: &ZonePeer, zone_peers: &[ZonePeer], few_hosts: usize) -> RecordSource {
    let mut hosts: Vec<&ZonePeer> = zone_peers.iter().chain([own]).collect();
    if hosts.len() <= few_hosts {
        return RecordSource::Store;
    }
    hosts.sort_unstable_by_key(|peer| (Reverse(peer.link_kbps), hash_of(&peer.host)));
    hosts.truncate(READERS);
    if hosts.contains(&own) {
        return RecordSource::Store;
    }
    let turn = hash_of(&own.host) as usize % hosts.len();
    hosts.rotate_left(turn);
    RecordSource::Routers(hosts.into_iter().map(|peer| peer.host.clone()).collect())
}

fn hash_of(host: &HostName) -> u64 {
    xxh3_64(host.as_str().as_bytes())
}
