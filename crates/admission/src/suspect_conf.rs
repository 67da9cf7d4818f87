//! Settings of crash suspicion.

use std::time::Duration;

/// Timeouts and limits of crash suspicion.
#[derive(Clone, Copy, Debug)]
pub struct SuspectConf {
    /// Time after a second crash before a suspect is assessed, so that other routers can report
    /// their suspects of the same crash.
    pub settle_time: Duration,
    /// Delay per rank before a router may run a suspect on a server; see `TrialOrder`.
    pub rank_delay: Duration,
    /// Maximum time to wait for the other suspects of a second crash to run, and for a crash to be
    /// confirmed. Crashes within this time of each other count as concurrent.
    pub max_trial_time: Duration,
    /// Time for which a run that ended without a complete response counts as in flight.
    pub grace_period: Duration,
    /// Validity of another router's report that it runs a suspect.
    pub run_lease: Duration,
    /// Retention of a suspect without updates.
    pub suspect_ttl: Duration,
    /// Retention of a convicted request without updates.
    pub convicted_ttl: Duration,
    /// Maximum number of records.
    pub max_records: usize,
}

impl Default for SuspectConf {
    fn default() -> SuspectConf {
        SuspectConf {
            settle_time: Duration::from_millis(500),
            rank_delay: Duration::from_millis(250),
            max_trial_time: Duration::from_secs(10),
            grace_period: Duration::from_secs(2),
            run_lease: Duration::from_secs(10),
            suspect_ttl: Duration::from_secs(600),
            convicted_ttl: Duration::from_secs(3_600),
            max_records: 4_096,
        }
    }
}
