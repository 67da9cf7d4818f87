//! What the threads share.

mod boot_clock;
mod loading_board;
mod noted_connect;
mod shared_state;
mod status;

pub(crate) use boot_clock::boot_now;
pub(crate) use loading_board::LoadingBoard;
pub(crate) use noted_connect::note_connect;
pub(crate) use shared_state::CrashSighting;
pub(crate) use shared_state::FleetView;
pub(crate) use shared_state::SharedState;
pub(crate) use status::entry_status;
