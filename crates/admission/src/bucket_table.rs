//! Token buckets that all routers share, and the reports of their use.

use std::time::Duration;

use fulmargate_names::HostName;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;
use indexmap::IndexSet;
use tokio::time::Instant;

use crate::BucketKey;
use crate::QuotaConf;
use crate::QuotaCount;
use crate::QuotaReport;
use crate::peer_tracker::PeerTracker;
use crate::quota_bucket::BucketDecision;
use crate::quota_bucket::QuotaBucket;

/// A report is repeated after this many further ones, then after twice as many, up to the maximum. A router whose only
/// report of a bucket was lost would otherwise let others use the tokens again.
const FIRST_REPEAT_REPORTS: u32 = 2;
const MAX_REPEAT_REPORTS: u32 = 256;
/// Maximum number of buckets in a report; the remaining ones follow in the next.
const MAX_COUNTS: usize = 64;

/// Buckets of one kind, by team or by server.
///
/// Each router deducts the usage of all routers from its own bucket, which refills at the full rate. Reports
/// carry totals since the sender's start, so they tolerate loss and duplication. During a network partition,
/// part of each bucket is reserved for the other side.
#[derive(Debug)]
pub(crate) struct BucketTable {
    pub(crate) conf: QuotaConf,
    own: HostName,
    start: u16,
    peer_tracker: PeerTracker,
    buckets: IndexMap<BucketKey, QuotaBucket>,
    /// Buckets with usage since their last report.
    keys_to_report: IndexSet<BucketKey>,
    /// Buckets without usage since their last report, which may have been lost.
    repeats: IndexMap<BucketKey, ReportRepeat>,
}

/// When the report of a bucket is sent again.
#[derive(Clone, Copy, Debug)]
struct ReportRepeat {
    /// Reports until then.
    wait: u32,
    /// Reports between the last time and then.
    interval: u32,
}

/// Refusal of a request whose bucket has too few tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRefusal {
    /// Time after which to retry, assuming that previously refused requests retry first.
    pub retry_after: Duration,
    /// Available tokens; negative when more tokens were used than were available.
    pub available: f64,
    /// Age of the newest report from another router; `None` if there is none.
    pub report_age: Option<Duration>,
}

impl BucketTable {
    pub(crate) fn new(own: HostName, start: u16, conf: QuotaConf) -> BucketTable {
        BucketTable {
            conf,
            own,
            start,
            peer_tracker: PeerTracker::default(),
            buckets: IndexMap::new(),
            keys_to_report: IndexSet::new(),
            repeats: IndexMap::new(),
        }
    }

    /// Adds all routers that share the buckets. No request is admitted before the first call: routers that
    /// start at the same time would each claim the whole rate.
    pub(crate) fn set_routers(
        &mut self,
        routers: impl Iterator<Item = (HostName, ZoneName)>,
        now: Instant,
    ) {
        let own = self.own.clone();
        self.peer_tracker.add_peers(routers.filter(|(host, _)| *host != own), now);
    }

    /// Whether all other routers are reachable or have stopped.
    pub(crate) fn reaches_all_peers(&mut self, now: Instant) -> bool {
        self.peer_tracker.is_initialized()
            && self.peer_tracker.unreachable(&self.conf, now).is_empty()
    }

