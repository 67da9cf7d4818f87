//! The wall clock, where a protocol carries it.

use std::time::SystemTime;

/// Milliseconds since 1970.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::UNIX_EPOCH.elapsed().map_or(0, |since| since.as_millis() as u64)
}
