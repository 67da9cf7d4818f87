//! One team's quota as one router sees it.

use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::QuotaConf;
use crate::TeamQuota;
use crate::quota_reach::QuotaReach;
use crate::use_rate::UseRate;

/// What is expected of other routers since their last reports rests on so much of their use.
const SHORT_SPAN: Duration = Duration::from_millis(250);
/// Parts of a quota rest on so much use.
const LONG_SPAN: Duration = Duration::from_secs(4);
/// The part of a quota that routers share equally whatever their use.
const EQUAL_PART: f64 = 0.1;
/// The sides of a cut know each other's use up to different moments, so that their parts may sum up to more
/// than the whole. Each takes this share of its part.
const CUT_SHARE: f64 = 0.93;
/// A surge at this router is taken for one at all of them, up to this factor.
const MOST_SURGE: f64 = 8.0;
/// The share of the bound's margin for use that no report has covered yet.
const MARGIN_SHARE: f64 = 0.2;
/// The share of the margin that may be saved up beside the burst.
const DEPTH_SHARE: f64 = 0.3;
/// A bucket holds this share of what the rate grants in a window at least.
const LEAST_DEPTH_SHARE: f64 = 1.0 / 16.0;
/// The share of a burst that is granted evenly over each window, beside the rate. The bound of a window is
/// the same, steady use comes closer to it, and less is spent before routers know of each other's use.
const EVEN_SHARE: f64 = 0.75;

/// A token bucket that all routers fill at the same rate and empty by each other's reports.
#[derive(Debug)]
pub(crate) struct QuotaBucket {
    pub(crate) quota: TeamQuota,
    /// Tokens left; negative after more was used than there was.
    level: f64,
    updated: Instant,
    /// The part of the quota that this router shares with those in reach.
    share: f64,
    /// Tokens kept for routers that have fallen out of reach.
    withheld: f64,
    /// All routers have been in reach since.
    whole_since: Option<Instant>,
    own: RouterUse,
    /// Tokens that were asked for here, refused ones included.
    asked: RouterUse,
    peers: IndexMap<usize, RouterUse>,
    /// Routers out of reach, with the parts of the quota that are kept for them.
    lost: IndexMap<usize, f64>,
    /// Parts by use, the present ones and those before them.
    parts: [IndexMap<usize, f64>; 2],
    parted: Instant,
    /// Tokens promised to callers that were refused.
    promised: f64,
    promised_at: Instant,
    /// Tokens that were admitted here and ran nowhere.
    credit: f64,
    /// The part of `own.total` that reports have covered.
    reported: u64,
}

#[derive(Debug)]
struct RouterUse {
    total: u64,
    short: UseRate,
    long: UseRate,
    /// It was out of reach, and what it used then is not reported yet.
    is_late: bool,
}

/// The outcome of a request for tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum BucketAnswer {
    Admitted,
    Refused { retry_after: Duration },
}

impl RouterUse {
    fn new(now: Instant) -> RouterUse {
        let (short, long) = (UseRate::new(SHORT_SPAN, now), UseRate::new(LONG_SPAN, now));
        RouterUse { total: 0, short, long, is_late: false }
    }

    fn add(&mut self, tokens: u64, now: Instant) {
        self.total += tokens;
        self.short.add(tokens as f64, now);
        self.long.add(tokens as f64, now);
    }
}

impl QuotaBucket {
    /// A bucket with this level.
    pub(crate) fn new(quota: TeamQuota, level: f64, now: Instant) -> QuotaBucket {
        QuotaBucket {
            quota,
            level,
            updated: now,
            share: 1.0,
            withheld: 0.0,
            whole_since: None,
            own: RouterUse::new(now),
            asked: RouterUse::new(now),
            peers: IndexMap::new(),
            lost: IndexMap::new(),
            parts: Default::default(),
            parted: now,
            promised: 0.0,
            promised_at: now,
            credit: 0.0,
            reported: 0,
        }
    }

    /// Puts another quota in force. Debts keep their time to be repaid.
    pub(crate) fn set_quota(&mut self, quota: TeamQuota) {
        if quota.rate_per_s < self.quota.rate_per_s && self.level < 0.0 {
            self.level *= quota.rate_per_s / self.quota.rate_per_s;
        }
        self.withheld = self.withheld.min(quota.burst);
        self.level = self.level.min(quota.burst);
        self.quota = quota;
    }

    /// Takes tokens, or says when they will be there.
    pub(crate) fn admit(
        &mut self,
        cost: u64,
        reach: &mut QuotaReach,
        conf: &QuotaConf,
        now: Instant,
    ) -> BucketAnswer {
        self.renew(reach, conf, now);
        let surge = self.surge(now);
        self.asked.add(cost, now);
        let needed = (cost as f64).min(self.depth(conf));
        let expected = self.expected(reach, conf, now);
        let margin = MARGIN_SHARE * self.margin(conf);
        let left = self.level - expected;
        let surging = (surge - 1.0) * expected;
        if 0.0 < self.share && needed <= left && needed <= left - surging + margin {
            self.charge(cost, now);
            return BucketAnswer::Admitted;
        }
        BucketAnswer::Refused { retry_after: self.promise(cost, needed - left, conf, now) }
    }