    /// Drops the other buckets.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(BucketKey) -> bool) {
        self.buckets.retain(|key, _| is_kept(*key));
        self.keys_to_report.retain(|key| is_kept(*key));
        self.repeats.retain(|key, _| is_kept(*key));
    }

    /// The bucket of this key, which `create` makes if it is new.
    pub(crate) fn bucket(
        &mut self,
        key: BucketKey,
        create: impl FnOnce() -> QuotaBucket,
    ) -> &mut QuotaBucket {
        self.buckets.entry(key).or_insert_with(create)
    }

    /// Available tokens; `None` without a bucket.
    pub(crate) fn available(&self, key: BucketKey, now: Instant) -> Option<f64> {
        let bucket = self.buckets.get(&key)?;
        Some(bucket.available(&self.peer_tracker, &self.conf, now))
    }

    /// Refills the bucket up to `now` and returns its available tokens; `None` without a bucket.
    pub(crate) fn refresh(&mut self, key: BucketKey, now: Instant) -> Option<f64> {
        let bucket = self.buckets.get_mut(&key)?;
        bucket.update(&mut self.peer_tracker, &self.conf, now);
        self.available(key, now)
    }

    /// Refills the bucket up to `now` and returns its level, without an estimate of unreported use; `None` without a
    /// bucket. It holds in addition as many tokens as were granted.
    pub(crate) fn level(&mut self, key: BucketKey, granted: f64, now: Instant) -> Option<f64> {
        let bucket = self.buckets.get_mut(&key)?;
        bucket.set_granted(granted);
        bucket.update(&mut self.peer_tracker, &self.conf, now);
        Some(bucket.level())
    }

    /// Other routers that have reported lately.
    pub(crate) fn hosts_in_touch(&self, now: Instant) -> Vec<HostName> {
        self.peer_tracker.hosts_in_touch(&self.conf, now)
    }

    /// Time until the bucket has this many tokens if no other request takes any.
    pub(crate) fn time_until(&self, key: BucketKey, tokens: f64, now: Instant) -> Duration {
        let Some(bucket) = self.buckets.get(&key) else { return Duration::ZERO };
        bucket.time_until(tokens, &self.peer_tracker, &self.conf, now)
    }

    /// Deducts tokens, or refuses the request. Admits it if there is no bucket.
    pub(crate) fn admit(
        &mut self,
        key: BucketKey,
        cost: u64,
        now: Instant,
    ) -> Result<(), QuotaRefusal> {
        let Some(bucket) = self.buckets.get_mut(&key) else { return Ok(()) };
        match bucket.admit(cost, &mut self.peer_tracker, &self.conf, now) {
            BucketDecision::Admitted => {
                self.keys_to_report.insert(key);
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
    pub(crate) fn refund(&mut self, key: BucketKey, cost: u64) {
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.refund(cost, &self.conf);
        }
    }

    /// Deducts tokens without checking whether they are available.
    pub(crate) fn charge(&mut self, key: BucketKey, cost: u64, now: Instant) {
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.charge(cost, now);
            self.keys_to_report.insert(key);
        }
    }

    /// Age of the newest report from another router; `None` if there is none.
    pub(crate) fn report_age(&self, now: Instant) -> Option<Duration> {
        self.peer_tracker.newest_report_age(now)
    }

    /// Returns the usage admitted by this router since the last report, and repeats some of what was reported before.
    pub(crate) fn take_report(&mut self) -> QuotaReport {
        let keys: Vec<BucketKey> = self.keys_to_report.iter().take(MAX_COUNTS).copied().collect();
        let mut counts = self.take_repeats();
        for key in keys {
            self.keys_to_report.shift_remove(&key);
            let Some(bucket) = self.buckets.get_mut(&key) else { continue };
            let (total, fresh) = bucket.take_report();
            if 0 < fresh {
                let first = FIRST_REPEAT_REPORTS;
                self.repeats.insert(key, ReportRepeat { wait: first, interval: first });
                counts.push(QuotaCount { key, total, fresh });
            }
        }
        QuotaReport { start: self.start, counts }
    }

    /// Totals of buckets whose repeat is due. They count nothing twice.
    fn take_repeats(&mut self) -> Vec<QuotaCount> {
        let mut counts = Vec::new();
        self.repeats.retain(|key, repeat| {
            repeat.wait = repeat.wait.saturating_sub(1);
            if 0 < repeat.wait || MAX_COUNTS <= counts.len() {
                return true;
            }
            if let Some(bucket) = self.buckets.get(key) {
                counts.push(QuotaCount { key: *key, total: bucket.reported_total(), fresh: 0 });
            }
            repeat.interval *= 2;
            repeat.wait = repeat.interval;
            repeat.interval <= MAX_REPEAT_REPORTS
        });
        counts
    }

    /// Applies another router's report. An empty report still shows that the router is reachable.
    pub(crate) fn receive(&mut self, host: &HostName, report: &QuotaReport, now: Instant) {
        if *host == self.own {
            return;
        }
        let sender = self.peer_tracker.record_report(host, report.start, now);
        if sender.has_restarted {
            self.buckets.values_mut().for_each(|bucket| bucket.reset_peer_total(sender.index));
        }
        for count in &report.counts {
            // The sender may already know of a bucket that is new.
            let Some(bucket) = self.buckets.get_mut(&count.key) else { continue };
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
}
