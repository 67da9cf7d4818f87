//! Order in which queued prompts go to engines.
//!
//! Timely prompts go before late ones, then more urgent priorities first, then prompts with the fewest tokens to
//! prefill per unit of value. The value grows with the prompt's size, including its cached prefix.

use std::cmp::Ordering;

use tokio::time::Instant;

use crate::CallFacts;
use crate::admission::is_late;
use crate::experiment::Mechanism;
use crate::experiment::is_enabled;

/// Constant part of a prompt's value.
const BASE_VALUE: f64 = 0.3;
/// Part of the value that is multiplied by the prompt's size relative to the mean size.
const SIZE_VALUE: f64 = 0.7;

/// Sort key of a queued prompt. The lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QueuePriority {
    is_late: bool,
    priority: u8,
    /// Prefilled tokens for each unit of value.
    cost_per_value: f64,
    arrived: Instant,
}

impl QueuePriority {
    /// Sort key of a call with this number of tokens to prefill, in a queue with this mean prompt
    /// size.
    pub(crate) fn of(
        call: &CallFacts,
        prefill_tokens: f64,
        mean_tokens: f64,
        now: Instant,
    ) -> QueuePriority {
        let relative_size = f64::from(call.prompt_tokens()) / mean_tokens.max(1.0);
        let cost_per_value = match is_enabled(Mechanism::EarningOrder) {
            true => prefill_tokens / (BASE_VALUE + SIZE_VALUE * relative_size),
            false => 0.0,
        };
        let (is_late, priority) = (is_late(call, now), call.priority);
        QueuePriority { is_late, priority, cost_per_value, arrived: call.arrived }
    }

    pub(crate) fn compare(&self, other: &QueuePriority) -> Ordering {
        let classes = (self.is_late, self.priority).cmp(&(other.is_late, other.priority));
        let costs = || self.cost_per_value.total_cmp(&other.cost_per_value);
        classes.then_with(costs).then_with(|| self.arrived.cmp(&other.arrived))
    }
}
