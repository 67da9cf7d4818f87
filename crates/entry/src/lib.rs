//! The daemon on an entry host of the consortium platform.
//!
//! The `control` thread maintains configuration, membership and server state; the `traffic` thread
//! proxies callers' requests. They share `state`. Routing decisions are made in
//! `fulmargate-dispatch`; `fulmargate-consortium` defines the platform's wire formats.

mod control;
mod daemon;
mod sockets;
mod state;
mod telemetry;
mod traffic;

pub use daemon::StartError;
pub use daemon::run;
