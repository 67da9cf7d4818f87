//! The quota of a team over all routers.

/// Tokens that a team may use: `rate_per_s` all the time, and `burst` at once after it was idle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamQuota {
    /// Tokens a second; above 0.
    pub rate_per_s: f64,
    /// Tokens that may be saved up.
    pub burst: f64,
    /// How requests are counted.
    pub unit: QuotaUnit,
}

/// How a request is counted against a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt and output tokens.
    Tokens {
        /// What a request counts as that does not state its tokens.
        plain: u64,
    },
}

impl TeamQuota {
    /// What a request costs. `tokens` is the sum of its prompt and output tokens, if it states them.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}
