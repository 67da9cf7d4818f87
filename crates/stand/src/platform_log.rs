//! The platform's append-only log.

mod log_routes;
mod log_store;

pub use log_routes::LogSettings;
pub use log_routes::log_server;
