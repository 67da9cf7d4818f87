//! Quotas of teams, shared among routers.

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
use crate::quota_bucket::BucketAnswer;
use crate::quota_bucket::QuotaBucket;
use crate::quota_reach::QuotaReach;

/// Most teams in a report; the rest follows with the next.
const MOST_COUNTS: usize = 64;

/// Tokens that each team may still use, as far as this router knows.
///
/// Each router keeps a token bucket for each team, fills it at the whole rate, and takes from it what it
/// admits and what the others report. A report names the total since its sender's start, so that messages
/// may be lost, late or repeated. For routers that are out of reach a part of each quota is kept, by their
/// use before, so that the sides of a cut together admit no more than the whole. A router that has just
/// started does not know what was used before: its buckets are empty.
#[derive(Debug)]
pub struct QuotaTracker {
    conf: QuotaConf,
    own: HostName,
    start: u16,
    /// A configuration was in force before.
    is_configured: bool,
    reach: QuotaReach,
    buckets: IndexMap<TeamKey, QuotaBucket>,
    unreported: IndexSet<TeamKey>,
}

/// A team is over its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRefusal {
    /// When the request would be admitted, if others that were refused before it return first.
    pub retry_after: Duration,
    /// Tokens that are left; negative after more was used than there was.
    pub left: f64,
    /// Age of the newest report of another router; none if none was seen.
    pub report_age: Option<Duration>,
}

impl QuotaTracker {
    /// A tracker of the router `own`. `start` is drawn at each start of the process.
    pub fn new(own: HostName, start: u16, conf: QuotaConf) -> QuotaTracker {
        QuotaTracker {
            conf,
            own,
            start,
            is_configured: false,
            reach: QuotaReach::default(),
            buckets: IndexMap::new(),
            unreported: IndexSet::new(),
        }
    }

    /// Names all routers that may admit for the same teams. Before that nothing is admitted: each of many
    /// that start together would take itself for the only one.
    pub fn set_routers(
        &mut self,
        routers: impl Iterator<Item = (HostName, ZoneName)>,
        now: Instant,
    ) {
        let own = self.own.clone();
        self.reach.set_peers(routers.filter(|(host, _)| *host != own), now);
    }

    /// Puts the quotas of a configuration in force, all of them.
    pub fn set_quotas<'a>(
        &mut self,
        quotas: impl Iterator<Item = (&'a TeamName, TeamQuota)>,
        now: Instant,
    ) {
        let mut kept = IndexSet::new();
        for (team, quota) in quotas {
            let key = TeamKey::of(team);
            kept.insert(key);
            self.bucket(key, &quota, now);
        }
        self.buckets.retain(|key, _| kept.contains(key));
        self.unreported.retain(|key| kept.contains(key));
        self.is_configured = true;
    }

    /// Takes a request's tokens from its team's quota.
    pub fn admit(
        &mut self,
        team: &TeamName,
        quota: &TeamQuota,
        cost: u64,
        now: Instant,
    ) -> Result<(), QuotaRefusal> {
        let key = TeamKey::of(team);
        self.bucket(key, quota, now);
        let Some(bucket) = self.buckets.get_mut(&key) else { return Ok(()) };
        match bucket.admit(cost, &mut self.reach, &self.conf, now) {
            BucketAnswer::Admitted => {
                self.unreported.insert(key);
                Ok(())
            }
            BucketAnswer::Refused { retry_after } => Err(QuotaRefusal {
                retry_after,
                left: bucket.left(&self.reach, &self.conf, now),
                report_age: self.reach.least_age(now),
            }),
        }
    }

    /// Gives back what a request took that no server ran.
    pub fn give_back(&mut self, team: &TeamName, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(&TeamKey::of(team)) {
            bucket.give_back(cost, &self.conf);
        }
    }

    /// Counts a request once more: it is sent again though it may have run.
    pub fn charge_again(&mut self, team: &TeamName, cost: u64, now: Instant) {
        let key = TeamKey::of(team);
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.charge(cost, now);
            self.unreported.insert(key);
        }
    }

    /// Age of the newest report of another router; none if none was seen.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        self.reach.least_age(now)
    }

    /// What was admitted here since the last report, for the other routers.
    pub fn take_report(&mut self) -> QuotaReport {
        let teams: Vec<TeamKey> = self.unreported.iter().take(MOST_COUNTS).copied().collect();
        let mut counts = Vec::with_capacity(teams.len());
        for team in teams {
            self.unreported.shift_remove(&team);
            let Some(bucket) = self.buckets.get_mut(&team) else { continue };
            let (total, fresh) = bucket.take_report();
            if 0 < fresh {
                counts.push(QuotaCount { team, total, fresh });
            }
        }
        QuotaReport { start: self.start, counts }
    }

    /// Takes in another router's report, also an empty one: it shows that the router is in reach.
    pub fn receive(&mut self, host: &HostName, report: &QuotaReport, now: Instant) {
        if *host == self.own {
            return;
        }
        let contact = self.reach.note_seen(host, report.start, now);
        if contact.is_new_start {
            self.buckets.values_mut().for_each(|bucket| bucket.restarted(contact.number));
        }
        for count in &report.counts {
            // The sender may have a configuration that has not come here yet.
            let Some(bucket) = self.buckets.get_mut(&count.team) else { continue };
            let (total, fresh) = (count.total, count.fresh);
            bucket.report(contact.number, total, fresh, &mut self.reach, &self.conf, now);
        }
    }

    /// The bucket of a team. Where a running router learns of a new quota, its bucket is full; a process that
    /// has just started does not know what was used before.
    fn bucket(&mut self, key: TeamKey, quota: &TeamQuota, now: Instant) {
        let level = if self.is_configured { quota.burst } else { 0.0 };
        let bucket =
            self.buckets.entry(key).or_insert_with(|| QuotaBucket::new(*quota, level, now));
        if bucket.quota != *quota {
            bucket.set_quota(*quota);
        }
    }
}
