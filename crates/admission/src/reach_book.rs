//! Which routers are heard, and what they told.

use std::collections::VecDeque;

use fulmargate_names::HostName;
use fulmargate_names::TeamName;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::LimiterConf;
use crate::UsageReport;
use crate::reach_view::ReachView;
use crate::team_rate::TeamRate;
use crate::usage_spread::SpreadView;
use crate::usage_spread::UsageSpread;

/// With more changes than this in a short time, a router relies on nobody.
const MOST_VIEWS: usize = 6;

/// Which routers are known and heard, and what each told of its teams.
#[derive(Debug)]
pub(crate) struct ReachBook {
    own: HostName,
    known: IndexSet<HostName>,
    heard: IndexMap<HostName, HeardRouter>,
    /// The views of the last while, oldest first, each with the time from which it held.
    views: VecDeque<(Instant, ReachView)>,
}

/// A router's last report.
#[derive(Debug)]
struct HeardRouter {
    told: Instant,
    reach: u64,
    teams: IndexMap<TeamName, TeamRate>,
}

impl ReachBook {
    /// Knows only itself.
    pub(crate) fn new(own: HostName) -> ReachBook {
        let known = IndexSet::from([own.clone()]);
        ReachBook { own, known, heard: IndexMap::new(), views: VecDeque::new() }
    }

    /// Replaces the list of all routers; gives back how many there are, this one included.
    pub(crate) fn set_known(&mut self, hosts: &[HostName]) -> usize {
        self.known = hosts.iter().cloned().collect();
        self.known.insert(self.own.clone());
        self.heard.retain(|host, _| self.known.contains(host));
        self.known.len()
    }

    /// Takes in what another router told at a time; one that came late changes nothing.
    pub(crate) fn hear(&mut self, host: &HostName, report: &UsageReport, told: Instant) {
        let is_late = self.heard.get(host).is_some_and(|heard| told < heard.told);
        if *host == self.own || !self.known.contains(host) || is_late {
            return;
        }
        let rate = |usage: &crate::TeamUsage| TeamRate {
            requests: f64::from(usage.requests_per_s),
            tokens: f64::from(usage.prompt_tokens_per_s),
        };
        let teams = report.teams.iter().map(|usage| (usage.team.clone(), rate(usage))).collect();
        let heard = HeardRouter { told, reach: report.reach, teams };
        self.heard.insert(host.clone(), heard);
    }

    /// Works out with whom the limits are shared now; gives back what to tell the others.
    pub(crate) fn renew(&mut self, conf: &LimiterConf, now: Instant) -> u64 {
        let stale_after = conf.stale_among(self.known.len());
        let fresh = |heard: &HeardRouter| now.saturating_duration_since(heard.told) < stale_after;
        let is_heard =
            |host: &HostName| *host == self.own || self.heard.get(host).is_some_and(fresh);
        let heard = self.known.iter().filter(|host| is_heard(host));
        let reach = digest(self.known.iter()) ^ digest(heard).rotate_left(1);
        // Whoever tells the same reach hears this router and is heard by it.
        let mut members: Vec<HostName> = self
            .heard
            .iter()
            .filter(|(_, heard)| heard.reach == reach)
            .map(|(host, _)| host.clone())
            .collect();
        members.sort_unstable();
        self.change_view(ReachView { members, known: self.known.len() }, conf, now);
        reach
    }

    /// What the members of each view of the last while ask for, by team.
    pub(crate) fn spread(&self) -> UsageSpread {
        let views = self.views.iter().map(|(_, view)| self.spread_view(view)).collect();
        UsageSpread::new(views)
    }

    fn spread_view(&self, view: &ReachView) -> SpreadView {
        let mut others: IndexMap<TeamName, TeamRate> = IndexMap::new();
        for host in &view.members {
            let Some(heard) = self.heard.get(host) else {
                continue;
            };
            for (team, rate) in &heard.teams {
                let sum = others.entry(team.clone()).or_default();
                *sum = sum.plus(*rate);
            }
        }
        SpreadView { size: view.size(), part: view.part(), others }
    }

    /// Keeps each view until it has been out of force for the whole hold: see `UsageSpread`.
    fn change_view(&mut self, view: ReachView, conf: &LimiterConf, now: Instant) {
        if self.views.is_empty() {
            self.views.push_back((now, ReachView::alone(self.known.len())));
        }
        if self.views.back().is_some_and(|(_, last)| *last != view) {
            self.views.push_back((now, view));
        }
        let hold = conf.hold_among(self.known.len());
        let is_over = |since: Instant| now.saturating_duration_since(since) >= hold;
        while self.views.get(1).is_some_and(|(since, _)| is_over(*since)) {
            self.views.pop_front();
        }
        if self.views.len() > MOST_VIEWS {
            self.views.pop_front();
            self.views[0] = (self.views[0].0, ReachView::alone(self.known.len()));
        }
    }
}

/// A number for a set of hosts, whatever their order.
fn digest<'a>(hosts: impl Iterator<Item = &'a HostName>) -> u64 {
    hosts.map(|host| xxh3_64(host.as_str().as_bytes())).fold(0, |sum, hash| sum ^ hash)
}
