//! How much of a run could be judged.

use crate::WeightsCount;

/// What the judge could judge of faults for which a run may leave no time.
#[derive(Clone, Copy, Debug, Default)]
pub struct JudgedCount {
    /// Requests to hosts that were cut off from all servers.
    pub at_cut_hosts: usize,
    /// Requests to hosts that take all connections.
    pub at_crowded_hosts: usize,
    /// Falls of brittle servers, with those that do not count.
    pub falls: usize,
    /// Falls that count.
    pub counted_falls: usize,
    /// Servers that ended under crashing requests.
    pub crashes: usize,
    /// Sends of such requests by routers in touch that should have known them.
    pub late_crash_sends: usize,
    /// Streams taken up at calm routers while two servers of their version served.
    pub taken_up: usize,
    /// Those of them that went on.
    pub went_on: usize,
    /// Streams taken up at any time that were refused.
    pub refused_streams: usize,
    /// Prompts beside weights versions.
    pub weights: WeightsCount,
}
