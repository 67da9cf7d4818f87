//! A team's share at one router.

use fulmargate_names::TeamName;
use indexmap::IndexMap;

use crate::TeamLimit;
use crate::team_rate::TeamRate;

/// The part of a limit that is shared equally whatever the use, so that a team which comes to a
/// router for the first time isn't refused outright.
const EQUAL_PART: f64 = 0.05;

/// What other routers' teams ask for, under each view of the last while.
///
/// The share at this router is the lowest that any of those views gives. While a cut spreads,
/// routers notice it at different times; for a while all of them still have the old view, and
/// later all have the new one, so at each moment there is a view under which the shares of all
/// routers add up to no more than the whole.
#[derive(Debug, Default)]
pub(crate) struct UsageSpread {
    views: Vec<SpreadView>,
}

/// What the routers of one view ask for.
#[derive(Debug)]
pub(crate) struct SpreadView {
    /// How many share, this router included.
    pub(crate) size: f64,
    /// The part of each limit that they share.
    pub(crate) part: f64,
    /// What the others ask for.
    pub(crate) others: IndexMap<TeamName, TeamRate>,
}

impl UsageSpread {
    /// Of these views.
    pub(crate) fn new(views: Vec<SpreadView>) -> UsageSpread {
        UsageSpread { views }
    }

    /// Whether another router told of this team.
    pub(crate) fn knows(&self, team: &TeamName) -> bool {
        self.views.iter().any(|view| view.others.contains_key(team))
    }

    /// The rate of a team at this router, which has told the others of `own` for the whole hold.
    pub(crate) fn rate(&self, team: &TeamName, limit: &TeamLimit, own: TeamRate) -> TeamRate {
        let unlimited = TeamRate { requests: f64::INFINITY, tokens: f64::INFINITY };
        let rates = self.views.iter().map(|view| view.rate(team, limit, own));
        rates.fold(unlimited, TeamRate::min)
    }
}

impl SpreadView {
    fn rate(&self, team: &TeamName, limit: &TeamLimit, own: TeamRate) -> TeamRate {
        let whole = TeamRate::part_of(limit, self.part);
        let others = self.others.get(team).copied().unwrap_or_default();
        TeamRate {
            requests: self.share(whole.requests, own.requests, others.requests),
            tokens: self.share(whole.tokens, own.tokens, others.tokens),
        }
    }

    /// One router's share of `whole`: what it asks for and an equal part of what nobody asks for,
    /// or, when more is asked for than there is, in proportion.
    ///
    /// `own` is the least that this router told over the hold, and `others` what was heard, so
    /// each router counts itself no higher than anybody else counts it: the shares of all add up
    /// to at most the whole.
    fn share(&self, whole: f64, own: f64, others: f64) -> f64 {
        if whole.is_infinite() {
            return whole;
        }
        let equal = whole * EQUAL_PART / self.size;
        let rest = whole * (1.0 - EQUAL_PART);
        let asked = own + others;
        if asked < rest {
            equal + own + (rest - asked) / self.size
        } else {
            equal + rest * own / asked
        }
    }
}
