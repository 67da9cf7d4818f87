//! Rolling update of engines to a new weights version.
//!
//! An engine that loads weights is unavailable for about a second and loses its cache. As few engines as the
//! deadline allows are therefore updated at the same time.

use std::time::Duration;

use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;

use crate::ServerKey;
use crate::weights_table::START_MARGIN;

/// Parameters of a rolling update.
#[derive(Clone, Copy, Debug)]
pub struct RolloutConf {
    /// Time for which an engine is unavailable: it finishes running requests, loads the weights, and is polled
    /// until it confirms them.
    pub engine_downtime: Duration,
    /// Share of the bound within which an engine should be updated. The rest allows for retries, and for requests
    /// that must start on new weights before the bound.
    pub deadline_share: f64,
    /// Upper bound on the share of engines updated at the same time, even after the deadline.
    pub max_concurrent_share: f64,
}

impl Default for RolloutConf {
    fn default() -> RolloutConf {
        RolloutConf {
            engine_downtime: Duration::from_millis(1_100),
            deadline_share: 0.6,
            max_concurrent_share: 0.4,
        }
    }
}

/// State of an engine as far as a rolling update needs it.
#[derive(Clone, Debug)]
pub struct RolloutEngine {
    /// The engine.
    pub key: ServerKey,
    /// Its name. Breaks ties, so that all routers order engines in the same way.
    pub name: ServerName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its last known weights version.
    pub version: WeightsVersion,
    /// Upper bound of the time since the first version newer than its own was named. `Duration::MAX` if unknown.
    pub outdated_for: Duration,
    /// Last known number of running and queued requests.
    pub load: u32,
    /// Whether an order to load weights is in progress.
    pub is_ordered: bool,
    /// Whether it can be reached. Unreachable engines are updated last.
    pub is_reachable: bool,
    /// Whether an order to it has failed moments ago. Such engines are updated after others, so that one that always
    /// refuses doesn't take every turn.
    pub has_failed: bool,
}

impl RolloutEngine {
    /// Whether its weights are too old for new requests, or of unknown age.
    fn is_overdue(&self, bound: Duration) -> bool {
        bound.saturating_sub(START_MARGIN) <= self.outdated_for
    }

    /// Whether it takes new requests.
    fn is_serving(&self, bound: Duration) -> bool {
        self.is_reachable && !self.is_ordered && !self.is_overdue(bound)
    }
}

/// Plans the rolling update to one version.
#[derive(Clone, Copy, Debug, Default)]
pub struct RolloutPlan {
    conf: RolloutConf,
}

impl RolloutPlan {
    /// Creates a plan with the given parameters.
    pub fn new(conf: RolloutConf) -> RolloutPlan {
        RolloutPlan { conf }
    }

    /// Number of engines to update at the same time: the minimum with which each of them is updated before its own
    /// deadline. No request may start on weights that have been outdated for longer than `bound`.
    pub fn concurrency(
        &self,
        servers: &[RolloutEngine],
        target: WeightsVersion,
        bound: Duration,
    ) -> usize {
        let outdated = servers.iter().filter(|server| server.version < target);
        self.pace(outdated, bound).min(self.max_concurrent(servers))
    }

    /// Selects the engines to update now. Reachable engines go first, then those on the oldest weights, which no
    /// engine that was updated can overtake. Among these, zones with fewer updates in progress go first, then the
    /// least loaded engines, because an engine finishes its running requests before it loads.
    ///
    /// Engines that serve nothing, since their weights are too old, don't count towards the pace. A zone keeps an
    /// engine that serves as long as another one can be updated.
    pub fn next(
        &self,
        servers: &[RolloutEngine],
        target: WeightsVersion,
        bound: Duration,
    ) -> Vec<ServerKey> {
        let mut round = RolloutRound { servers, target, bound, chosen: Vec::new() };
        let max_concurrent = self.max_concurrent(servers);
        let paced = servers.iter().filter(|server| server.version < target);
        let paced = paced.filter(|server| !server.is_overdue(bound));
        let pace = self.pace(paced, bound).min(max_concurrent);
        while round.in_progress().count() < max_concurrent {
            let paced = round.in_progress().filter(|server| !round.is_idle(server)).count();
            let next = round.candidates().filter(|server| paced < pace || round.is_idle(server));
            let Some(server) = next.min_by_key(|server| round.rank(server)) else { break };
            round.chosen.push(server);
        }
        round.chosen.into_iter().map(|server| server.key).collect()
    }