    /// Counts tokens of a request that may run a second time.
    pub(crate) fn charge(&mut self, cost: u64, now: Instant) {
        self.level -= cost as f64;
        let from_credit = self.credit.min(cost as f64);
        self.credit -= from_credit;
        self.own.add(cost - from_credit as u64, now);
    }

    /// Gives back what a request took that ran nowhere. Totals only grow, so that the next requests are
    /// counted against it.
    pub(crate) fn give_back(&mut self, cost: u64, conf: &QuotaConf) {
        self.level = (self.level + cost as f64).min(self.depth(conf));
        self.credit += cost as f64;
    }

    /// Tokens of this router since its start, and those that were not reported yet.
    pub(crate) fn take_report(&mut self) -> (u64, u64) {
        let fresh = self.own.total - self.reported;
        self.reported = self.own.total;
        (self.own.total, fresh)
    }

    /// A router has reported its total.
    pub(crate) fn report(
        &mut self,
        number: usize,
        total: u64,
        fresh: u64,
        reach: &mut QuotaReach,
        conf: &QuotaConf,
        now: Instant,
    ) {
        self.renew(reach, conf, now);
        let is_known = self.peers.contains_key(&number);
        let peer = self.peers.entry(number).or_insert_with(|| RouterUse::new(now));
        let used = match is_known {
            true => total.saturating_sub(peer.total),
            false => fresh.min(total),
        };
        peer.total = peer.total.max(total);
        if used == 0 {
            return;
        }
        let was_late = std::mem::take(&mut peer.is_late);
        // What a router used over some time is no rate of this moment.
        match was_late {
            true => peer.long.add(0.0, now),
            false => {
                peer.short.add(used as f64, now);
                peer.long.add(used as f64, now);
            }
        }
        let kept = if was_late { self.withheld.min(used as f64) } else { 0.0 };
        self.withheld -= kept;
        self.level -= used as f64 - kept;
    }

    /// A router has started again: its totals begin at zero.
    pub(crate) fn restarted(&mut self, number: usize) {
        if let Some(peer) = self.peers.get_mut(&number) {
            peer.total = 0;
        }
    }

    /// Tokens left, less what other routers are expected to have used since their last reports.
    pub(crate) fn left(&self, reach: &QuotaReach, conf: &QuotaConf, now: Instant) -> f64 {
        self.level - self.expected(reach, conf, now)
    }

    /// Tokens that may be saved up by the routers in reach. Part of the bound's margin is added: what others
    /// use is known late, and a request below the quota must not be refused for that.
    fn depth(&self, conf: &QuotaConf) -> f64 {
        self.saved(conf).max(self.least_depth(conf)) * self.share
    }

    /// Tokens a second that all routers together may use.
    fn pace(&self, conf: &QuotaConf) -> f64 {
        // What the bucket holds beyond the burst and the margin is taken from the rate.
        let beyond = (self.least_depth(conf) - self.saved(conf)).max(0.0);
        let even = EVEN_SHARE * self.quota.burst - beyond;
        self.quota.rate_per_s + even / conf.window.as_secs_f64()
    }

    fn saved(&self, conf: &QuotaConf) -> f64 {
        (1.0 - EVEN_SHARE) * self.quota.burst + DEPTH_SHARE * self.margin(conf)
    }

    /// Without a burst and a margin a bucket would hold no request at all.
    fn least_depth(&self, conf: &QuotaConf) -> f64 {
        LEAST_DEPTH_SHARE * self.quota.rate_per_s * conf.window.as_secs_f64()
    }

    fn margin(&self, conf: &QuotaConf) -> f64 {
        conf.margin(self.quota.rate_per_s, self.quota.burst)
    }

    /// Fills the bucket up to this moment.
    fn renew(&mut self, reach: &mut QuotaReach, conf: &QuotaConf, now: Instant) {
        self.fill(reach, conf, now);
        self.part(reach, conf, now);
        let part = (1.0 - self.lost.values().sum::<f64>()).max(0.0);
        let share = match (reach.is_complete(), self.lost.is_empty()) {
            (false, _) => 0.0,
            (true, true) => 1.0,
            (true, false) => part * CUT_SHARE,
        };
        if share < self.share {
            let kept = self.level.max(0.0) * (1.0 - share / self.share);
            self.level -= kept;
            self.withheld += kept;
        }
        self.share = share;
        self.release(conf, now);
    }

