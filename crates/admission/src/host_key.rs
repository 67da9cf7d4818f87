//! Compact identifier of a router in reports.

use fulmargate_names::HostName;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a router's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostKey(u32);

impl HostKey {
    /// Hashes the name.
    pub fn of(host: &HostName) -> HostKey {
        HostKey(xxh3_64(host.as_str().as_bytes()) as u32)
    }
}
