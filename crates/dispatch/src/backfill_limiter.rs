//! Rate limit for the backfill of cache events.
//!
//! Keeps a host that has just started from saturating its link, which would cut it off from
//! callers and other routers.

use std::time::Duration;

use tokio::time::Instant;

/// Share of the link's bandwidth available to backfills. Answers to callers and gossip take up to a third of
/// a link of 10 Mbit/s; the rest is left for uneven traffic.
const BACKFILL_SHARE: f64 = 0.25;
/// Delay before the first retry of a failed backfill read. It doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Upper bound of the retry delay. Engines that were unreachable report their caches within seconds.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(8_000);

/// Limits backfills to a share of the host's link, by the bytes received.
#[derive(Clone, Copy, Debug)]
pub struct BackfillLimiter {
    bytes_per_s: f64,
    available_at: Option<Instant>,
}

impl BackfillLimiter {
    /// Creates a limiter for a link of this bandwidth.
    pub fn new(link_bytes_per_s: f64) -> BackfillLimiter {
        BackfillLimiter { bytes_per_s: link_bytes_per_s * BACKFILL_SHARE, available_at: None }
    }

    /// Records received bytes, including those of failed reads.
    pub fn add(&mut self, bytes: usize, now: Instant) {
        let start = self.available_at.map_or(now, |at| at.max(now));
        self.available_at = Some(start + self.transfer_time(bytes));
    }

    /// Time until the next read may start.
    pub fn wait(&self, now: Instant) -> Duration {
        self.available_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Time that this many bytes take at the limited rate.
    pub fn transfer_time(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_s)
    }
}

/// Retry delay after this many failed backfill reads in a row. A failed read may have transferred
/// most of a page.
pub fn backfill_retry_delay(failures: u32) -> Duration {
    let exponent = failures.saturating_sub(1).min(u32::BITS - 1);
    MIN_RETRY_DELAY.saturating_mul(1 << exponent).min(MAX_RETRY_DELAY)
}
