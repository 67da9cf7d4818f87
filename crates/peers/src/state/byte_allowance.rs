//! A bound on the bytes that a host spends on news.

/// Seconds of income by which it may be overdrawn. A newcomer's welcome is paid for in part only, or
/// the host that gives it would have no say for a long time after.
const DEBT_S: u64 = 2;

/// A token bucket that may be overdrawn and then has to fill up again.
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

    /// What is left beyond a reserve.
    pub(crate) fn left_beyond(&self, reserve: usize) -> usize {
        self.left().saturating_sub(reserve)
    }

    pub(crate) fn spend(&mut self, bytes: usize) {
        let most_debt = (DEBT_S * self.rate_per_s) as i64;
        self.left = (self.left - bytes as i64).max(-most_debt);
    }
}
