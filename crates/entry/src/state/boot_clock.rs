//! The clock that goes on while the host is suspended.

use fulmargate_dispatch::BootTime;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Now. A host without this clock reads zero: ages then never pass a bound, which the first read
/// at the start would show.
pub(crate) fn boot_now() -> BootTime {
    match clock_gettime(ClockId::CLOCK_BOOTTIME) {
        Ok(time) => BootTime(time.tv_sec() as u64 * 1_000 + time.tv_nsec() as u64 / 1_000_000),
        Err(err) => {
            tracing::error!("the boot clock cannot be read: {err}");
            BootTime::default()
        }
    }
}
