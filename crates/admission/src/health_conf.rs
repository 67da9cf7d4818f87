//! Settings of ejection and recovery.

use std::time::Duration;

/// When a server is ejected and how it returns to use.
#[derive(Clone, Copy, Debug)]
pub struct HealthConf {
    /// Consecutive failures that eject a server; a closed port counts as two.
    pub max_consecutive_failures: u32,
    /// Failure rate that ejects a server: a moving average over about ten results.
    pub max_failure_rate: f64,
    /// Duration of the first ejection; it doubles with each further one.
    pub initial_ejection: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection: Duration,
    /// Time in use after which earlier ejections no longer prolong the next one.
    pub ejection_reset_after: Duration,
    /// Minimum share of a zone's servers of one pool that stays in use despite failures.
    pub min_in_use_share: f64,
    /// Interval between trial requests.
    pub trial_interval: Duration,
    /// Number of successful trial requests after which a server returns to use.
    pub required_trials: u32,
    /// Duration of the warm-up after a start or return.
    pub slow_start: Duration,
    /// Share of its normal traffic that a server gets at the start of the warm-up.
    pub initial_share: f64,
}

impl Default for HealthConf {
    fn default() -> HealthConf {
        HealthConf {
            max_consecutive_failures: 4,
            max_failure_rate: 0.5,
            initial_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            ejection_reset_after: Duration::from_secs(60),
            min_in_use_share: 0.5,
            trial_interval: Duration::from_millis(250),
            required_trials: 2,
            slow_start: Duration::from_secs(5),
            initial_share: 0.1,
        }
    }
}
