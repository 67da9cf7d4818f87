//! Clock that includes time spent suspended.

use std::time::Duration;

/// Milliseconds since the host booted, including time spent suspended.
///
/// The runtime's clock stops during suspension. Leases and configuration ages measured with it
/// would appear too recent after a resume.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(pub u64);

impl BootTime {
    /// Time since `earlier`; zero if that is in the future.
    pub fn since(self, earlier: BootTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }

    /// This time minus `time`, at the earliest the boot.
    pub fn before(self, time: Duration) -> BootTime {
        BootTime(self.0.saturating_sub(time.as_millis() as u64))
    }

    /// This time plus `wait`.
    pub fn after(self, wait: Duration) -> BootTime {
        BootTime(self.0.saturating_add(wait.as_millis() as u64))
    }
}
