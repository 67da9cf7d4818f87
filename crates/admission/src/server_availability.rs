//! Availability of a server.

/// Availability of a server for new requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerAvailability {
    /// In full use.
    Open,
    /// Just started or returned; gets a reduced share of the traffic.
    Warming {
        /// Share of its normal traffic, from 0 to 1.
        share: f64,
    },
    /// Failing, but too few others are left: use only if no other server is suitable.
    LastResort,
    /// Trial requests only, one at a time; see `HealthRegistry::trial_due`.
    Trial,
    /// No requests until the ejection ends.
    Ejected,
    /// Shutting down: no new requests for this incarnation.
    Leaving,
    /// Drained by operators: no new requests.
    Drained,
}

impl ServerAvailability {
    /// Whether the server accepts requests other than trials.
    pub fn accepts_requests(self) -> bool {
        matches!(
            self,
            ServerAvailability::Open
                | ServerAvailability::Warming { .. }
                | ServerAvailability::LastResort
        )
    }
}

/// Drain state set by operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// The server may be used.
    InUse,
    /// The server gets no new requests.
    Drained,
}
