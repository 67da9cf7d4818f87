//! Time up to which a topic is known to have been read.

use std::time::Duration;

use crate::BootTime;

/// A read that was answered later than this was pending while the host was suspended or the store was slow. Allows for
/// the longest wait of a read and for the longer one at a zone reader.
const MAX_READ_TIME: Duration = Duration::from_millis(1_100);
/// Records that were read in time count as written at most this long after the last proof, so that an answer that was
/// on its way for longer makes no record younger by more.
const MAX_UNPROVEN_TIME: Duration = Duration::from_millis(600);

/// Times of a read that was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TopicRead {
    /// When it was sent.
    pub sent: BootTime,
    /// When its answer was received.
    pub received: BootTime,
}

/// Bounds the time at which the records of the next read were written.
#[derive(Clone, Copy, Debug, Default)]
pub struct TopicProof {
    /// Nothing that has not been read was written before.
    complete_until: Option<BootTime>,
    /// Whether a read since then failed or was answered late.
    was_late: bool,
}

impl TopicProof {
    /// Lower bound of the time at which the records of this read were written; `None` if nothing was read before.
    pub fn written_after(&self, read: TopicRead) -> Option<BootTime> {
        let complete_until = self.complete_until?;
        if self.was_late || read.is_late() {
            return Some(complete_until);
        }
        Some(complete_until.after(MAX_UNPROVEN_TIME).min(read.received))
    }

    /// Records a read after which all that was written before `complete_until` is known. `None` if there is more to
    /// read, or if a record could not be decoded.
    pub fn record_read(&mut self, read: TopicRead, complete_until: Option<BootTime>) {
        self.was_late |= read.is_late();
        if complete_until.is_some() {
            self.complete_until = self.complete_until.max(complete_until);
            self.was_late = read.is_late();
        }
    }

    /// Records a read that failed.
    pub fn record_failure(&mut self) {
        self.was_late = true;
    }
}

impl TopicRead {
    fn is_late(&self) -> bool {
        MAX_READ_TIME < self.received.since(self.sent)
    }
}
