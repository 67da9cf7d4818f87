//! Requests and prompt tokens a second.

use crate::TeamLimit;

/// Requests and prompt tokens a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TeamRate {
    /// Requests a second.
    pub(crate) requests: f64,
    /// Prompt tokens a second.
    pub(crate) tokens: f64,
}

impl TeamRate {
    /// A part of a limit.
    pub(crate) fn part_of(limit: &TeamLimit, part: f64) -> TeamRate {
        TeamRate { requests: limit.requests_per_s * part, tokens: limit.prompt_tokens_per_s * part }
    }

    /// Works out both rates by the same rule.
    pub(crate) fn zip(self, other: TeamRate, rule: impl Fn(f64, f64) -> f64) -> TeamRate {
        TeamRate {
            requests: rule(self.requests, other.requests),
            tokens: rule(self.tokens, other.tokens),
        }
    }

    /// Both together.
    pub(crate) fn plus(self, other: TeamRate) -> TeamRate {
        self.zip(other, |one, two| one + two)
    }

    /// The lower of each.
    pub(crate) fn min(self, other: TeamRate) -> TeamRate {
        self.zip(other, f64::min)
    }

    /// Each times the factor.
    pub(crate) fn times(self, factor: f64) -> TeamRate {
        TeamRate { requests: self.requests * factor, tokens: self.tokens * factor }
    }

    /// The larger part that this is of a limit.
    pub(crate) fn load_of(self, limit: &TeamLimit) -> f64 {
        let requests = self.requests / limit.requests_per_s;
        let tokens = self.tokens / limit.prompt_tokens_per_s;
        requests.max(tokens)
    }
}
