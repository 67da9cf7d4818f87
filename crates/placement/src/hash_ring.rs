//! Consistent hashing of keys to ordered lists of servers.

use fulmargate_names::ServerName;
use xxhash_rust::xxh3::xxh3_64;

use crate::mix::mix;
use crate::server_list::MAX_LIST_LEN;
use crate::server_list::ServerList;

/// Minimum number of points per server.
const MIN_POINTS_PER_SERVER: usize = 64;
/// Target number of points in small rings.
const TARGET_POINTS: usize = 4_096;
/// Probes per requested server before the list is filled in ring order.
const PROBES_PER_SERVER: usize = 8;

/// A consistent hash ring with several points per server. A key's servers are found by multi-probe
/// hashing: each probe hashes the key to a position and takes the next server on the ring. Removing
/// a server affects only the keys that it held, and the cost of a lookup does not depend on the
/// number of servers.
#[derive(Debug)]
pub(crate) struct HashRing {
    /// Position and server index, sorted by position.
    points: Vec<(u64, u32)>,
    /// Index of the first point of each bucket. Buckets are equal parts of the ring; their number
    /// is a power of two.
    bucket_starts: Vec<u32>,
    shift: u32,
    servers: usize,
}

impl HashRing {
    /// Builds the ring from server indexes and names.
    pub(crate) fn new(servers: &[(u32, &ServerName)]) -> HashRing {
        let points_per_server = MIN_POINTS_PER_SERVER.max(TARGET_POINTS / servers.len().max(1));
        let mut points = Vec::with_capacity(servers.len() * points_per_server);
        for (index, name) in servers {
            let hash = xxh3_64(name.as_str().as_bytes());
            points.extend((0..points_per_server as u64).map(|point| (mix(hash, point), *index)));
        }
        points.sort_unstable();
        let bits = points.len().max(2).ilog2();
        let shift = u64::BITS - bits;
        let mut bucket_starts = vec![0; (1 << bits) + 1];
        for (position, _) in &points {
            bucket_starts[(position >> shift) as usize + 1] += 1;
        }
        for bucket in 1..bucket_starts.len() {
            bucket_starts[bucket] += bucket_starts[bucket - 1];
        }
        HashRing { points, bucket_starts, shift, servers: servers.len() }
    }

    /// The first `limit` servers for the key, in ring order.
    pub(crate) fn ring_order(&self, key: u64, limit: usize) -> ServerList {
        let mut list = ServerList::new();
        let limit = limit.min(self.servers).min(MAX_LIST_LEN);
        for probe in 0..(limit * PROBES_PER_SERVER) as u64 {
            if limit <= list.len() {
                return list;
            }
            list.push(self.points[self.successor(mix(key, probe))].1);
        }
        let mut position = self.successor(key);
        while list.len() < limit {
            list.push(self.points[position].1);
            position = (position + 1) % self.points.len();
        }
        list
    }

    /// The first server for the key.
    pub(crate) fn first(&self, key: u64) -> Option<u32> {
        if self.points.is_empty() {
            return None;
        }
        Some(self.points[self.successor(mix(key, 0))].1)
    }

    fn successor(&self, position: u64) -> usize {
        let mut index = self.bucket_starts[(position >> self.shift) as usize] as usize;
        while index < self.points.len() && self.points[index].0 < position {
            index += 1;
        }
        if index == self.points.len() { 0 } else { index }
    }
}
