//! Configuration of team limit sharing.

use std::time::Duration;

/// How routers share the limits of teams.
#[derive(Clone, Copy, Debug)]
pub struct LimiterConf {
    /// Maximum burst, as the time in which it accrues at the limit's rate.
    pub burst: Duration,
    /// A router whose last report is older than this is unreachable.
    pub stale_after: Duration,
    /// Maximum time between two reports of a router plus their delivery.
    pub delivery: Duration,
    /// Number of routers up to which `stale_after` and `delivery` apply. With more routers both
    /// grow in proportion, because each router reports less often.
    pub base_router_count: usize,
    /// Maximum number of teams in a report.
    pub report_teams: usize,
    /// Time without requests after which a team's state is removed.
    pub team_ttl: Duration,
    /// Maximum number of teams with state.
    pub max_teams: usize,
    /// Fraction of each limit that the routers exchanging reports share, for example those of one
    /// zone.
    pub limit_share: f64,
}

impl LimiterConf {
    /// Age at which a report becomes stale, for the given number of routers.
    pub(crate) fn scaled_stale_after(&self, routers: usize) -> Duration {
        self.stale_after * self.interval_factor(routers)
    }

    /// How long increased demand must have been reported before the share is increased.
    ///
    /// An unreachable router is detected after `stale_after`. Reporting this to the others takes up
    /// to one delivery time, and receiving their reports another. One more covers this router's own
    /// periodic update.
    pub(crate) fn increase_delay(&self, routers: usize) -> Duration {
        (self.stale_after + 3 * self.delivery) * self.interval_factor(routers)
    }

    fn interval_factor(&self, routers: usize) -> u32 {
        routers.div_ceil(self.base_router_count.max(1)).max(1) as u32
    }
}

impl Default for LimiterConf {
    fn default() -> LimiterConf {
        LimiterConf {
            burst: Duration::from_secs(2),
            stale_after: Duration::from_secs(5),
            delivery: Duration::from_millis(2_500),
            base_router_count: 8,
            report_teams: 8,
            team_ttl: Duration::from_secs(60),
            max_teams: 16_384,
            limit_share: 1.0,
        }
    }
}
