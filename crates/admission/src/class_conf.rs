//! A class of requests.

use std::sync::Arc;
use std::time::Duration;

/// What operators set for one class of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassConf {
    /// The class's name, as rules and metrics give it.
    pub name: Arc<str>,
    /// 0 is the most urgent; a lower number always leaves a queue first.
    pub priority: u8,
    /// Time until the first token, from arrival, unless the caller asks for another.
    pub deadline: Duration,
    /// Most requests of this priority that may wait at one backend server's gate.
    pub queue_limit: usize,
}
