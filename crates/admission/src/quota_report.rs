//! Quota usage reports exchanged between routers.

use fulmargate_names::TeamName;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Compact identifier of a team in reports: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TeamKey([u8; 5]);

/// One router's quota usage since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Random identifier of the sender's process start. A new value means that its totals restart
    /// at zero.
    pub start: u16,
    /// Teams with new usage.
    pub counts: Vec<QuotaCount>,
}

/// Tokens that one router has admitted for a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaCount {
    /// The team.
    pub team: TeamKey,
    /// Tokens since the sender's start. Totals never decrease, so duplicate and late reports have
    /// no effect.
    pub total: u64,
    /// Tokens since the previous report, for receivers that have no earlier total.
    pub fresh: u64,
}

impl TeamKey {
    /// Hashes the name of a team.
    pub fn of(team: &TeamName) -> TeamKey {
        let [first, second, third, fourth, fifth, ..] =
            xxh3_64(team.as_str().as_bytes()).to_le_bytes();
        TeamKey([first, second, third, fourth, fifth])
    }
}
