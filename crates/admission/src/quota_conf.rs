//! Numbers that shape the sharing of quotas.

use std::time::Duration;

/// How routers share the quotas of teams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaConf {
    /// The span over which use is judged.
    pub window: Duration,
    /// The share by which use may exceed a quota within a window.
    pub overage: f64,
    /// Tokens by which use may exceed a quota within a window, besides.
    pub slack: f64,
    /// A router that was not seen for so long is out of reach. It may still admit requests.
    pub reach_timeout: Duration,
    /// A router that was out of reach for so long, while others of its zone are in reach, has ended.
    pub end_timeout: Duration,
}

impl QuotaConf {
    /// Tokens in a window that the bound allows beyond rate and burst.
    pub(crate) fn margin(&self, rate_per_s: f64, burst: f64) -> f64 {
        self.overage * (rate_per_s * self.window.as_secs_f64() + burst) + self.slack
    }
}
