//! A point in the servers' topic, by which time passes without a clock.

use std::time::Duration;

use fulmargate_names::LogOffset;
use fulmargate_names::StoreEpoch;
use serde::Deserialize;
use serde::Serialize;

/// Longest time between two heartbeats of a server, in percent of the heartbeat interval, which servers keep to
/// approximately.
const MAX_INTERVAL_PERCENT: u64 = 110;

/// A position in the servers' topic, and the number of servers listed there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatMark {
    /// The store's epoch.
    pub epoch: StoreEpoch,
    /// The offset in that epoch.
    pub offset: LogOffset,
    /// Number of listed servers.
    pub servers: u64,
}

impl HeartbeatMark {
    /// Number of records from this mark to a later one; `None` in another epoch or before this mark.
    pub fn records_until(&self, later: &HeartbeatMark) -> Option<u64> {
        let is_comparable = self.epoch == later.epoch;
        is_comparable.then_some(later.offset.0)?.checked_sub(self.offset.0)
    }

    /// Upper bound of the time from this mark to a later one; `None` if it is unknown. Each server that was there
    /// at both writes at least once in a heartbeat interval, except while the store is out.
    pub fn max_time_until(&self, later: &HeartbeatMark, interval: Duration) -> Option<Duration> {
        let records = self.records_until(later)?;
        let servers = self.servers.min(later.servers);
        let max_interval_ms =
            u64::try_from(interval.as_millis()).ok()?.checked_mul(MAX_INTERVAL_PERCENT)?;
        let total_ms = records.checked_add(servers)?.checked_mul(max_interval_ms)?;
        let divisor = servers.checked_mul(100).filter(|divisor| 0 < *divisor)?;
        Some(Duration::from_millis(total_ms.div_ceil(divisor)))
    }
}
