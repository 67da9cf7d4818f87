//! Log output.

use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;

/// Log lines buffered for standard output. When the buffer is full, further lines are dropped, so that
/// a stalled reader never blocks a request.
const MAX_BUFFERED_LINES: usize = 1_000;

/// Logs JSON lines to standard output. Dropping the returned guard flushes the buffer.
pub(crate) fn install_logging() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    let builder = tracing_subscriber::fmt().json().flatten_event(true).with_target(false);
    if let Err(err) = builder.with_writer(writer).try_init() {
        eprintln!("cannot install the log subscriber: {err}");
    }
    guard
}
