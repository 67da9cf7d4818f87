//! Configuration of a request class.

use std::sync::Arc;
use std::time::Duration;

/// Settings of a request class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassConf {
    /// Name used in rules and metrics.
    pub name: Arc<str>,
    /// Priority; 0 is the most urgent. Requests with a lower number always leave a queue first.
    pub priority: u8,
    /// Default time from arrival to the first token. Callers may request another.
    pub deadline: Duration,
    /// Maximum number of requests of this priority queued for one backend server.
    pub queue_limit: usize,
}
