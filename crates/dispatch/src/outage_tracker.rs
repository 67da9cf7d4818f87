//! Outages of the store as seen by one reader, and how long entries are kept after them.

use std::time::Duration;

use crate::BootTime;

/// Time without a response from the store after which list entries may have expired although their servers
/// are alive. Below the three missed heartbeats after which the store drops an entry.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);
/// How long entries that disappear after an outage are kept. Live servers are listed again within about two
/// seconds; the rest allows for the interval between reads.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_400);
/// The same, counted from the last read before the outage ended. A router that retries slowly notices the end
/// late.
const MAX_GRACE_AFTER_OUTAGE: Duration = Duration::from_millis(2_700);
/// Longest time between two reads of a router that is not suspended.
const MAX_READ_GAP: Duration = Duration::from_millis(2_200);

/// The grace period after the last outage.
#[derive(Clone, Copy, Debug)]
struct GracePeriod {
    end: BootTime,
    /// End for entries that disappear while most others remain.
    early_end: BootTime,
}

/// Which share of the entries has disappeared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LapseExtent {
    /// Fewer than half: the store was available to the other servers.
    Few,
    /// At least half, as after an outage of the store itself.
    Most,
}

/// Tracks responses and failures of reads from the store, or from a zone reader.
#[derive(Debug, Default)]
pub(crate) struct OutageTracker {
    last_contact: Option<BootTime>,
    /// When the last failed read since then was sent.
    last_failure: Option<BootTime>,
    /// The last contact or failure before the latest response. An outage that this response ended lasted
    /// until then at least.
    previous_read: Option<BootTime>,
    grace: Option<GracePeriod>,
}

impl OutageTracker {
    /// Records a response to a read sent at `sent`. Returns whether this ended an outage.
    pub(crate) fn record_response(&mut self, sent: BootTime, now: BootTime) -> bool {
        let was_out = self.last_contact.is_some_and(|last| MIN_OUTAGE <= sent.since(last));
        self.previous_read = self.last_contact.max(self.last_failure);
        self.last_contact = Some(now);
        self.last_failure = None;
        if was_out {
            self.begin_grace(now);
        }
        was_out
    }

    /// Records that a read sent at `sent` failed.
    pub(crate) fn record_failure(&mut self, sent: BootTime) {
        self.last_failure = self.last_failure.max(Some(sent));
    }

    /// Begins a grace period: the latest response ended an outage.
    pub(crate) fn begin_grace(&mut self, now: BootTime) {
        let previous_read = self.previous_read.unwrap_or(now);
        let elapsed = now.since(previous_read).min(MAX_READ_GAP);
        let end = now.after(RECOVERY_GRACE);
        let early_end = now.after(MAX_GRACE_AFTER_OUTAGE.saturating_sub(elapsed));
        self.grace = Some(GracePeriod { end, early_end: end.min(early_end) });
    }

    /// The rest of the grace period.
    pub(crate) fn remaining_grace(&self, now: BootTime) -> Duration {
        self.grace.map_or(Duration::ZERO, |grace| grace.end.since(now))
    }

    /// When lapsed entries expire; `None` before the first outage.
    pub(crate) fn grace_end(&self, extent: LapseExtent) -> Option<BootTime> {
        self.grace.map(|grace| match extent {
            LapseExtent::Few => grace.early_end,
            LapseExtent::Most => grace.end,
        })
    }

    /// Whether a response has been received so recently at this time that the next outage has not begun.
    pub(crate) fn is_in_contact(&self, at: BootTime) -> bool {
        self.last_contact.is_some_and(|last| at.since(last) < MIN_OUTAGE)
    }
}
