//! What the threads share.

mod boot_clock;
mod shared_state;

pub(crate) use boot_clock::boot_now;
pub(crate) use shared_state::CrashSighting;
pub(crate) use shared_state::SharedState;
