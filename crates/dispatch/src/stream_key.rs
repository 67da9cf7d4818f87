//! Names an attempt that has begun a stream.

use fulmargate_names::RequestId;
use fulmargate_names::TeamName;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::RouteRule;

/// Hash of a caller's attempt with its team and route, so that the same id of another team names nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(pub u128);

impl StreamKey {
    /// The key of an attempt.
    pub fn of(team: Option<&TeamName>, route: &RouteRule, attempt: &RequestId) -> StreamKey {
        let mut hasher = Xxh3::new();
        let team = team.map_or("", TeamName::as_str);
        for part in [team, &route.host, &route.path_prefix, attempt.as_str()] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        StreamKey(hasher.digest128())
    }

    /// The rank of a host as an owner of the record of this attempt, by rendezvous hashing.
    pub(crate) fn rank(self, host: &str) -> u64 {
        xxh3_64_with_seed(host.as_bytes(), (self.0 ^ (self.0 >> 64)) as u64)
    }
}
