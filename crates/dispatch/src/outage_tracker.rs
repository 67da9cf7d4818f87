//! Outages of the store as seen by one reader, and how long entries are kept after them.

use std::time::Duration;

use crate::BootTime;

/// Time without a response from the store after which list entries may have expired although their servers
/// are alive. Below the three missed heartbeats after which the store drops an entry.
const MIN_OUTAGE: Duration = Duration::from_millis(1_500);
/// How long entries that disappear after an outage are kept. Live servers are listed again within about two
/// seconds; the rest allows for the interval between reads.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_400);

/// Tracks responses to reads from the store, or from a zone reader.
#[derive(Debug, Default)]
pub(crate) struct OutageTracker {
    last_contact: Option<BootTime>,
    /// End of the grace period after the last outage.
    grace_end: Option<BootTime>,
}

impl OutageTracker {
    /// Records a response to a read sent at `sent`. Returns whether this ended an outage.
    pub(crate) fn record_response(&mut self, sent: BootTime, now: BootTime) -> bool {
        let was_out = self.last_contact.is_some_and(|last| MIN_OUTAGE <= sent.since(last));
        self.last_contact = Some(now);
        if was_out {
            self.begin_grace(now);
        }
        was_out
    }

    /// Begins a grace period: the latest response ended an outage.
    pub(crate) fn begin_grace(&mut self, now: BootTime) {
        self.grace_end = Some(now.after(RECOVERY_GRACE));
    }

    /// The rest of the grace period.
    pub(crate) fn remaining_grace(&self, now: BootTime) -> Duration {
        self.grace_end.map_or(Duration::ZERO, |end| end.since(now))
    }
}
