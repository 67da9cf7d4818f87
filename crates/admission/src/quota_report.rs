//! Reports of tokens taken from shared buckets, exchanged between routers.

use fulmargate_names::TeamName;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Compact identifier of a bucket in reports: a hash of the team's name or of the server's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BucketKey([u8; 5]);

/// One router's usage since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Random identifier of the sender's process start. A new value means that its totals restart
    /// at zero.
    pub start: u16,
    /// Buckets with new usage.
    pub counts: Vec<QuotaCount>,
}

/// Tokens that one router has taken from a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaCount {
    /// The bucket.
    pub key: BucketKey,
    /// Tokens since the sender's start. Totals never decrease, so duplicate and late reports have
    /// no effect.
    pub total: u64,
    /// Tokens since the previous report, for receivers that have no earlier total.
    pub fresh: u64,
}

impl BucketKey {
    /// Hashes the name of a team.
    pub fn of_team(team: &TeamName) -> BucketKey {
        BucketKey::of_hash(xxh3_64(team.as_str().as_bytes()))
    }

    /// Shortens the key of a server incarnation, which is a hash.
    pub fn of_server(server: u64) -> BucketKey {
        BucketKey::of_hash(server)
    }

    fn of_hash(hash: u64) -> BucketKey {
        let [first, second, third, fourth, fifth, ..] = hash.to_le_bytes();
        BucketKey([first, second, third, fourth, fifth])
    }
}
