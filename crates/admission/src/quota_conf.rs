//! Configuration of quota sharing.

use std::time::Duration;

/// How routers share the quotas of teams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaConf {
    /// Sliding window over which usage is limited.
    pub window: Duration,
    /// Fraction by which usage in a window may exceed the quota.
    pub overage: f64,
    /// Tokens by which usage in a window may exceed the quota, in addition to `overage`.
    pub slack: f64,
    /// Time until other routers know of tokens taken here. A bucket holds in addition what its rate grants
    /// meanwhile; zero for buckets that are much larger anyway.
    pub report_delay: Duration,
    /// A router that has sent no report for this time is unreachable. It may still admit requests.
    pub reach_timeout: Duration,
    /// A router that has been unreachable for this time, while others in its zone are reachable,
    /// has stopped.
    pub end_timeout: Duration,
}

impl QuotaConf {
    /// Tokens by which usage in a window may exceed the rate and burst.
    pub(crate) fn margin(&self, rate_per_s: f64, burst: f64) -> f64 {
        self.overage * (rate_per_s * self.window.as_secs_f64() + burst) + self.slack
    }
}
