//! How many second attempts a router may make.

use std::sync::Mutex;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;

use crate::lock::lock;
use crate::token_bucket::TokenBucket;

/// The operators' numbers for retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryConf {
    /// Retries allowed per first attempt, for example 0.1.
    pub share: f64,
    /// Retries a second that are allowed however low the traffic is.
    pub least_per_second: f64,
    /// Most retries that may be saved up.
    pub most_saved: f64,
}

impl Default for RetryConf {
    fn default() -> RetryConf {
        RetryConf { share: 0.1, least_per_second: 2.0, most_saved: 20.0 }
    }
}

/// Retries as a share of the traffic, for each priority apart.
///
/// With a count per request, a zone that fails every attempt multiplies its load just when it can
/// carry least. A share bounds the extra load of the whole router, whatever the requests do; a
/// budget for each class keeps retries of batch work from using up what urgent requests need.
#[derive(Debug)]
pub struct RetryBudget {
    conf: RetryConf,
    classes: Mutex<IndexMap<u8, TokenBucket>>,
}

/// The answer to a wish to try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryGrant {
    /// The attempt may be made, and is paid for.
    Allowed,
    /// The budget is spent: the request fails now.
    Spent {
        /// When the budget allows the next attempt if nobody else takes it.
        retry_after: Duration,
    },
}

impl RetryBudget {
    /// A budget that has its full saving for each class.
    pub fn new(conf: RetryConf) -> RetryBudget {
        RetryBudget { conf, classes: Mutex::new(IndexMap::new()) }
    }

    /// Counts a first attempt, which earns a share of a retry.
    pub fn first_attempt(&self, priority: u8, now: Instant) {
        self.with(priority, now, |bucket| bucket.put(self.conf.share));
    }

    /// Takes one retry from the class's budget.
    pub fn try_retry(&self, priority: u8, now: Instant) -> RetryGrant {
        self.with(priority, now, |bucket| {
            if !bucket.has(1.0, now) {
                return RetryGrant::Spent { retry_after: bucket.wait_for(1.0) };
            }
            bucket.take(1.0);
            RetryGrant::Allowed
        })
    }

    fn with<T>(&self, priority: u8, now: Instant, act: impl FnOnce(&mut TokenBucket) -> T) -> T {
        let conf = self.conf;
        let mut classes = lock(&self.classes);
        let bucket = classes
            .entry(priority)
            .or_insert_with(|| TokenBucket::full(conf.least_per_second, conf.most_saved, now));
        act(bucket)
    }
}
