//! What went wrong when, as it was done.

use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::time::Instant;

use crate::SoakFault;

/// A fault that was done; without an end while it lasts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultSpan {
    pub(crate) fault: SoakFault,
    pub(crate) from: Instant,
    pub(crate) until: Option<Instant>,
}

impl FaultSpan {
    /// Whether some of it lies between these moments.
    pub(crate) fn overlaps(&self, from: Instant, until: Instant) -> bool {
        self.from <= until && self.until.is_none_or(|end| from <= end)
    }
}

/// All spans of a run.
#[derive(Debug, Default)]
pub(crate) struct FaultLog {
    spans: Mutex<Vec<FaultSpan>>,
}

impl FaultLog {
    /// A fault begins. Returns its place in the log.
    pub(crate) fn begin(&self, fault: SoakFault) -> usize {
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        spans.push(FaultSpan { fault, from: Instant::now(), until: None });
        spans.len() - 1
    }

    /// It has ended.
    pub(crate) fn end(&self, place: usize) {
        let mut spans = self.spans.lock().unwrap_or_else(PoisonError::into_inner);
        spans[place].until = Some(Instant::now());
    }

    /// The spans so far.
    pub(crate) fn spans(&self) -> Vec<FaultSpan> {
        self.spans.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
