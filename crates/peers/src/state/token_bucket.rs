//! Rate limit for the bytes that a host sends.

/// Maximum debt, in seconds of refill. Limits how long a full join response can block gossip.
const MAX_DEBT_S: u64 = 2;

/// A token bucket that may be overdrawn.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate_per_s: u64,
    burst: u64,
    available: i64,
    refilled_ms: u64,
}

impl TokenBucket {
    pub(crate) fn new(rate_per_s: u64, burst: u64, now_ms: u64) -> TokenBucket {
        TokenBucket { rate_per_s, burst, available: burst as i64, refilled_ms: now_ms }
    }

    pub(crate) fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        let added = elapsed_ms.saturating_mul(self.rate_per_s) / 1_000;
        self.available = (self.available.saturating_add(added as i64)).min(self.burst as i64);
        self.refilled_ms = now_ms;
    }

    pub(crate) fn available(&self) -> usize {
        usize::try_from(self.available).unwrap_or(0)
    }

    /// Bytes available above a reserve.
    pub(crate) fn available_above(&self, reserve: usize) -> usize {
        self.available().saturating_sub(reserve)
    }

    pub(crate) fn consume(&mut self, bytes: usize) {
        let max_debt = (MAX_DEBT_S * self.rate_per_s) as i64;
        self.available = (self.available - bytes as i64).max(-max_debt);
    }
}
