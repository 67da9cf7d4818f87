//! Token bucket for one team's quota at one router.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::QuotaConf;
use crate::TeamQuota;
use crate::decaying_rate::DecayingRate;
use crate::peer_tracker::PeerTracker;

/// Averaging period for estimating the unreported usage of other routers.
const SHORT_AVERAGING_PERIOD: Duration = Duration::from_millis(250);
/// Averaging period for dividing a quota by usage.
const LONG_AVERAGING_PERIOD: Duration = Duration::from_secs(4);
/// Fraction of a quota that is divided equally among routers, regardless of usage.
const EQUAL_FRACTION: f64 = 0.1;
/// Factor applied to a router's share of the quota during a network partition. The sides of a
/// partition compute the shares from usage at different times, so the shares may add up to more
/// than the quota.
const PARTITION_FACTOR: f64 = 0.93;
/// Upper bound of the factor by which a local surge is assumed to occur at all routers.
const MAX_SURGE_FACTOR: f64 = 8.0;
/// Fraction of the overage margin that is available for unreported usage.
const UNREPORTED_MARGIN_FRACTION: f64 = 0.2;
/// Fraction of the overage margin that is added to the bucket's capacity.
const CAPACITY_MARGIN_FRACTION: f64 = 0.3;
/// Minimum capacity of a bucket, as a fraction of the tokens that the rate grants in a window.
const MIN_CAPACITY_FRACTION: f64 = 1.0 / 16.0;
/// Fraction of the burst that raises the refill rate over the window instead of the capacity. This
/// limits what can be spent at once, before routers receive each other's usage reports.
const STEADY_BURST_FRACTION: f64 = 0.75;

/// A token bucket that every reachable router refills at the quota's full rate. Both local requests
/// and the usage reported by other routers are deducted from it.
#[derive(Debug)]
pub(crate) struct QuotaBucket {
    pub(crate) quota: TeamQuota,
    /// Available tokens; negative when more tokens were used than were available.
    level: f64,
    updated: Instant,
    /// Fraction of the quota available to this router and the reachable routers together.
    reachable_share: f64,
    /// Tokens granted to routers, by which the level may exceed the capacity.
    granted: f64,
    /// Tokens reserved for unreachable routers.
    reserved: f64,
    /// Time since which all routers have been reachable.
    all_reachable_since: Option<Instant>,
    own: RouterUsage,
    /// Tokens requested at this router, including refused requests.
    requested: RouterUsage,
    peers: IndexMap<usize, RouterUsage>,
    /// Unreachable routers and the fractions of the quota reserved for them.
    unreachable: IndexMap<usize, f64>,
    /// Previous and latest fractions of the quota by usage. Only the previous ones are used: the
    /// latest may date from after a router became unreachable, but before this was detected.
    usage_shares: [IndexMap<usize, f64>; 2],
    usage_shares_updated: Instant,
    /// Tokens that refused callers are expected to request again.
    retry_backlog: f64,
    retry_backlog_updated: Instant,
    /// Refunded tokens that have not been deducted from later usage yet.
    refunded: f64,
    /// Value of `own.total` in the last report.
    reported_total: u64,
    /// Whether a total of a router that has not reported before is all recent use.
    has_new_peers: bool,
}

#[derive(Debug)]
struct RouterUsage {
    total: u64,
    short_rate: DecayingRate,
    long_rate: DecayingRate,
    /// The router was unreachable and has not reported its usage during that time yet.
    is_report_overdue: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum BucketDecision {
    Admitted,
    Refused { retry_after: Duration },
}

impl RouterUsage {
    fn new(now: Instant) -> RouterUsage {
        let (short_rate, long_rate) = (
            DecayingRate::new(SHORT_AVERAGING_PERIOD, now),
            DecayingRate::new(LONG_AVERAGING_PERIOD, now),
        );
        RouterUsage { total: 0, short_rate, long_rate, is_report_overdue: false }
    }

    fn add(&mut self, tokens: u64, now: Instant) {
        self.total += tokens;
        self.short_rate.add(tokens as f64, now);
        self.long_rate.add(tokens as f64, now);
    }
}

impl QuotaBucket {
    pub(crate) fn new(quota: TeamQuota, level: f64, now: Instant) -> QuotaBucket {
        QuotaBucket {
            quota,
            level,
            updated: now,
            reachable_share: 1.0,
            granted: 0.0,
            reserved: 0.0,
            all_reachable_since: None,
            own: RouterUsage::new(now),
            requested: RouterUsage::new(now),
            peers: IndexMap::new(),
            unreachable: IndexMap::new(),
            usage_shares: Default::default(),
            usage_shares_updated: now,
            retry_backlog: 0.0,
            retry_backlog_updated: now,
            refunded: 0.0,
            reported_total: 0,
            has_new_peers: false,
        }
    }

