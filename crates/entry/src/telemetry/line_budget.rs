//! A bound on log lines.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use fulmargate_names::EventKind;
use indexmap::IndexMap;
use tokio::time::Instant;

/// Lines of one kind in a second. An entry host sees some 50 requests a second at most; a burst of
/// callers that are refused must not fill the log nor take the processor from those who are served.
const MOST_LINES: u32 = 100;
const SECOND: Duration = Duration::from_secs(1);

/// Counts lines of each kind; what is left out is said with the next line of that kind.
#[derive(Debug, Default)]
pub(crate) struct LineBudget {
    kinds: Mutex<IndexMap<EventKind, KindCount>>,
}

#[derive(Clone, Copy, Debug)]
struct KindCount {
    since: Instant,
    lines: u32,
    left_out: u64,
}

impl LineBudget {
    /// Whether a line of this kind may be written now.
    pub(crate) fn allows(&self, kind: EventKind, now: Instant) -> bool {
        let mut kinds = self.kinds.lock().unwrap_or_else(PoisonError::into_inner);
        let count = kinds.entry(kind).or_insert(KindCount { since: now, lines: 0, left_out: 0 });
        if SECOND <= now.saturating_duration_since(count.since) {
            let left_out = std::mem::take(&mut count.left_out);
            count.since = now;
            count.lines = 0;
            if 0 < left_out {
                tracing::warn!(event = kind.number(), name = kind.name(), left_out);
            }
        }
        if count.lines < MOST_LINES {
            count.lines += 1;
            return true;
        }
        count.left_out += 1;
        false
    }
}
