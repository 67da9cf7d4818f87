//! Connectivity between routers and their usage reports.

use std::collections::VecDeque;

use fulmargate_names::HostName;
use fulmargate_names::TeamName;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::LimiterConf;
use crate::UsageReport;
use crate::peer_demand::PeerDemand;
use crate::peer_demand::ViewDemand;
use crate::sharing_view::SharingView;
use crate::team_rate::TeamRate;

/// Maximum number of views kept. If exceeded, the two oldest are replaced by a view without other
/// routers.
const MAX_VIEWS: usize = 6;

/// Known routers and the latest usage report of each.
#[derive(Debug)]
pub(crate) struct RouterReports {
    own: HostName,
    known: IndexSet<HostName>,
    reports: IndexMap<HostName, RouterReport>,
    /// Views within the increase delay, oldest first, each with the time when it took effect.
    views: VecDeque<(Instant, SharingView)>,
}

/// Latest report of a router.
#[derive(Debug)]
struct RouterReport {
    sent_at: Instant,
    view_digest: u64,
    teams: IndexMap<TeamName, TeamRate>,
}

impl RouterReports {
    /// Creates a registry that contains only this router.
    pub(crate) fn new(own: HostName) -> RouterReports {
        let known = IndexSet::from([own.clone()]);
        RouterReports { own, known, reports: IndexMap::new(), views: VecDeque::new() }
    }

    /// Replaces the set of known routers and returns its size, including this one.
    pub(crate) fn set_routers(&mut self, hosts: &[HostName]) -> usize {
        self.known = hosts.iter().cloned().collect();
        self.known.insert(self.own.clone());
        self.reports.retain(|host, _| self.known.contains(host));
        self.known.len()
    }

    /// Records another router's report; reports that arrive out of order are ignored.
    pub(crate) fn record_report(
        &mut self,
        host: &HostName,
        report: &UsageReport,
        sent_at: Instant,
    ) {
        let is_out_of_order = self.reports.get(host).is_some_and(|report| sent_at < report.sent_at);
        if *host == self.own || !self.known.contains(host) || is_out_of_order {
            return;
        }
        let rate = |usage: &crate::TeamUsage| TeamRate {
            requests: f64::from(usage.requests_per_s),
            tokens: f64::from(usage.prompt_tokens_per_s),
        };
        let teams = report.teams.iter().map(|usage| (usage.team.clone(), rate(usage))).collect();
        let report = RouterReport { sent_at, view_digest: report.view_digest, teams };
        self.reports.insert(host.clone(), report);
    }

    /// Recomputes the view and returns the digest of the known and the reachable routers, which is
    /// sent to the others.
    pub(crate) fn update(&mut self, conf: &LimiterConf, now: Instant) -> u64 {
        let stale_after = conf.scaled_stale_after(self.known.len());
        let is_fresh =
            |report: &RouterReport| now.saturating_duration_since(report.sent_at) < stale_after;
        let is_reachable =
            |host: &HostName| *host == self.own || self.reports.get(host).is_some_and(is_fresh);
        let reachable = self.known.iter().filter(|host| is_reachable(host));
        let view_digest = digest(self.known.iter()) ^ digest(reachable).rotate_left(1);
        // The same digest implies connectivity in both directions.
        let mut members: Vec<HostName> = self
            .reports
            .iter()
            .filter(|(_, report)| report.view_digest == view_digest)
            .map(|(host, _)| host.clone())
            .collect();
        members.sort_unstable();
        self.update_views(SharingView { members, known: self.known.len() }, conf, now);
        view_digest
    }

    /// Usage by team of the members of each view within the increase delay.
    pub(crate) fn peer_demand(&self) -> PeerDemand {
        let views = self.views.iter().map(|(_, view)| self.view_demand(view)).collect();
        PeerDemand::new(views)
    }

    fn view_demand(&self, view: &SharingView) -> ViewDemand {
        let mut others: IndexMap<TeamName, TeamRate> = IndexMap::new();
        for host in &view.members {
            let Some(report) = self.reports.get(host) else {
                continue;
            };
            for (team, rate) in &report.teams {
                let sum = others.entry(team.clone()).or_default();
                *sum = sum.plus(*rate);
            }
        }
        ViewDemand { size: view.router_count(), limit_fraction: view.limit_share(), others }
    }

    /// Appends a changed view and drops views that were replaced longer ago than the increase
    /// delay; see `PeerDemand`.
    fn update_views(&mut self, view: SharingView, conf: &LimiterConf, now: Instant) {
        if self.views.is_empty() {
            self.views.push_back((now, SharingView::alone(self.known.len())));
        }
        if self.views.back().is_some_and(|(_, last)| *last != view) {
            self.views.push_back((now, view));
        }
        let increase_delay = conf.increase_delay(self.known.len());
        let has_expired = |since: Instant| now.saturating_duration_since(since) >= increase_delay;
        while self.views.get(1).is_some_and(|(since, _)| has_expired(*since)) {
            self.views.pop_front();
        }
        if self.views.len() > MAX_VIEWS {
            self.views.pop_front();
            self.views[0] = (self.views[0].0, SharingView::alone(self.known.len()));
        }
    }
}

/// Order-independent digest of a set of hosts.
fn digest<'a>(hosts: impl Iterator<Item = &'a HostName>) -> u64 {
    hosts.map(|host| xxh3_64(host.as_str().as_bytes())).fold(0, |sum, hash| sum ^ hash)
}