    /// A bucket that all routers have since about now, so that their totals began at zero.
    pub(crate) fn with_new_peers(mut self) -> QuotaBucket {
        self.has_new_peers = true;
        self
    }

    /// Changes the quota. If the rate falls, a debt is scaled down so that its repayment time stays
    /// the same.
    pub(crate) fn set_quota(&mut self, quota: TeamQuota) {
        if quota.rate_per_s < self.quota.rate_per_s && self.level < 0.0 {
            self.level *= quota.rate_per_s / self.quota.rate_per_s;
        }
        self.reserved = self.reserved.min(quota.burst);
        self.level = self.level.min(quota.burst);
        self.quota = quota;
    }

    /// Changes the rate of a quota without a burst. Tokens and debts stay as they are.
    pub(crate) fn set_rate(&mut self, rate_per_s: f64) {
        self.quota.rate_per_s = rate_per_s;
    }

    /// Takes tokens, or returns the time after which to retry.
    pub(crate) fn admit(
        &mut self,
        cost: u64,
        peer_tracker: &mut PeerTracker,
        conf: &QuotaConf,
        now: Instant,
    ) -> BucketDecision {
        self.update(peer_tracker, conf, now);
        let surge_factor = self.surge_factor(now);
        self.requested.add(cost, now);
        let needed = (cost as f64).min(self.capacity(conf));
        let estimated_unreported = self.estimated_unreported(peer_tracker, conf, now);
        let margin = UNREPORTED_MARGIN_FRACTION * self.margin(conf);
        let available = self.level - estimated_unreported;
        let surge_tokens = (surge_factor - 1.0) * estimated_unreported;
        if 0.0 < self.reachable_share
            && needed <= available
            && needed <= available - surge_tokens + margin
        {
            self.charge(cost, now);
            return BucketDecision::Admitted;
        }
        BucketDecision::Refused {
            retry_after: self.retry_after(cost, needed - available, conf, now),
        }
    }

    /// Deducts tokens without checking the quota, for example for a retry of a request that may
    /// already have run.
    pub(crate) fn charge(&mut self, cost: u64, now: Instant) {
        self.level -= cost as f64;
        let from_refund = self.refunded.min(cost as f64);
        self.refunded -= from_refund;
        self.own.add(cost - from_refund as u64, now);
    }

    /// Refunds the tokens of a request that no server ran. The reported total never decreases: the
    /// refund is deducted from later usage instead.
    pub(crate) fn refund(&mut self, cost: u64, conf: &QuotaConf) {
        self.level = (self.level + cost as f64).min(self.capacity(conf));
        self.refunded += cost as f64;
    }

    /// Returns this router's total usage and the part of it that is new since the last report.
    pub(crate) fn take_report(&mut self) -> (u64, u64) {
        let unreported = self.own.total - self.reported_total;
        self.reported_total = self.own.total;
        (self.own.total, unreported)
    }

    /// The total of the last report.
    pub(crate) fn reported_total(&self) -> u64 {
        self.reported_total
    }

    /// Applies the usage that another router reported: its total, and `new_tokens` since its last
    /// report.
    pub(crate) fn apply_report(
        &mut self,
        index: usize,
        total: u64,
        new_tokens: u64,
        peer_tracker: &mut PeerTracker,
        conf: &QuotaConf,
        now: Instant,
    ) {
        self.update(peer_tracker, conf, now);
        let is_known = self.peers.contains_key(&index);
        let capacity = self.capacity(conf) as u64;
        let peer = self.peers.entry(index).or_insert_with(|| RouterUsage::new(now));
        let used = match is_known {
            true => total.saturating_sub(peer.total),
            false if self.has_new_peers => total.min(capacity),
            false => new_tokens.min(total),
        };
        peer.total = peer.total.max(total);
        if used == 0 {
            return;
        }
        let was_report_overdue = std::mem::take(&mut peer.is_report_overdue);
        // Usage accumulated while unreachable is not a current rate; adding 0 only applies decay.
        match was_report_overdue {
            true => peer.long_rate.add(0.0, now),
            false => {
                peer.short_rate.add(used as f64, now);
                peer.long_rate.add(used as f64, now);
            }
        }
        let from_reserve = if was_report_overdue { self.reserved.min(used as f64) } else { 0.0 };
        self.reserved -= from_reserve;
        self.level -= used as f64 - from_reserve;
    }

    /// Resets the total of a router that has restarted.
    pub(crate) fn reset_peer_total(&mut self, index: usize) {
        if let Some(peer) = self.peers.get_mut(&index) {
            peer.total = 0;
        }
    }

    /// Tokens, without an estimate of unreported use.
    pub(crate) fn level(&self) -> f64 {
        self.level
    }

