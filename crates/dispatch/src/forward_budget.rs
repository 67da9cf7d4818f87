//! Bandwidth budget for the records that a router forwards to others.

use tokio::time::Instant;

use crate::StoreAccess;

/// Long-term share of the host's link. Answers to callers and gossip need the rest: with 91 hosts they take 14% of
/// a link of 10 Mbit/s at the median, and 28% at one host in twenty.
const LINK_SHARE: f64 = 0.25;
/// Burst size, in seconds of the link's bandwidth. Together with the overdraft for small answers it
/// must stay below the shortest connection timeout, 150 ms, since other traffic queues behind it.
const BURST_SECONDS: f64 = 0.05;
/// Overdraft for small answers, in seconds of the link's bandwidth. It lets all hosts of a large
/// zone fetch the same small update at once over a link of 10 Mbit/s.
const OVERDRAFT_SECONDS: f64 = 0.05;
/// Largest small answer. A usual page of changes to the server list stays below this.
const MAX_SMALL_ANSWER_BYTES: usize = 16 * 1024;

/// Token bucket for the records that other hosts request.
///
/// All hosts of a zone request a new configuration from their zone reader at once, which could
/// saturate the reader's link. A host that is refused reads the store directly.
///
/// A host that cannot reach the store gets small answers at any time, and a large one whenever the
/// budget is not overdrawn, even if it exceeds the budget.
#[derive(Debug)]
pub struct ForwardBudget {
    link_bytes_per_s: f64,
    /// Negative while overdrawn.
    available_bytes: f64,
    refilled_at: Instant,
}

impl ForwardBudget {
    /// Creates a full budget for a host with this link bandwidth.
    pub fn new(link_bytes_per_s: f64, now: Instant) -> ForwardBudget {
        ForwardBudget {
            link_bytes_per_s,
            available_bytes: link_bytes_per_s * BURST_SECONDS,
            refilled_at: now,
        }
    }

    /// Takes the bytes of an answer if it may be sent now. An answer without records, which
    /// confirms that there is nothing new, always may.
    pub fn try_take(&mut self, bytes: usize, store: StoreAccess, now: Instant) -> bool {
        self.refill(now);
        let is_allowed = bytes == 0 || self.is_allowed(bytes, store);
        if is_allowed {
            self.available_bytes -= bytes as f64;
        }
        is_allowed
    }

    /// Bytes that may be sent now; negative while overdrawn.
    pub fn available_bytes(&self) -> i64 {
        self.available_bytes as i64
    }

    fn is_allowed(&self, bytes: usize, store: StoreAccess) -> bool {
        let is_small = bytes <= MAX_SMALL_ANSWER_BYTES;
        let remaining = self.available_bytes - bytes as f64;
        match store {
            StoreAccess::Reachable if is_small => {
                -self.link_bytes_per_s * OVERDRAFT_SECONDS <= remaining
            }
            StoreAccess::Reachable => 0.0 <= remaining,
            StoreAccess::Unreachable => is_small || 0.0 <= self.available_bytes,
        }
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let max_bytes = self.link_bytes_per_s * BURST_SECONDS;
        self.available_bytes =
            (self.available_bytes + self.link_bytes_per_s * LINK_SHARE * elapsed).min(max_bytes);
        self.refilled_at = self.refilled_at.max(now);
    }
}
