//! What the router tells of itself.

mod logging;

pub use logging::install_logging;
