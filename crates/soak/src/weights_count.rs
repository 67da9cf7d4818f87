//! What could be judged of prompts beside weights versions.

use std::time::Duration;

use crate::served_count::ServedCount;

/// Prompts that engines have begun, and requests that were served.
#[derive(Clone, Copy, Debug, Default)]
pub struct WeightsCount {
    /// Prompts that engines have begun.
    pub prompts: usize,
    /// Those of them on older weights than the newest.
    pub on_older: usize,
    /// Those of them that began later than the bound of a newer version.
    pub late: usize,
    /// Those of them that routers in touch have sent.
    pub late_in_touch: usize,
    /// The longest time beyond a bound of a prompt.
    pub max_excess: Duration,
    /// The longest time for which an engine kept weights beyond a bound.
    pub max_engine_excess: Duration,
    /// Prompts to calm routers while engines were well.
    pub calm: ServedCount,
    /// Prompts soon after all routers were killed.
    pub after_kills: ServedCount,
}
