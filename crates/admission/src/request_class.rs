//! The class of one request.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::ClassConf;

/// The longest time that a caller may ask to wait; it bounds how long a place in a queue is held.
const LONGEST_DEADLINE: Duration = Duration::from_secs(600);

/// The class of one request with its own deadline.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// The class.
    pub conf: Arc<ClassConf>,
    /// When the first token is due.
    pub deadline: Instant,
}

impl RequestClass {
    /// Starts the clock of a request that arrived at `arrived`; `asked` is the caller's `x-deadline-ms`.
    pub fn begin(conf: &Arc<ClassConf>, arrived: Instant, asked: Option<Duration>) -> RequestClass {
        let wait = asked.unwrap_or(conf.deadline).min(LONGEST_DEADLINE);
        RequestClass { conf: Arc::clone(conf), deadline: arrived + wait }
    }
}
