//! A bound on the bytes that a host spends on news.

/// A token bucket that may be overdrawn once and then has to fill up again.
#[derive(Debug)]
pub(crate) struct ByteAllowance {
    rate_per_s: u64,
    burst: u64,
    left: i64,
    filled_ms: u64,
}

impl ByteAllowance {
    pub(crate) fn new(rate_per_s: u64, burst: u64, now_ms: u64) -> ByteAllowance {
        ByteAllowance { rate_per_s, burst, left: burst as i64, filled_ms: now_ms }
    }

    pub(crate) fn refill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.filled_ms);
        let earned = passed_ms.saturating_mul(self.rate_per_s) / 1_000;
        self.left = (self.left.saturating_add(earned as i64)).min(self.burst as i64);
        self.filled_ms = now_ms;
    }

    pub(crate) fn left(&self) -> usize {
        usize::try_from(self.left).unwrap_or(0)
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        self.left -= bytes as i64;
    }
}
