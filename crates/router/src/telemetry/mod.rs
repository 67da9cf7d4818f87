//! What the router tells of itself.

mod logging;
mod metric_book;
mod team_counts;

pub use logging::install_logging;
pub(crate) use metric_book::RequestMetrics;
pub(crate) use metric_book::install_metrics;
pub(crate) use metric_book::render_metrics;
pub(crate) use team_counts::TeamCounts;
