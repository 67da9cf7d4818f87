//! What a class of requests cares for.

/// Weights of the cost of a choice, from the configuration of the request's class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassWeights {
    /// 0 is the most urgent; engines run lower numbers first.
    pub priority: u8,
    /// Weight of the estimated time to the first token.
    pub ttft: f64,
    /// Weight of the time that computing uncached tokens takes.
    pub recompute: f64,
}

impl ClassWeights {
    /// The band in which own load is counted.
    pub(crate) fn band(self) -> usize {
        usize::from(0 < self.priority)
    }
}
