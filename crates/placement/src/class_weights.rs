//! Cost weights of a request class.

/// Cost weights, from the configuration of the request's class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassWeights {
    /// Scheduling priority in the engine; 0 is the most urgent.
    pub priority: u8,
    /// Weight of the estimated time to the first token.
    pub ttft: f64,
    /// Weight of the time spent computing uncached tokens.
    pub recompute: f64,
}

impl ClassWeights {
    /// Index of the priority band that the request's load is counted in.
    pub(crate) fn band(self) -> usize {
        usize::from(0 < self.priority)
    }
}
