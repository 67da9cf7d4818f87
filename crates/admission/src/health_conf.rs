//! Numbers that shape ejection and return.

use std::time::Duration;

/// When a server is taken out of use and how it comes back.
#[derive(Clone, Copy, Debug)]
pub struct HealthConf {
    /// Failures in a row that eject a server; a closed port counts as two.
    pub eject_streak: u32,
    /// Share of failures among the last ten results or so that ejects a server.
    pub eject_share: f64,
    /// How long a first ejection lasts; each further one twice as long.
    pub first_pause: Duration,
    /// The longest ejection.
    pub longest_pause: Duration,
    /// Time without ejection after which earlier ones are forgotten.
    pub forgive_after: Duration,
    /// Share of a zone's servers of one pool that stay in use however they fail.
    pub floor: f64,
    /// Time from one trial request to the next.
    pub trial_gap: Duration,
    /// Trial requests that must succeed in a row.
    pub trials: u32,
    /// Time from a start or return to full use.
    pub slow_start: Duration,
    /// Share of full use that a server begins with.
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
