//! Time that goes on while the host is suspended.

use std::time::Duration;

/// Milliseconds since the host's start, suspensions included.
///
/// The runtime's clock stands still while a host is suspended. A lease or the age of a
/// configuration counted on it would look young after a wake-up, and orders or requests would go
/// out on beliefs that ended long ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(pub u64);

impl BootTime {
    /// How long ago `earlier` was; zero if it lies ahead.
    pub fn since(self, earlier: BootTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// The moment so much later.
    pub fn after(self, wait: Duration) -> BootTime {
        BootTime(self.0.saturating_add(wait.as_millis() as u64))
    }
}
