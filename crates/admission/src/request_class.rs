//! Class and deadline of a request.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::ClassConf;

/// Maximum deadline that a caller may request. It limits how long a request can occupy a queue
/// slot.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Class and deadline of a request.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Settings of the class.
    pub conf: Arc<ClassConf>,
    /// When the first token is due.
    pub deadline: Instant,
}

impl RequestClass {
    /// Computes the deadline of a request that arrived at `arrived`. `requested` is the value of
    /// the caller's `x-deadline-ms` header.
    pub fn begin(
        conf: &Arc<ClassConf>,
        arrived: Instant,
        requested: Option<Duration>,
    ) -> RequestClass {
        let timeout = requested.unwrap_or(conf.deadline).min(MAX_DEADLINE);
        RequestClass { conf: Arc::clone(conf), deadline: arrived + timeout }
    }
}
