//! A named limit as the platform's store keeps it.

use serde::Deserialize;
use serde::Serialize;

/// Limit of one server incarnation, without its age: it applies where nothing newer is known.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoredLimit {
    /// Key of the server incarnation.
    pub server: u64,
    /// Requests per second that it accepts from all routers together.
    pub rate_per_s: f64,
}

impl StoredLimit {
    /// Whether the figures are in range. Others come from a faulty router.
    pub(crate) fn is_valid(&self) -> bool {
        self.rate_per_s.is_finite() && 0.0 <= self.rate_per_s
    }
}

/// Stored limits of the servers of one key.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredLimitSlot {
    /// Distinguishes the keys.
    pub slot: u8,
    /// The limits.
    pub entries: Vec<StoredLimit>,
}
