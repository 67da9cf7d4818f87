//! Enforces team quotas shared by all routers.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::TeamName;
use fulmargate_names::ZoneName;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::BucketKey;
use crate::QuotaConf;
use crate::QuotaRefusal;
use crate::QuotaReport;
use crate::TeamQuota;
use crate::bucket_table::BucketTable;
use crate::quota_bucket::QuotaBucket;

/// Enforces team quotas that are shared by all routers, with a bucket for each team.
#[derive(Debug)]
pub struct QuotaTracker {
    /// Whether quotas have been configured since the start.
    is_configured: bool,
    table: BucketTable,
}

impl QuotaTracker {
    /// Creates a tracker for the router `own`. `start` is a random identifier of this process
    /// start.
    pub fn new(own: HostName, start: u16, conf: QuotaConf) -> QuotaTracker {
        QuotaTracker { is_configured: false, table: BucketTable::new(own, start, conf) }
    }

    /// Adds all routers that share the quotas. No request is admitted before the first call.
    pub fn set_routers(
        &mut self,
        routers: impl Iterator<Item = (HostName, ZoneName)>,
        now: Instant,
    ) {
        self.table.set_routers(routers, now);
    }

    /// Replaces all quotas.
    pub fn set_quotas<'a>(
        &mut self,
        quotas: impl Iterator<Item = (&'a TeamName, TeamQuota)>,
        now: Instant,
    ) {
        let mut configured = IndexSet::new();
        for (team, quota) in quotas {
            let key = BucketKey::of_team(team);
            configured.insert(key);
            self.update_bucket(key, &quota, now);
        }
        self.table.retain(|key| configured.contains(&key));
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
        let key = BucketKey::of_team(team);
        self.update_bucket(key, quota, now);
        self.table.admit(key, cost, now)
    }

    /// Refunds the tokens of a request that no server ran.
    pub fn refund(&mut self, team: &TeamName, cost: u64) {
        self.table.refund(BucketKey::of_team(team), cost);
    }

    /// Deducts the tokens again for a retry of a request that may already have run.
    pub fn recharge(&mut self, team: &TeamName, cost: u64, now: Instant) {
        self.table.charge(BucketKey::of_team(team), cost, now);
    }

    /// Age of the newest report from another router; `None` if there is none.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.table.report_age(now)
    }

    /// Returns the usage admitted by this router since the last report.
    pub fn take_report(&mut self) -> QuotaReport {
        self.table.take_report()
    }

    /// Applies another router's report. An empty report still shows that the router is reachable.
    pub fn receive(&mut self, host: &HostName, report: &QuotaReport, now: Instant) {
        self.table.receive(host, report, now);
    }

    /// Creates or updates the bucket of a team. A quota added at runtime starts with a full bucket;
    /// after a restart the bucket starts empty, because earlier usage is unknown.
    fn update_bucket(&mut self, key: BucketKey, quota: &TeamQuota, now: Instant) {
        let is_added = self.is_configured;
        let bucket = self.table.bucket(key, || match is_added {
            true => QuotaBucket::new(*quota, quota.burst, now).with_new_peers(),
            false => QuotaBucket::new(*quota, 0.0, now),
        });
        if bucket.quota != *quota {
            bucket.set_quota(*quota);
        }
    }
}
