//! Demand of the other routers, and the resulting share of a team's limit at this router.

use fulmargate_names::TeamName;
use indexmap::IndexMap;

use crate::TeamLimit;
use crate::team_rate::TeamRate;

/// Fraction of a limit that is divided equally regardless of usage, so that a router can admit a
/// team's first requests.
const EQUAL_FRACTION: f64 = 0.05;

/// Demand at the other routers, for each of the recent membership views.
///
/// The share at this router is the minimum over these views. Routers detect a network partition at
/// different times. Because each of them keeps both the old and the new view for a while, there is
/// at any time a view that all of them apply, and under a common view the shares add up to at most
/// the limit.
#[derive(Debug, Default)]
pub(crate) struct PeerDemand {
    views: Vec<ViewDemand>,
}

/// Demand at the routers of one membership view.
#[derive(Debug)]
pub(crate) struct ViewDemand {
    /// Number of routers in the view, including this one.
    pub(crate) size: f64,
    /// Fraction of each limit that the routers of the view share.
    pub(crate) limit_fraction: f64,
    /// Demand at the other routers, by team.
    pub(crate) others: IndexMap<TeamName, TeamRate>,
}

impl PeerDemand {
    pub(crate) fn new(views: Vec<ViewDemand>) -> PeerDemand {
        PeerDemand { views }
    }

    /// Whether another router reported demand for this team.
    pub(crate) fn is_reported(&self, team: &TeamName) -> bool {
        self.views.iter().any(|view| view.others.contains_key(team))
    }

    /// Rate limit of a team at this router. `own` is the demand that this router reported
    /// throughout the increase delay.
    pub(crate) fn rate(&self, team: &TeamName, limit: &TeamLimit, own: TeamRate) -> TeamRate {
        let unlimited = TeamRate { requests: f64::INFINITY, tokens: f64::INFINITY };
        let rates = self.views.iter().map(|view| view.rate(team, limit, own));
        rates.fold(unlimited, TeamRate::min)
    }
}

impl ViewDemand {
    fn rate(&self, team: &TeamName, limit: &TeamLimit, own: TeamRate) -> TeamRate {
        let total = TeamRate::fraction_of(limit, self.limit_fraction);
        let others = self.others.get(team).copied().unwrap_or_default();
        TeamRate {
            requests: self.share(total.requests, own.requests, others.requests),
            tokens: self.share(total.tokens, own.tokens, others.tokens),
        }
    }

    /// This router's share of `total`: its demand plus an equal part of what is left over, or a
    /// share proportional to its demand if the demand exceeds the limit.
    ///
    /// `own` is the minimum that this router reported during the increase delay, and `others` the
    /// demand that it received. No router uses a higher value for itself than others use for it, so
    /// the shares add up to at most `total`.
    fn share(&self, total: f64, own: f64, others: f64) -> f64 {
        if total.is_infinite() {
            return total;
        }
        let equal = total * EQUAL_FRACTION / self.size;
        let remaining = total * (1.0 - EQUAL_FRACTION);
        let demand = own + others;
        if demand < remaining {
            equal + own + (remaining - demand) / self.size
        } else {
            equal + remaining * own / demand
        }
    }
}
