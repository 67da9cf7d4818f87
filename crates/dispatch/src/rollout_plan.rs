//! Rolling update of engines to a new weights version.
//!
//! An engine that loads weights is unavailable for about a second and loses its cache. As few engines as the
//! deadline allows are therefore updated at the same time.

use std::time::Duration;

use fulmargate_names::ServerName;
use fulmargate_names::WeightsVersion;
use fulmargate_names::ZoneName;

use crate::ServerKey;

/// Parameters of a rolling update.
#[derive(Clone, Copy, Debug)]
pub struct RolloutConf {
    /// Time for which an engine is unavailable: it finishes running requests, loads the weights, and is polled
    /// until it confirms them.
    pub engine_downtime: Duration,
    /// Share of the bound within which the update should finish. The rest allows for retries, and for requests
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
    /// Last known number of running and queued requests.
    pub load: u32,
    /// Whether an order to load weights is in progress.
    pub is_ordered: bool,
    /// Whether it can be reached. Unreachable engines are updated last.
    pub is_reachable: bool,
}

/// Age and deadline of the target version.
#[derive(Clone, Copy, Debug)]
pub struct RolloutTime {
    /// Time since the version was published.
    pub age: Duration,
    /// Age from which no request may start on older weights.
    pub bound: Duration,
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

    /// Number of engines to update at the same time: the minimum with which the update finishes before the
    /// deadline.
    pub fn concurrency(
        &self,
        servers: &[RolloutEngine],
        target: WeightsVersion,
        time: RolloutTime,
    ) -> usize {
        let outdated = servers.iter().filter(|server| server.version < target).count() as f64;
        let remaining = time.bound.mul_f64(self.conf.deadline_share).saturating_sub(time.age);
        let rounds = (remaining.as_secs_f64() / self.conf.engine_downtime.as_secs_f64()).max(1.0);
        let max_concurrent = (servers.len() as f64 * self.conf.max_concurrent_share).ceil();
        (outdated / rounds).ceil().clamp(1.0, max_concurrent.max(1.0)) as usize
    }

    /// Selects the engines to update now. Reachable engines go first, then engines in zones with fewer updates
    /// in progress, so that no zone loses all its engines. Among these the least loaded go first, because an
    /// engine finishes its running requests before it loads.
    pub fn next(
        &self,
        servers: &[RolloutEngine],
        target: WeightsVersion,
        time: RolloutTime,
    ) -> Vec<ServerKey> {
        let in_progress = servers.iter().filter(|server| server.is_ordered).count();
        let mut slots = self.concurrency(servers, target, time).saturating_sub(in_progress);
        let mut candidates: Vec<&RolloutEngine> =
            servers.iter().filter(|server| server.version < target && !server.is_ordered).collect();
        let mut chosen: Vec<&RolloutEngine> = Vec::new();
        while 0 < slots && !candidates.is_empty() {
            let updating_in = |zone: &ZoneName| {
                let ordered = servers.iter().filter(|server| server.is_ordered);
                ordered.chain(chosen.iter().copied()).filter(|server| server.zone == *zone).count()
            };
            let next = (0..candidates.len()).min_by_key(|index| {
                let server = candidates[*index];
                (!server.is_reachable, updating_in(&server.zone), server.load, server.name.clone())
            });
            let Some(index) = next else { break };
            chosen.push(candidates.swap_remove(index));
            slots -= 1;
        }
        chosen.into_iter().map(|server| server.key).collect()
    }
}
