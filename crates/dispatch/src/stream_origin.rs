//! What a stream stays bound to once its first event has left for its caller.

use fulmargate_names::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ServerEntry;
use crate::service_key;

/// Seeds keep versions apart from incarnations without a known version.
const VERSION_SEED: u64 = 1;
const INCARNATION_SEED: u64 = 2;

/// Service and software version of the servers that may go on with a stream, as hashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// The service.
    pub service: u64,
    /// The software version, or the incarnation of a server whose version is not known.
    pub version: u64,
}

impl StreamOrigin {
    /// An origin that no server has.
    pub const NOWHERE: StreamOrigin = StreamOrigin { service: 0, version: 0 };

    /// The origin of streams that a server begins. One without a known version equals no other server.
    pub fn of(entry: &ServerEntry) -> StreamOrigin {
        let version = match &entry.version {
            Some(version) => xxh3_64_with_seed(version.as_str().as_bytes(), VERSION_SEED),
            None => xxh3_64_with_seed(&entry.key().0.to_le_bytes(), INCARNATION_SEED),
        };
        StreamOrigin { service: service_key(entry.service.as_str()), version }
    }

    /// Whether its servers belong to this service.
    pub fn is_of(&self, service: &ServiceName) -> bool {
        self.service == service_key(service.as_str())
    }
}