    /// The minimum number at a time with which each of these engines is updated before its deadline.
    fn pace<'a>(
        &self,
        outdated: impl Iterator<Item = &'a RolloutEngine>,
        bound: Duration,
    ) -> usize {
        let deadline = bound.mul_f64(self.conf.deadline_share);
        let mut remaining: Vec<Duration> =
            outdated.map(|server| deadline.saturating_sub(server.outdated_for)).collect();
        remaining.sort_unstable();
        let concurrency = (1_u32..).zip(remaining).map(|(due, remaining)| {
            let rounds = remaining.as_secs_f64() / self.conf.engine_downtime.as_secs_f64();
            (f64::from(due) / rounds.max(1.0)).ceil() as usize
        });
        concurrency.max().unwrap_or_default().max(1)
    }

    /// Upper bound on the number of engines updated at the same time.
    fn max_concurrent(&self, servers: &[RolloutEngine]) -> usize {
        ((servers.len() as f64 * self.conf.max_concurrent_share).ceil() as usize).max(1)
    }
}

/// The engines of a rolling update, and those selected so far.
struct RolloutRound<'a> {
    servers: &'a [RolloutEngine],
    target: WeightsVersion,
    bound: Duration,
    chosen: Vec<&'a RolloutEngine>,
}

impl<'a> RolloutRound<'a> {
    fn in_progress(&self) -> impl Iterator<Item = &'a RolloutEngine> {
        let ordered = self.servers.iter().filter(|server| server.is_ordered);
        ordered.chain(self.chosen.iter().copied())
    }

    fn candidates(&self) -> impl Iterator<Item = &'a RolloutEngine> {
        let outdated = self.servers.iter().filter(|server| server.version < self.target);
        outdated.filter(|server| !self.is_in_progress(server) && !self.is_kept_for_zone(server))
    }

    fn is_in_progress(&self, server: &RolloutEngine) -> bool {
        server.is_ordered || self.is_chosen(server)
    }

    fn is_chosen(&self, server: &RolloutEngine) -> bool {
        self.chosen.iter().any(|chosen| chosen.key == server.key)
    }

    /// Whether its update takes nothing from callers, and is likely to succeed.
    fn is_idle(&self, server: &RolloutEngine) -> bool {
        server.is_reachable && server.is_overdue(self.bound)
    }

    /// Whether it is the only engine of its zone that serves, and another one of the zone will serve soon. Without
    /// such another one the wait would have no end. The wait ends at the latest when its own weights are too old.
    fn is_kept_for_zone(&self, server: &RolloutEngine) -> bool {
        if !server.is_serving(self.bound) {
            return false;
        }
        let others = || {
            let in_zone = self.servers.iter().filter(|other| other.zone == server.zone);
            in_zone.filter(|other| other.key != server.key)
        };
        let is_served =
            others().any(|other| other.is_serving(self.bound) && !self.is_chosen(other));
        let is_update_likely = |other: &RolloutEngine| other.is_reachable && !other.has_failed;
        !is_served && others().any(|other| other.is_ordered || is_update_likely(other))
    }

    fn rank(&self, server: &'a RolloutEngine) -> EngineRank<'a> {
        let updating = self.in_progress().filter(|other| other.zone == server.zone).count();
        EngineRank {
            is_unreachable: !server.is_reachable,
            has_failed: server.has_failed,
            version: server.version,
            updating_in_zone: updating,
            load: server.load,
            name: &server.name,
        }
    }
}

/// The order in which engines are updated, by the first field that differs.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EngineRank<'a> {
    is_unreachable: bool,
    has_failed: bool,
    version: WeightsVersion,
    updating_in_zone: usize,
    load: u32,
    name: &'a ServerName,
}
