//! Rate limiting of log lines.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use fulmargate_names::EventKind;
use indexmap::IndexMap;
use tokio::time::Instant;

/// Keeps a burst of rejected requests from flooding the log and using the CPU time that accepted
/// requests need.
const MAX_LINES_PER_SECOND: u32 = 100;
const SECOND: Duration = Duration::from_secs(1);

/// Limits the log lines per event kind and second, and logs how many lines were suppressed once a new
/// second has begun.
#[derive(Debug, Default)]
pub(crate) struct LogRateLimiter {
    windows: Mutex<IndexMap<EventKind, LineWindow>>,
}

#[derive(Clone, Copy, Debug)]
struct LineWindow {
    started: Instant,
    lines: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Returns whether a line of this kind may be logged now.
    pub(crate) fn allows(&self, kind: EventKind, now: Instant) -> bool {
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let window =
            windows.entry(kind).or_insert(LineWindow { started: now, lines: 0, suppressed: 0 });
        if SECOND <= now.saturating_duration_since(window.started) {
            let suppressed = std::mem::take(&mut window.suppressed);
            window.started = now;
            window.lines = 0;
            if 0 < suppressed {
                tracing::warn!(event = kind.number(), name = kind.name(), left_out = suppressed);
            }
        }
        if window.lines < MAX_LINES_PER_SECOND {
            window.lines += 1;
            return true;
        }
        window.suppressed += 1;
        false
    }
}
