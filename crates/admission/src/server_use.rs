//! How far a server is in use.

/// How far a server is in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerUse {
    /// In full use.
    Open,
    /// It has just started or come back, and gets this share of what it would get.
    Warming {
        /// From 0 to 1.
        share: f64,
    },
    /// It fails, but too few others are left: only if no other suits.
    LastResort,
    /// Only trial requests, one at a time: see `HealthBook::trial_due`.
    Trial,
    /// Nothing until its pause is over.
    Ejected,
    /// Nothing new for this incarnation.
    Leaving,
    /// Nothing new by the operators' will.
    Drained,
}

impl ServerUse {
    /// Whether ordinary requests may go there.
    pub fn takes_new(self) -> bool {
        matches!(self, ServerUse::Open | ServerUse::Warming { .. } | ServerUse::LastResort)
    }
}

/// What operators want of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// It is to be used.
    InUse,
    /// It is to get nothing new.
    Drained,
}
