//! Startup delay until a router knows which other routers exist.
//!
//! A starting router that knows no others would otherwise take on all shared work and saturate its
//! link.

use std::time::Duration;

use fulmargate_names::HostName;
use tokio::time::Instant;

/// Time from the router's appearance in the fleet topic until the others have reached it: up to 1 s
/// to retry a failed connection, 0.6 s to the next message, 0.2 s to connect, 0.6 s to the message
/// after that, and a reserve.
const DISCOVERY_TIME: Duration = Duration::from_millis(3_000);
/// A router that does not appear in the topic within this time goes on regardless. Writing its
/// record may take several attempts of 0.8 s if the store is slow.
const MAX_JOIN_TIME: Duration = Duration::from_millis(5_000);

/// Tracks whether a starting router has had time to receive messages from all others.
#[derive(Clone, Copy, Debug)]
pub struct PeerDiscovery {
    started_at: Instant,
    joined_at: Option<Instant>,
    is_complete: bool,
}

impl PeerDiscovery {
    /// Starts tracking at process start.
    pub fn new(now: Instant) -> PeerDiscovery {
        PeerDiscovery { started_at: now, joined_at: None, is_complete: false }
    }

    /// Whether all reachable routers have had time to send a message, so that shared work can be
    /// divided among them. `members` are the hosts in the fleet topic. A topic without other hosts
    /// does not prove that there are none, since records expire.
    pub fn is_complete(&mut self, own: &HostName, members: &[HostName], now: Instant) -> bool {
        if self.joined_at.is_none() && members.contains(own) {
            self.joined_at = Some(now);
        }
        let discoverable_since = self.joined_at.unwrap_or(self.started_at + MAX_JOIN_TIME);
        self.is_complete |= DISCOVERY_TIME <= now.saturating_duration_since(discoverable_since);
        self.is_complete
    }
}
