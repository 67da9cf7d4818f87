//! Retry budget of a router.

use std::sync::Mutex;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::lock::lock;
use crate::token_bucket::TokenBucket;

/// Settings of the retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryConf {
    /// Retries allowed per first attempt, for example 0.1.
    pub share: f64,
    /// Minimum retries per second, independent of traffic.
    pub min_per_second: f64,
    /// Maximum unused retries that accumulate.
    pub max_accumulated: f64,
}

impl Default for RetryConf {
    fn default() -> RetryConf {
        RetryConf { share: 0.1, min_per_second: 2.0, max_accumulated: 20.0 }
    }
}

/// Limits retries to a share of the traffic, separately for each priority.
///
/// Unlike a limit per request, this bounds the router's additional load when every attempt fails.
/// Retries of batch requests cannot use up the budget of urgent ones.
#[derive(Debug)]
pub struct RetryBudget {
    conf: RetryConf,
    buckets: Mutex<IndexMap<u8, TokenBucket>>,
}

/// Decision on a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryGrant {
    /// The retry may be made and has been charged to the budget.
    Allowed,
    /// The budget is exhausted: the request fails.
    Exhausted {
        /// Time until the budget allows another retry.
        retry_after: Duration,
    },
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(conf: RetryConf) -> RetryBudget {
        RetryBudget { conf, buckets: Mutex::new(IndexMap::new()) }
    }

    /// Adds the share for one first attempt to the budget.
    pub fn first_attempt(&self, priority: u8, now: Instant) {
        self.with_bucket(priority, now, |bucket| bucket.add(self.conf.share));
    }

    /// Charges one retry to the budget of this priority.
    pub fn try_retry(&self, priority: u8, now: Instant) -> RetryGrant {
        self.with_bucket(priority, now, |bucket| {
            if !bucket.can_take(1.0, now) {
                return RetryGrant::Exhausted { retry_after: bucket.wait_for(1.0) };
            }
            bucket.take(1.0);
            RetryGrant::Allowed
        })
    }

    fn with_bucket<T>(
        &self,
        priority: u8,
        now: Instant,
        action: impl FnOnce(&mut TokenBucket) -> T,
    ) -> T {
        let conf = self.conf;
        let mut buckets = lock(&self.buckets);
        let bucket = buckets
            .entry(priority)
            .or_insert_with(|| TokenBucket::full(conf.min_per_second, conf.max_accumulated, now));
        action(bucket)
    }
}