    fn fill(&mut self, reach: &QuotaReach, conf: &QuotaConf, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let filled = self.pace(conf) * passed;
        // An older debt than the window has no bearing on the bound.
        let least = -self.pace(conf) * conf.window.as_secs_f64();
        self.level = (self.level + filled * self.share).clamp(least, self.depth(conf));
        let parts = self.lost.iter().filter(|(number, _)| reach.was_seen(**number));
        let kept: f64 = parts.map(|(_, part)| part).sum();
        let most = self.quota.burst + self.quota.rate_per_s * conf.window.as_secs_f64();
        self.withheld = (self.withheld + filled * kept).min(most);
    }

    /// Keeps parts for routers that have fallen out of reach, by the use of before that.
    fn part(&mut self, reach: &mut QuotaReach, conf: &QuotaConf, now: Instant) {
        let count = reach.count() as f64;
        let surge = self.surge(now);
        let lost = reach.lost(conf, now).to_vec();
        if !self.lost.is_empty() || !lost.is_empty() {
            self.lost.retain(|number, _| lost.contains(number));
            for number in &lost {
                if self.lost.contains_key(number) {
                    continue;
                }
                if let Some(peer) = self.peers.get_mut(number) {
                    peer.is_late = true;
                    let seen = reach.last_seen(*number).unwrap_or(now);
                    let timeout_s = conf.reach_timeout.as_secs_f64();
                    let unreported = peer.short.at(seen) * timeout_s * surge;
                    self.level -= unreported;
                    self.withheld += unreported;
                }
                let part = match self.parts[0].is_empty() {
                    true => 1.0 / count,
                    false => EQUAL_PART / count + self.parts[0].get(number).unwrap_or(&0.0),
                };
                self.lost.insert(*number, part);
            }
        }
        if self.lost.is_empty() && conf.reach_timeout <= now.saturating_duration_since(self.parted)
        {
            self.parted = now;
            let parts = self.parts_by_use(now);
            let [older, newer] = &mut self.parts;
            *older = std::mem::replace(newer, parts);
        }
    }

    /// Parts of those that used something lately; none where nobody did.
    fn parts_by_use(&self, now: Instant) -> IndexMap<usize, f64> {
        let peers = self.peers.values().map(|peer| peer.long.at(now));
        let all = self.own.long.at(now) + peers.sum::<f64>();
        if all < f64::EPSILON {
            return IndexMap::new();
        }
        let part = |peer: &RouterUse| (1.0 - EQUAL_PART) * peer.long.at(now) / all;
        self.peers.iter().map(|(number, peer)| (*number, part(peer))).collect()
    }

    /// What was kept for routers that are back, and was not used by them.
    fn release(&mut self, conf: &QuotaConf, now: Instant) {
        if !self.lost.is_empty() {
            self.whole_since = None;
            return;
        }
        let since = *self.whole_since.get_or_insert(now);
        if conf.reach_timeout <= now.saturating_duration_since(since) {
            let released = std::mem::take(&mut self.withheld);
            self.level = (self.level + released).min(self.depth(conf));
        }
    }

    /// What routers in reach are expected to have used since their last reports.
    fn expected(&self, reach: &QuotaReach, conf: &QuotaConf, now: Instant) -> f64 {
        let expected = |(number, peer): (&usize, &RouterUse)| {
            // Its silence says nothing of its use; from the timeout on a part is kept for it.
            let seen = reach.last_seen(*number)?;
            let age = now.saturating_duration_since(seen);
            (age < conf.reach_timeout).then(|| peer.short.at(seen) * age.as_secs_f64())
        };
        self.peers.iter().filter_map(expected).sum()
    }

    /// How much more this router is asked for now than usually.
    fn surge(&self, now: Instant) -> f64 {
        let usual = self.asked.long.at(now);
        if usual < f64::EPSILON {
            return 1.0;
        }
        (self.asked.short.at(now) / usual).clamp(1.0, MOST_SURGE)
    }

    /// When tokens that are missing will be there, behind those that were promised before.
    fn promise(&mut self, cost: u64, missing: f64, conf: &QuotaConf, now: Instant) -> Duration {
        let peers: f64 = self.peers.values().map(|peer| peer.long.at(now)).sum();
        let own = self.own.long.at(now);
        let own_part = match own + peers {
            all if all < f64::EPSILON => 1.0,
            all => (own / all).max(1.0 / (self.peers.len() + 1) as f64),
        };
        let rate = (self.pace(conf) * self.share).max(f64::EPSILON);
        let passed = now.saturating_duration_since(self.promised_at).as_secs_f64();
        self.promised_at = now;
        self.promised = (self.promised - passed * rate * own_part).max(0.0);
        let wait_s = missing.max(0.0) / rate + self.promised / (rate * own_part);
        self.promised += cost as f64;
        Duration::try_from_secs_f64(wait_s.min(LONGEST_WAIT_S)).unwrap_or_default()
    }
}

/// The longest `Retry-After`, in seconds.
const LONGEST_WAIT_S: f64 = 60.0;
