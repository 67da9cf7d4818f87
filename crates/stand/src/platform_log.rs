//! The platform's append-only log.

mod log_routes;
mod log_store;
#[cfg(test)]
mod tests;

pub use log_routes::LogSettings;
pub use log_routes::log_server;
