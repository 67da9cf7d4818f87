//! Logging and metrics.

mod limit_log;
mod log_rate_limiter;
mod logging;
mod prometheus;
mod suspect_log;
mod version_log;

pub(crate) use limit_log::LimitSource;
pub(crate) use limit_log::log_brittle;
pub(crate) use limit_log::log_brittle_rejection;
pub(crate) use limit_log::log_learned_limit;
pub(crate) use limit_log::log_named_limit;
pub(crate) use limit_log::log_unreadable_limit;
pub(crate) use log_rate_limiter::LogRateLimiter;
pub(crate) use logging::install_logging;
pub(crate) use prometheus::count_binding;
pub(crate) use prometheus::count_connect;
pub(crate) use prometheus::count_crash_check;
pub(crate) use prometheus::count_forward;
pub(crate) use prometheus::count_limit_decision;
pub(crate) use prometheus::count_local_network_suspicion;
pub(crate) use prometheus::count_quota_request;
pub(crate) use prometheus::count_records_rejected;
pub(crate) use prometheus::count_records_served;
pub(crate) use prometheus::count_response_end;
pub(crate) use prometheus::count_send;
pub(crate) use prometheus::count_suspect_change;
pub(crate) use prometheus::count_taken_up;
pub(crate) use prometheus::install_metrics;
pub(crate) use prometheus::record_engine_wait;
pub(crate) use prometheus::record_response;
pub(crate) use prometheus::render_metrics;
pub(crate) use prometheus::topic_label;
pub(crate) use suspect_log::SuspectSource;
pub(crate) use suspect_log::log_suspect_changes;
pub(crate) use suspect_log::server_label;
pub(crate) use version_log::log_mixed;
