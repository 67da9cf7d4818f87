//! Classes of traffic.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The class of traffic that somebody waits for; every document has it.
pub const URGENT_CLASS: &str = "urgent";
/// The class of traffic that may wait; every document has it.
pub const BATCH_CLASS: &str = "batch";

/// How one class of traffic is queued and what its placement weighs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassEntry {
    /// 0 is the most urgent; passed on to engines.
    pub priority: u8,
    /// Milliseconds from arrival to the first token, unless the caller asks for less.
    pub deadline_ms: u64,
    /// Requests of the class that one router lets wait.
    pub queue_limit: u32,
    /// Weight of the estimated time to the first token in the cost of a placement.
    pub weight_ttft: f64,
    /// Weight of the prompt tokens to be computed again in the cost of a placement.
    pub weight_recompute: f64,
}

impl ClassEntry {
    /// The deadline as a duration.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}
