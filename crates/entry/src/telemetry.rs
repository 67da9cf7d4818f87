//! What the daemon tells of itself.

mod line_budget;
mod logging;
mod metric_book;

pub(crate) use line_budget::LineBudget;
pub(crate) use logging::install_logging;
pub(crate) use metric_book::count_connect;
pub(crate) use metric_book::count_doubt;
pub(crate) use metric_book::count_given;
pub(crate) use metric_book::count_quota;
pub(crate) use metric_book::count_refused;
pub(crate) use metric_book::count_send;
pub(crate) use metric_book::install_metrics;
pub(crate) use metric_book::record_answer;
pub(crate) use metric_book::record_wait;
pub(crate) use metric_book::render_metrics;
pub(crate) use metric_book::topic_label;