    /// Sets the tokens that were granted to routers and are not reported as used.
    pub(crate) fn set_granted(&mut self, granted: f64) {
        self.granted = granted;
    }

    /// Available tokens, less the estimated unreported usage of other routers.
    pub(crate) fn available(
        &self,
        peer_tracker: &PeerTracker,
        conf: &QuotaConf,
        now: Instant,
    ) -> f64 {
        self.level - self.estimated_unreported(peer_tracker, conf, now)
    }

    /// Maximum level of the bucket. It includes a part of the overage margin so that delayed usage
    /// reports do not cause the refusal of requests that are within the quota.
    fn capacity(&self, conf: &QuotaConf) -> f64 {
        let report_tokens = self.quota.rate_per_s * conf.report_delay.as_secs_f64();
        (self.burst_capacity(conf).max(self.min_capacity(conf)) + report_tokens)
            * self.reachable_share
    }

    /// Tokens per second granted to all routers together.
    fn refill_rate(&self, conf: &QuotaConf) -> f64 {
        // Capacity in excess of the burst and margin is deducted from the rate.
        let excess_capacity = (self.min_capacity(conf) - self.burst_capacity(conf)).max(0.0);
        let steady_rate_tokens = STEADY_BURST_FRACTION * self.quota.burst - excess_capacity;
        self.quota.rate_per_s + steady_rate_tokens / conf.window.as_secs_f64()
    }

    fn burst_capacity(&self, conf: &QuotaConf) -> f64 {
        (1.0 - STEADY_BURST_FRACTION) * self.quota.burst
            + CAPACITY_MARGIN_FRACTION * self.margin(conf)
    }

    /// Without a minimum, a quota with neither burst nor margin would admit no request.
    fn min_capacity(&self, conf: &QuotaConf) -> f64 {
        MIN_CAPACITY_FRACTION * self.quota.rate_per_s * conf.window.as_secs_f64()
    }

    fn margin(&self, conf: &QuotaConf) -> f64 {
        conf.margin(self.quota.rate_per_s, self.quota.burst)
    }

    /// Refills the bucket up to `now` and updates the reserve for unreachable routers.
    pub(crate) fn update(
        &mut self,
        peer_tracker: &mut PeerTracker,
        conf: &QuotaConf,
        now: Instant,
    ) {
        self.refill(peer_tracker, conf, now);
        self.update_unreachable(peer_tracker, conf, now);
        let remaining = (1.0 - self.unreachable.values().sum::<f64>()).max(0.0);
        let share = match (peer_tracker.is_initialized(), self.unreachable.is_empty()) {
            (false, _) => 0.0,
            (true, true) => 1.0,
            (true, false) => remaining * PARTITION_FACTOR,
        };
        if share < self.reachable_share {
            let reserved = self.level.max(0.0) * (1.0 - share / self.reachable_share);
            self.level -= reserved;
            self.reserved += reserved;
        }
        self.reachable_share = share;
        self.release_reserved(conf, now);
    }

    fn refill(&mut self, peer_tracker: &PeerTracker, conf: &QuotaConf, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let filled = self.refill_rate(conf) * elapsed;
        // Usage before the current window does not count against the quota.
        let min_level = -self.refill_rate(conf) * conf.window.as_secs_f64();
        self.level = (self.level + filled * self.reachable_share)
            .clamp(min_level, self.capacity(conf) + self.granted);
        let unreachable =
            self.unreachable.iter().filter(|(index, _)| peer_tracker.has_reported(**index));
        let reserved_share: f64 = unreachable.map(|(_, share)| share).sum();
        let max_reserved = self.quota.burst + self.quota.rate_per_s * conf.window.as_secs_f64();
        self.reserved = (self.reserved + filled * reserved_share).min(max_reserved);
    }

    /// Reserves fractions of the quota for newly unreachable routers, based on their earlier usage.
    fn update_unreachable(
        &mut self,
        peer_tracker: &mut PeerTracker,
        conf: &QuotaConf,
        now: Instant,
    ) {
        let router_count = peer_tracker.router_count() as f64;
        let surge_factor = self.surge_factor(now);
        let unreachable = peer_tracker.unreachable(conf, now).to_vec();
        if !self.unreachable.is_empty() || !unreachable.is_empty() {
            self.unreachable.retain(|index, _| unreachable.contains(index));
            for index in &unreachable {
                if self.unreachable.contains_key(index) {
                    continue;
                }
                if let Some(peer) = self.peers.get_mut(index) {
                    peer.is_report_overdue = true;
                    let last_report = peer_tracker.last_report(*index).unwrap_or(now);
                    let timeout_s = conf.reach_timeout.as_secs_f64();
                    let estimated_usage =
                        peer.short_rate.at(last_report) * timeout_s * surge_factor;
                    self.level -= estimated_usage;
                    self.reserved += estimated_usage;
                }
                let share = match self.usage_shares[0].is_empty() {
                    true => 1.0 / router_count,
                    false => {
                        EQUAL_FRACTION / router_count
                            + self.usage_shares[0].get(index).unwrap_or(&0.0)
                    }
                };
                self.unreachable.insert(*index, share);
            }
        }
        if self.unreachable.is_empty()
            && conf.reach_timeout <= now.saturating_duration_since(self.usage_shares_updated)
        {
            self.usage_shares_updated = now;
            let shares = self.shares_by_usage(now);
            let [older, newer] = &mut self.usage_shares;
            *older = std::mem::replace(newer, shares);
        }
    }

