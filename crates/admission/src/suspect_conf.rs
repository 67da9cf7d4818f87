//! Settings of crash suspicion.

use std::time::Duration;

/// Timeouts and limits of crash suspicion.
#[derive(Clone, Copy, Debug)]
pub struct SuspectConf {
    /// Time after a second crash before a suspect is assessed, so that other routers can report
    /// their suspects of the same crash.
    pub settle: Duration,
    /// Delay per rank before a router may run a suspect on a server; see `TrialOrder`.
    pub turn: Duration,
    /// Maximum time to wait for the other suspects of a second crash to run, and for a crash to be
    /// confirmed. Crashes within this time of each other count as concurrent.
    pub trial_limit: Duration,
    /// Time for which a run that ended without a complete response counts as in flight.
    pub grace: Duration,
    /// Validity of another router's report that it runs a suspect.
    pub run_lease: Duration,
    /// Retention of a suspect without updates.
    pub suspect_ttl: Duration,
    /// Retention of a convicted request without updates.
    pub convicted_ttl: Duration,
    /// Maximum number of records.
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
