//! Times and bounds of suspicion.

use std::time::Duration;

/// Times and bounds of suspicion.
#[derive(Clone, Copy, Debug)]
pub struct SuspectConf {
    /// Time after a second crash in which other routers' suspects of the same crash are waited
    /// for: as long as peers need to hear of each other.
    pub settle: Duration,
    /// Time that each router leaves to those before it at a server that is not its own for suspects.
    pub turn: Duration,
    /// Time after a second crash in which the others of that crash are waited for.
    pub trial_limit: Duration,
    /// A run that ended unclearly still counts as under way at its server for this long.
    pub grace: Duration,
    /// How long another router's word that it runs a suspect holds.
    pub run_lease: Duration,
    /// How long a suspicion lasts without news.
    pub suspect_ttl: Duration,
    /// How long a conviction lasts.
    pub convicted_ttl: Duration,
    /// Most fingerprints kept.
    pub most_records: usize,
}

impl Default for SuspectConf {
    fn default() -> SuspectConf {
        SuspectConf {
            settle: Duration::from_millis(500),
            turn: Duration::from_millis(250),
            trial_limit: Duration::from_secs(10),
            grace: Duration::from_secs(2),
            run_lease: Duration::from_secs(10),
            suspect_ttl: Duration::from_secs(600),
            convicted_ttl: Duration::from_secs(3_600),
            most_records: 4_096,
        }
    }
}
