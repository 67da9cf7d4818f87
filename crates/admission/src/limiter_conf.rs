//! Numbers that shape the sharing of team limits.

use std::time::Duration;

/// How routers share the limits of teams.
#[derive(Clone, Copy, Debug)]
pub struct LimiterConf {
    /// How much of a limit may be saved up.
    pub burst: Duration,
    /// A router whose last report is older than this counts as out of reach.
    pub stale_after: Duration,
    /// The longest time from one report to the next and on to each router.
    pub delivery: Duration,
    /// Routers up to which these two times hold; for more they grow in proportion, since each
    /// router's reports grow rarer.
    pub paced_routers: usize,
    /// Most teams in a report.
    pub report_teams: usize,
    /// A team that asks for nothing is forgotten after this time.
    pub forget_after: Duration,
    /// Most teams kept.
    pub most_teams: usize,
    /// The part of each limit that the routers of this exchange share, for example a zone's.
    pub part: f64,
}

impl LimiterConf {
    /// When a report grows stale among so many routers.
    pub(crate) fn stale_among(&self, routers: usize) -> Duration {
        self.stale_after * self.pace(routers)
    }

    /// How long a claim to more must have been told to others before it is used.
    ///
    /// A router that is cut off is noticed after `stale_after`; others hear of that within one
    /// delivery, and their answers are heard within another; one more is the router's own step.
    pub(crate) fn hold_among(&self, routers: usize) -> Duration {
        (self.stale_after + 3 * self.delivery) * self.pace(routers)
    }

    fn pace(&self, routers: usize) -> u32 {
        routers.div_ceil(self.paced_routers.max(1)).max(1) as u32
    }
}

impl Default for LimiterConf {
    fn default() -> LimiterConf {
        LimiterConf {
            burst: Duration::from_secs(2),
            stale_after: Duration::from_secs(5),
            delivery: Duration::from_millis(2_500),
            paced_routers: 8,
            report_teams: 8,
            forget_after: Duration::from_secs(60),
            most_teams: 16_384,
            part: 1.0,
        }
    }
}
