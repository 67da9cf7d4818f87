//! One run of a request at a server.

use std::sync::Arc;

use tokio::time::Instant;

use crate::SuspectBook;
use crate::SuspectStanding;
use crate::suspect_book::RunEnd;

/// One run of a request at a server, from before its first byte is sent. Dropping it says that it
/// ended without saying anything of the server.
#[derive(Debug)]
pub struct SuspectRun {
    book: Arc<SuspectBook>,
    id: u64,
    standing: SuspectStanding,
    end: RunEnd,
}

impl SuspectRun {
    pub(crate) fn new(book: Arc<SuspectBook>, id: u64, standing: SuspectStanding) -> SuspectRun {
        SuspectRun { book, id, standing, end: RunEnd::Withdrawn }
    }

    /// What was held of the request when the run began.
    pub fn standing(&self) -> SuspectStanding {
        self.standing
    }

    /// The whole answer came.
    pub fn ended_well(mut self) {
        self.end = RunEnd::Well;
    }

    /// The connection broke before the whole answer came.
    pub fn broke(mut self) {
        self.end = RunEnd::Broke;
    }
}

impl Drop for SuspectRun {
    fn drop(&mut self) {
        self.book.end(self.id, self.end, Instant::now());
        if self.standing != SuspectStanding::Innocent || self.end == RunEnd::Broke {
            self.book.notify();
        }
    }
}
