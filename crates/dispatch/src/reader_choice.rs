//! Choice of the hosts that read the store for their availability zone.

use std::cmp::Reverse;

use fulmargate_names::HostName;
use xxhash_rust::xxh3::xxh3_64;

use crate::ZonePeer;

/// One zone reader may fail. Each zone has its own, since it may be cut off from the others.
const READERS_PER_ZONE: usize = 2;

/// Where a router gets the records of the store from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordSource {
    /// The store itself.
    Store,
    /// Routers that read the store, the preferred one first.
    Routers(Vec<HostName>),
}

/// Chooses the source of a host. In a zone of up to `max_store_reader_hosts` all hosts read the
/// store. In a larger one the two hosts with the widest links are the zone readers and the others
/// ask them. A host that does not consider itself a zone reader declines, and the requester reads
/// the store.
pub fn record_source(
    own: &ZonePeer,
    zone_peers: &[ZonePeer],
    max_store_reader_hosts: usize,
) -> RecordSource {
    let mut hosts: Vec<&ZonePeer> = zone_peers.iter().chain([own]).collect();
    if hosts.len() <= max_store_reader_hosts {
        return RecordSource::Store;
    }
    hosts.sort_unstable_by_key(|peer| (Reverse(peer.link_kbps), hash_of(&peer.host)));
    hosts.truncate(READERS_PER_ZONE);
    if hosts.contains(&own) {
        return RecordSource::Store;
    }
    let offset = hash_of(&own.host) as usize % hosts.len();
    hosts.rotate_left(offset);
    RecordSource::Routers(hosts.into_iter().map(|peer| peer.host.clone()).collect())
}

fn hash_of(host: &HostName) -> u64 {
    xxh3_64(host.as_str().as_bytes())
}
