//! Token quota of a team over all routers.

/// Token quota of a team: a sustained rate and a burst.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamQuota {
    /// Tokens per second; greater than 0.
    pub rate_per_s: f64,
    /// Additional tokens that may be used at once after an idle period.
    pub burst: f64,
    /// How requests are counted against the quota.
    pub unit: QuotaUnit,
}

/// How a request is counted against a quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    Requests,
    /// A request counts as its prompt and output tokens.
    Tokens {
        /// Cost of a request that does not state its tokens.
        plain: u64,
    },
}

impl TeamQuota {
    /// Cost of a request. `tokens` is the sum of its prompt and output tokens, if stated.
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}
