//! Run of a request on a server.

use std::sync::Arc;

use tokio::time::Instant;

use crate::CrashDetector;
use crate::SuspectStanding;
use crate::crash_detector::RunEnd;

/// Run of a request on a server, created before the first byte is sent. Dropping it without
/// reporting an end means that the run was abandoned, for example because the caller disconnected.
#[derive(Debug)]
pub struct SuspectRun {
    detector: Arc<CrashDetector>,
    id: u64,
    standing: SuspectStanding,
    end: RunEnd,
}

impl SuspectRun {
    pub(crate) fn new(
        detector: Arc<CrashDetector>,
        id: u64,
        standing: SuspectStanding,
    ) -> SuspectRun {
        SuspectRun { detector, id, standing, end: RunEnd::Abandoned }
    }

    /// Standing of the request when the run began.
    pub fn standing(&self) -> SuspectStanding {
        self.standing
    }

    /// Reports that the response was complete.
    pub fn complete(mut self) {
        self.end = RunEnd::Completed;
    }

    /// Reports that the connection broke before the response was complete.
    pub fn connection_broke(mut self) {
        self.end = RunEnd::ConnectionBroken;
    }
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        self.detector.end(self.id, self.end, Instant::now());
        if self.standing != SuspectStanding::Innocent || self.end == RunEnd::ConnectionBroken {
            self.detector.notify();
        }
    }
}
