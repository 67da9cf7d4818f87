//! A monotonic clock that includes the time during which the host is suspended.

use fulmargate_dispatch::BootTime;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Returns the time since boot, or zero if the clock cannot be read. Ages computed from zero are zero, so that a
/// configuration which was ever confirmed then counts as just confirmed.
pub(crate) fn boot_now() -> BootTime {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => BootTime(time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000),
        Err(err) => {
            tracing::error!("cannot read CLOCK_BOOTTIME: {err}");
            BootTime::default()
        }
    }
}
