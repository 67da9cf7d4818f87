//! The router daemon: one process an entry host.
//!
//! One control thread keeps what is agreed and what is known of others; traffic threads carry
//! requests. A request's path: accept, identify the team, classify, admit, place, relay, record.

mod attempt;
mod caller;
mod control;
mod operator;
mod state;
mod telemetry;

pub use control::RouterAddresses;
pub use control::RunningRouter;
pub use control::StartError;
pub use control::start;
pub use telemetry::install_logging;
