//! Retry budget: limits how many retries this router sends to each service.

use std::time::Duration;

use fulmargate_names::ServiceName;
use indexmap::IndexMap;
use tokio::time::Instant;

/// Number of buckets in the sliding window.
const BUCKETS: usize = 20;
/// Share of the allowance that is used. The window moves in steps of a bucket, and a first send counts even if
/// it does not reach a server.
const SAFETY_FACTOR: f64 = 0.7;

/// Retry allowance per service, for all routers together.
#[derive(Clone, Copy, Debug)]
pub struct RetryConf {
    /// Retries allowed per first send.
    pub ratio: f64,
    /// Additional retries allowed in a window.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

/// Counts of one service, in a ring of buckets.
#[derive(Clone, Debug, Default)]
struct ServiceCounts {
    first_sends: [u32; BUCKETS],
    retries: [u32; BUCKETS],
    /// Number of the latest bucket since the start.
    bucket: u64,
}

/// Limits retries to a share of this router's own traffic.
///
/// A retry limit per call would multiply the load on a service that fails every request. Each router gets the
/// ratio of its own first sends and an equal share of the slack, so that all routers together keep to the
/// allowance. A new process does not know what its predecessor spent, and gets no slack in its first window.
#[derive(Debug)]
pub struct RetryBudget {
    conf: RetryConf,
    started_at: Instant,
    hosts: usize,
    services: IndexMap<ServiceName, ServiceCounts>,
}

impl RetryBudget {
    /// Creates the budget of a process that starts now.
    pub fn new(conf: RetryConf, now: Instant) -> RetryBudget {
        RetryBudget { conf, started_at: now, hosts: 0, services: IndexMap::new() }
    }

    /// Sets the number of routers that share the slack. Zero, for unknown, allows no slack.
    pub fn set_hosts(&mut self, hosts: usize) {
        self.hosts = hosts;
    }

    /// Records the first send of a call.
    pub fn record_first_send(&mut self, service: &ServiceName, now: Instant) {
        let bucket = self.bucket(now);
        let counts = self.counts(service, bucket);
        counts.first_sends[(bucket % BUCKETS as u64) as usize] += 1;
    }

    /// Spends one retry if the budget allows it.
    pub fn try_retry(&mut self, service: &ServiceName, now: Instant) -> bool {
        let is_allowed = self.allows_retry(service, now);
        if is_allowed {
            let bucket = self.bucket(now);
            self.counts(service, bucket).retries[(bucket % BUCKETS as u64) as usize] += 1;
        }
        is_allowed
    }

    /// Whether the budget allows a retry.
    pub fn allows_retry(&mut self, service: &ServiceName, now: Instant) -> bool {
        let ratio = self.conf.ratio * SAFETY_FACTOR;
        let slack = self.slack(now);
        let bucket = self.bucket(now);
        let counts = self.counts(service, bucket);
        let first_sends: u32 = counts.first_sends.iter().sum();
        let retries: u32 = counts.retries.iter().sum();
        f64::from(retries + 1) <= ratio * f64::from(first_sends) + slack
    }

    fn slack(&self, now: Instant) -> f64 {
        let is_new = now.saturating_duration_since(self.started_at) < self.conf.window;
        if is_new || self.hosts == 0 {
            return 0.0;
        }
        self.conf.slack * SAFETY_FACTOR / self.hosts as f64
    }

    fn bucket(&self, now: Instant) -> u64 {
        let bucket_ms = self.conf.window.as_millis().max(BUCKETS as u128) / BUCKETS as u128;
        (now.saturating_duration_since(self.started_at).as_millis() / bucket_ms) as u64
    }

    /// Returns the counts of a service after moving its ring forward to `bucket`.
    fn counts(&mut self, service: &ServiceName, bucket: u64) -> &mut ServiceCounts {
        let counts = self.services.entry(service.clone()).or_default();
        let elapsed = bucket.saturating_sub(counts.bucket).min(BUCKETS as u64);
        for step in 1..=elapsed {
            let index = ((counts.bucket + step) % BUCKETS as u64) as usize;
            counts.first_sends[index] = 0;
            counts.retries[index] = 0;
        }
        if BUCKETS as u64 <= bucket.saturating_sub(counts.bucket) {
            counts.first_sends = [0; BUCKETS];
            counts.retries = [0; BUCKETS];
        }
        counts.bucket = bucket;
        counts
    }
}
