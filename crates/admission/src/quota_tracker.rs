//! Enforces team quotas shared by all routers.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::TeamName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::QuotaConf;
use crate::QuotaCount;
use crate::QuotaReport;
use crate::TeamKey;
use crate::TeamQuota;
use crate::peer_tracker::PeerTracker;
use crate::quota_bucket::BucketDecision;
use crate::quota_bucket::QuotaBucket;

/// Maximum number of teams in a report; the remaining teams follow in the next one.
const MAX_COUNTS: usize = 64;

/// Enforces team quotas that are shared by all routers.
///
/// Each router deducts the usage of all routers from its own token bucket, which refills at the
/// team's full rate. Reports carry totals since the sender's start, so they tolerate loss and
/// duplication. During a network partition, part of each quota is reserved for the other side.
#[derive(Debug)]
pub struct QuotaTracker {
    conf: QuotaConf,
    own: HostName,
    start: u16,
    /// Whether quotas have been configured since the start.
    is_configured: bool,
    peer_tracker: PeerTracker,
    buckets: IndexMap<TeamKey, QuotaBucket>,
    /// Teams with usage since their last report.
    teams_to_report: IndexSet<TeamKey>,
}

/// Refusal of a request whose team has exhausted its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRefusal {
    /// Time after which to retry, assuming that previously refused requests retry first.
    pub retry_after: Duration,
    /// Available tokens; negative when more tokens were used than were available.
    pub available: f64,
    /// Age of the newest report from another router; `None` if there is none.
    pub report_age: Option<Duration>,
}

impl QuotaTracker {
    /// Creates a tracker for the router `own`. `start` is a random identifier of this process
    /// start.
    pub fn new(own: HostName, start: u16, conf: QuotaConf) -> QuotaTracker {
        QuotaTracker {
            conf,
            own,
            start,
            is_configured: false,
            peer_tracker: PeerTracker::default(),
            buckets: IndexMap::new(),
            teams_to_report: IndexSet::new(),
        }
    }

    /// Adds all routers that share the quotas. No request is admitted before the first call:
    /// routers that start at the same time would each claim the whole quota.
    pub fn set_routers(
        &mut self,
        routers: impl Iterator<Item = (HostName, ZoneName)>,
        now: Instant,
    ) {
        let own = self.own.clone();
        self.peer_tracker.add_peers(routers.filter(|(host, _)| *host != own), now);
    }

    /// Replaces all quotas.
    pub fn set_quotas<'a>(
        &mut self,
        quotas: impl Iterator<Item = (&'a TeamName, TeamQuota)>,
        now: Instant,
    ) {
        let mut configured = IndexSet::new();
        for (team, quota) in quotas {
            let key = TeamKey::of(team);
            configured.insert(key);
            self.update_bucket(key, &quota, now);
        }
        self.buckets.retain(|key, _| configured.contains(key));
        self.teams_to_report.retain(|key| configured.contains(key));
        self.is_configured = true;
    }

    /// Deducts a request's tokens from its team's quota, or refuses the request.
    pub fn admit(
        &mut self,
        team: &TeamName,
        quota: &TeamQuota,
        cost: u64,
        now: Instant,
    ) -> Result<(), QuotaRefusal> {
        let key = TeamKey::of(team);
        self.update_bucket(key, quota, now);
        let Some(bucket) = self.buckets.get_mut(&key) else { return Ok(()) };
        match bucket.admit(cost, &mut self.peer_tracker, &self.conf, now) {
            BucketDecision::Admitted => {
                self.teams_to_report.insert(key);
                Ok(())
            }
            BucketDecision::Refused { retry_after } => Err(QuotaRefusal {
                retry_after,
                available: bucket.available(&self.peer_tracker, &self.conf, now),
                report_age: self.peer_tracker.newest_report_age(now),
            }),
        }
    }

    /// Refunds the tokens of a request that no server ran.
    pub fn refund(&mut self, team: &TeamName, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(&TeamKey::of(team)) {
            bucket.refund(cost, &self.conf);
        }
    }

    /// Deducts the tokens again for a retry of a request that may already have run.
    pub fn recharge(&mut self, team: &TeamName, cost: u64, now: Instant) {
        let key = TeamKey::of(team);
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.charge(cost, now);
            self.teams_to_report.insert(key);
        }
    }

    /// Age of the newest report from another router; `None` if there is none.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.peer_tracker.newest_report_age(now)
    }

    /// Returns the usage admitted by this router since the last report.
    pub fn take_report(&mut self) -> QuotaReport {
        let teams: Vec<TeamKey> = self.teams_to_report.iter().take(MAX_COUNTS).copied().collect();
        let mut counts = Vec::with_capacity(teams.len());
        for team in teams {
            self.teams_to_report.shift_remove(&team);
            let Some(bucket) = self.buckets.get_mut(&team) else { continue };
            let (total, fresh) = bucket.take_report();
            if 0 < fresh {
                counts.push(QuotaCount { team, total, fresh });
            }
        }
        QuotaReport { start: self.start, counts }
    }

    /// Applies another router's report. An empty report still shows that the router is reachable.
    pub fn receive(&mut self, host: &HostName, report: &QuotaReport, now: Instant) {
        if *host == self.own {
            return;
        }
        let sender = self.peer_tracker.record_report(host, report.start, now);
        if sender.has_restarted {
            self.buckets.values_mut().for_each(|bucket| bucket.reset_peer_total(sender.index));
        }
        for count in &report.counts {
            // The sender may already have a newer configuration.
            let Some(bucket) = self.buckets.get_mut(&count.team) else { continue };
            let (total, fresh) = (count.total, count.fresh);
            bucket.apply_report(
                sender.index,
                total,
                fresh,
                &mut self.peer_tracker,
                &self.conf,
                now,
            );
        }
    }

    /// Creates or updates the bucket of a team. A quota added at runtime starts with a full bucket;
    /// after a restart the bucket starts empty, because earlier usage is unknown.
    fn update_bucket(&mut self, key: TeamKey, quota: &TeamQuota, now: Instant) {
        let level = if self.is_configured { quota.burst } else { 0.0 };
        let bucket =
            self.buckets.entry(key).or_insert_with(|| QuotaBucket::new(*quota, level, now));
        if bucket.quota != *quota {
            bucket.set_quota(*quota);
        }
    }
}
