//! Log lines.

use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;

/// Lines that wait for standard output; beyond them lines are dropped, so that a reader that stands
/// still never blocks a request. 1,000 lines of 300 bytes are a second of the busiest host's.
const MOST_WAITING: usize = 1_000;

/// Sends JSON lines to standard output. The guard writes what waits when it is dropped.
pub(crate) fn install_logging() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MOST_WAITING)
        .finish(std::io::stdout());
    let builder = tracing_subscriber::fmt().json().flatten_event(true).with_target(false);
    if let Err(err) = builder.with_writer(writer).try_init() {
        eprintln!("log lines go elsewhere: {err}");
    }
    guard
}
