//! In which order waiting prompts go to engines.
//!
//! Answers loads that exceed what engines read in time: each token that is read should earn as much as
//! it can. A prompt whose shared parts an engine has costs a fifth of one that is read whole, and earns
//! as much.

use std::cmp::Ordering;

use tokio::time::Instant;

use crate::CallFacts;
use crate::admission::is_late;
use crate::experiment::Mechanism;
use crate::experiment::is_on;

/// What a prompt earns whatever its size, as a share of the mean.
const BASE_EARNING: f64 = 0.3;
/// And by its size against the mean size of those that wait.
const SIZE_EARNING: f64 = 0.7;

/// A waiting prompt's place. The least goes first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct WorkOrder {
    is_late: bool,
    priority: u8,
    /// Tokens read for each unit that is earned.
    price: f64,
    arrived: Instant,
}

impl WorkOrder {
    /// The place of a call that has so many tokens read, among calls of this mean size.
    pub(crate) fn of(
        call: &CallFacts,
        read_tokens: f64,
        mean_tokens: f64,
        now: Instant,
    ) -> WorkOrder {
        let size = f64::from(call.prompt_tokens()) / mean_tokens.max(1.0);
        let price = match is_on(Mechanism::EarningOrder) {
            true => read_tokens / (BASE_EARNING + SIZE_EARNING * size),
            false => 0.0,
        };
        let (is_late, priority) = (is_late(call, now), call.priority);
        WorkOrder { is_late, priority, price, arrived: call.arrived }
    }

    /// Compares two places.
    pub(crate) fn compare(&self, other: &WorkOrder) -> Ordering {
        let ranks = (self.is_late, self.priority).cmp(&(other.is_late, other.priority));
        let prices = || self.price.total_cmp(&other.price);
        ranks.then_with(prices).then_with(|| self.arrived.cmp(&other.arrived))
    }
}
