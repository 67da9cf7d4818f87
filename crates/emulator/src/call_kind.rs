//! The kinds of requests that are played.

use std::time::Duration;

/// A kind of streamed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// A long prompt whose beginning others share, with a short answer. It may run once.
    Review,
    /// A short prompt. It may run twice.
    Lookup,
}

/// What is known of a kind. Figures are those of the users' sheet for their third deployment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindSpec {
    /// Requests a second at the full load of the busiest day.
    pub(crate) rate: f64,
    /// Worth of a request of mean size, answered in time and late.
    pub(crate) worth: f64,
    pub(crate) late_worth: f64,
    /// First event, at the latest.
    pub(crate) aim: Duration,
    pub(crate) timeout: Duration,
    /// Shared parts that there are, and the mean of their tokens.
    pub(crate) records: u64,
    pub(crate) shared_tokens: f64,
    /// Mean of the prompt's own tokens, the spread of their logarithm, and the most.
    pub(crate) own_tokens: f64,
    pub(crate) own_spread: f64,
    pub(crate) most_own: f64,
    /// Mean of the tokens that are generated.
    pub(crate) output_tokens: f64,
    pub(crate) attempts: u32,
}

impl CallKind {
    /// All kinds.
    pub const ALL: [CallKind; 2] = [CallKind::Review, CallKind::Lookup];

    pub(crate) fn spec(self) -> KindSpec {
        match self {
            CallKind::Review => KindSpec {
                rate: 32.0,
                worth: 15.0,
                late_worth: 4.4,
                aim: Duration::from_millis(800),
                timeout: Duration::from_secs(10),
                records: 300,
                shared_tokens: 13_300.0,
                own_tokens: 3_720.0,
                own_spread: 1.1,
                most_own: 53_200.0,
                output_tokens: 120.0,
                attempts: 1,
            },
            CallKind::Lookup => KindSpec {
                rate: 259.0,
                worth: 1.4,
                late_worth: 0.43,
                aim: Duration::from_millis(400),
                timeout: Duration::from_secs(5),
                records: 814,
                shared_tokens: 92.0,
                own_tokens: 291.0,
                own_spread: 1.1,
                most_own: 1_830.0,
                output_tokens: 45.0,
                attempts: 2,
            },
        }
    }
}
