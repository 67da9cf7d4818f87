//! Request and prompt token rates.

use crate::TeamLimit;

/// Request and prompt token rates of one team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TeamRate {
    /// Requests per second.
    pub(crate) requests: f64,
    /// Prompt tokens per second.
    pub(crate) tokens: f64,
}

impl TeamRate {
    /// The given fraction of a limit.
    pub(crate) fn fraction_of(limit: &TeamLimit, fraction: f64) -> TeamRate {
        TeamRate {
            requests: limit.requests_per_s * fraction,
            tokens: limit.prompt_tokens_per_s * fraction,
        }
    }

    /// Combines the rates pairwise with `combine`.
    pub(crate) fn zip(self, other: TeamRate, combine: impl Fn(f64, f64) -> f64) -> TeamRate {
        TeamRate {
            requests: combine(self.requests, other.requests),
            tokens: combine(self.tokens, other.tokens),
        }
    }

    pub(crate) fn plus(self, other: TeamRate) -> TeamRate {
        self.zip(other, |a, b| a + b)
    }

    /// Pairwise minimum.
    pub(crate) fn min(self, other: TeamRate) -> TeamRate {
        self.zip(other, f64::min)
    }

    pub(crate) fn times(self, factor: f64) -> TeamRate {
        TeamRate { requests: self.requests * factor, tokens: self.tokens * factor }
    }

    /// The larger of the two rates relative to `limit`.
    pub(crate) fn load_of(self, limit: &TeamLimit) -> f64 {
        let requests = self.requests / limit.requests_per_s;
        let tokens = self.tokens / limit.prompt_tokens_per_s;
        requests.max(tokens)
    }
}
