//! Settings of ejection and recovery.

use std::time::Duration;

/// When a server is ejected and how it returns to use.
#[derive(Clone, Copy, Debug)]
pub struct HealthConf {
    /// Consecutive failures that eject a server; a closed port counts as two.
    pub eject_streak: u32,
    /// Failure rate that ejects a server: a moving average over about ten results.
    pub eject_share: f64,
    /// Duration of the first ejection; it doubles with each further one.
    pub first_pause: Duration,
    /// Maximum duration of an ejection.
    pub longest_pause: Duration,
    /// Time in use after which earlier ejections no longer prolong the next one.
    pub forgive_after: Duration,
    /// Minimum share of a zone's servers of one pool that stays in use despite failures.
    pub floor: f64,
    /// Interval between trial requests.
    pub trial_gap: Duration,
    /// Number of successful trial requests after which a server returns to use.
    pub trials: u32,
    /// Duration of the warm-up after a start or return.
    pub slow_start: Duration,
    /// Share of its normal traffic that a server gets at the start of the warm-up.
    pub first_share: f64,
}

impl Default for HealthConf {
    fn default() -> HealthConf {
        HealthConf {
            eject_streak: 4,
            eject_share: 0.5,
            first_pause: Duration::from_secs(1),
            longest_pause: Duration::from_secs(30),
            forgive_after: Duration::from_secs(60),
            floor: 0.5,
            trial_gap: Duration::from_millis(250),
            trials: 2,
            slow_start: Duration::from_secs(5),
            first_share: 0.1,
        }
    }
}
