//! Whose turn it is to run suspects on a server.

use fulmargate_names::HostName;
use fulmargate_names::ServerName;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The routers' order at each server, by hash: they can't ask each other in time.
#[derive(Debug, Default)]
pub(crate) struct TrialOrder {
    own: u64,
    all: Vec<u64>,
}

impl TrialOrder {
    /// The order among these routers, one of which is this one.
    pub(crate) fn new(own: &HostName, all: &[HostName]) -> TrialOrder {
        let hash = |host: &HostName| xxh3_64(host.as_str().as_bytes());
        TrialOrder { own: hash(own), all: all.iter().map(hash).collect() }
    }

    /// This router's place at a server; 0 is the owner.
    pub(crate) fn rank(&self, server: &ServerName) -> u32 {
        let weight = |host: u64| xxh3_64_with_seed(server.as_str().as_bytes(), host);
        let own = weight(self.own);
        let before = |host: &&u64| **host != self.own && weight(**host) > own;
        self.all.iter().filter(before).count() as u32
    }
}
