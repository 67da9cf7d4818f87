//! Order in which routers may run suspects on a server.

use fulmargate_names::HostName;
use fulmargate_names::ServerName;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rendezvous hashing of routers for each server, which needs no communication between them.
#[derive(Debug, Default)]
pub(crate) struct TrialOrder {
    own: u64,
    all: Vec<u64>,
}

impl TrialOrder {
    /// Creates the order among all routers, including this one.
    pub(crate) fn new(own: &HostName, all: &[HostName]) -> TrialOrder {
        let hash = |host: &HostName| xxh3_64(host.as_str().as_bytes());
        TrialOrder { own: hash(own), all: all.iter().map(hash).collect() }
    }

    /// Rank of this router at a server; 0 is the owner.
    pub(crate) fn rank(&self, server: &ServerName) -> u32 {
        let weight = |host: u64| xxh3_64_with_seed(server.as_str().as_bytes(), host);
        let own = weight(self.own);
        let precedes = |host: &&u64| **host != self.own && weight(**host) > own;
        self.all.iter().filter(precedes).count() as u32
    }
}