    /// Fractions of the quota by recent usage; empty if there was none.
    fn shares_by_usage(&self, now: Instant) -> IndexMap<usize, f64> {
        let peers = self.peers.values().map(|peer| peer.long_rate.at(now));
        let total = self.own.long_rate.at(now) + peers.sum::<f64>();
        if total < f64::EPSILON {
            return IndexMap::new();
        }
        let share = |peer: &RouterUsage| (1.0 - EQUAL_FRACTION) * peer.long_rate.at(now) / total;
        self.peers.iter().map(|(index, peer)| (*index, share(peer))).collect()
    }

    /// Releases the reserve once all routers have been reachable for the timeout.
    fn release_reserved(&mut self, conf: &QuotaConf, now: Instant) {
        if !self.unreachable.is_empty() {
            self.all_reachable_since = None;
            return;
        }
        let since = *self.all_reachable_since.get_or_insert(now);
        if conf.reach_timeout <= now.saturating_duration_since(since) {
            let released = std::mem::take(&mut self.reserved);
            self.level = (self.level + released).min(self.capacity(conf) + self.granted);
        }
    }

    /// Estimated tokens that the reachable routers have used since their last reports.
    fn estimated_unreported(
        &self,
        peer_tracker: &PeerTracker,
        conf: &QuotaConf,
        now: Instant,
    ) -> f64 {
        let estimate = |(index, peer): (&usize, &RouterUsage)| {
            // After the timeout, a fraction of the quota is reserved for the router instead.
            let last_report = peer_tracker.last_report(*index)?;
            let age = now.saturating_duration_since(last_report);
            (age < conf.reach_timeout).then(|| peer.short_rate.at(last_report) * age.as_secs_f64())
        };
        self.peers.iter().filter_map(estimate).sum()
    }

    /// Ratio of the short-term to the long-term request rate at this router.
    fn surge_factor(&self, now: Instant) -> f64 {
        let long_term_rate = self.requested.long_rate.at(now);
        if long_term_rate < f64::EPSILON {
            return 1.0;
        }
        (self.requested.short_rate.at(now) / long_term_rate).clamp(1.0, MAX_SURGE_FACTOR)
    }

    /// Time until this many tokens are available if no other request takes any.
    pub(crate) fn time_until(
        &self,
        tokens: f64,
        peer_tracker: &PeerTracker,
        conf: &QuotaConf,
        now: Instant,
    ) -> Duration {
        let missing = tokens - self.available(peer_tracker, conf, now);
        let rate = (self.refill_rate(conf) * self.reachable_share).max(f64::EPSILON);
        let wait_s = missing.max(0.0) / rate;
        Duration::try_from_secs_f64(wait_s.min(MAX_RETRY_AFTER_S)).unwrap_or_default()
    }

    /// Estimates when the missing tokens will be available, assuming that previously refused
    /// callers retry first.
    fn retry_after(&mut self, cost: u64, missing: f64, conf: &QuotaConf, now: Instant) -> Duration {
        let peers: f64 = self.peers.values().map(|peer| peer.long_rate.at(now)).sum();
        let own = self.own.long_rate.at(now);
        let own_share = match own + peers {
            total if total < f64::EPSILON => 1.0,
            total => (own / total).max(1.0 / (self.peers.len() + 1) as f64),
        };
        let rate = (self.refill_rate(conf) * self.reachable_share).max(f64::EPSILON);
        let elapsed = now.saturating_duration_since(self.retry_backlog_updated).as_secs_f64();
        self.retry_backlog_updated = now;
        self.retry_backlog = (self.retry_backlog - elapsed * rate * own_share).max(0.0);
        let wait_s = missing.max(0.0) / rate + self.retry_backlog / (rate * own_share);
        self.retry_backlog += cost as f64;
        Duration::try_from_secs_f64(wait_s.min(MAX_RETRY_AFTER_S)).unwrap_or_default()
    }
}

/// Upper bound of `Retry-After`, in seconds.
const MAX_RETRY_AFTER_S: f64 = 60.0;
