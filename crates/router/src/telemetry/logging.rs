//! Log lines.

use fulmargate_settings::LogFormat;
use tracing_subscriber::EnvFilter;

/// Environment variable with the filter of log lines, such as `debug`.
const FILTER_VARIABLE: &str = "FULMARGATE_LOG";

/// Sends log lines to standard error; a second call in one process changes nothing.
pub fn install_logging(format: LogFormat) {
    let filter =
        EnvFilter::try_from_env(FILTER_VARIABLE).unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let _already_installed = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
}
