//! Chooses the hosts that keep a record of where a stream began.

use std::cmp::Reverse;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use indexmap::IndexSet;
use xxhash_rust::xxh3::xxh3_64;

use crate::StreamKey;

/// Hosts that keep the record of a stream.
pub const BINDING_OWNERS: usize = 3;
/// Hosts that are asked for it. More than keep it, since hosts come and go meanwhile; in a small fleet all are.
pub const ASKED_OWNERS: usize = 8;
/// Hosts that write records to the store in a large fleet.
pub const STORE_WRITERS: usize = 10;

/// A host that may own records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerCandidate {
    /// The host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// The owners of a record, at most `count`: the first of each zone by rendezvous hash, then the others.
pub fn binding_owners(
    key: StreamKey,
    candidates: &[OwnerCandidate],
    count: usize,
) -> Vec<HostName> {
    let mut ranked: Vec<&OwnerCandidate> = candidates.iter().collect();
    ranked.sort_by_cached_key(|candidate| Reverse(key.rank(candidate.host.as_str())));
    let mut zones = IndexSet::new();
    let (firsts, others): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|candidate| zones.insert(&candidate.zone));
    let owners = firsts.into_iter().chain(others).take(count);
    owners.map(|candidate| candidate.host.clone()).collect()
}

/// The host that writes a record to the store: the one that has begun the stream, or in a large fleet one of a few.
pub fn store_writer<'a>(
    key: StreamKey,
    own: &'a HostName,
    candidates: &'a [OwnerCandidate],
) -> &'a HostName {
    if candidates.len() <= STORE_WRITERS {
        return own;
    }
    let mut writers: Vec<&HostName> = candidates.iter().map(|candidate| &candidate.host).collect();
    writers.sort_by_cached_key(|host| Reverse(xxh3_64(host.as_str().as_bytes())));
    writers.truncate(STORE_WRITERS);
    writers.into_iter().max_by_key(|host| key.rank(host.as_str())).unwrap_or(own)
}
