//! What routers report to each other of the use of quotas.

use fulmargate_names::TeamName;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// A team in reports: names are long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TeamKey([u8; 5]);

/// One router's use since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReport {
    /// Drawn at each start of the sender: its totals begin at zero.
    pub start: u16,
    /// Teams that have used something.
    pub counts: Vec<QuotaCount>,
}

/// What one router has admitted for a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaCount {
    /// The team.
    pub team: TeamKey,
    /// Tokens since the sender's start. Totals only grow: repeated and late reports change nothing.
    pub total: u64,
    /// Those of them since the last report, for receivers that do not know an earlier total.
    pub fresh: u64,
}

impl TeamKey {
    /// The key of a team.
    pub fn of(team: &TeamName) -> TeamKey {
        let [first, second, third, fourth, fifth, ..] =
            xxh3_64(team.as_str().as_bytes()).to_le_bytes();
        TeamKey([first, second, third, fourth, fifth])
    }
}
