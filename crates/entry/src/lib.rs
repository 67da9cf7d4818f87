//! The daemon on an entry host of the consortium platform.
//!
//! One thread keeps what is agreed and known (`control`), one carries callers' requests
//! (`traffic`); they share snapshots and books (`state`). Decisions are in `fulmargate-dispatch`,
//! the platform's formats in `fulmargate-consortium`.

mod control;
mod daemon;
mod sockets;
mod state;
mod telemetry;
mod traffic;

pub use daemon::StartError;
pub use daemon::run;
