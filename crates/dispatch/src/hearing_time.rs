//! When a router that has just started knows who else is there.
//!
//! Answers starts on small links: work that is shared out among the routers heard falls whole to one that
//! has heard nobody yet.

use std::time::Duration;

use fulmargate_names::HostName;
use tokio::time::Instant;

/// Follows whether a router that has started can have heard the others.
#[derive(Clone, Copy, Debug)]
pub struct HearingTime {
    started: Instant,
    joined: Option<Instant>,
}

impl HearingTime {
    /// The process has just started.
    pub fn new(now: Instant) -> HearingTime {
        HearingTime { started: now, joined: None }
    }

    /// Whether those that can be heard have been heard, so that what they do needs no doing here.
    /// `members` are the hosts whose start was read from the routers' topic.
    pub fn is_over(&mut self, own: &HostName, members: &[HostName], now: Instant) -> bool {
        if self.joined.is_none() && members.contains(own) {
            self.joined = Some(now);
        }
        Duration::ZERO <= now.saturating_duration_since(self.joined.unwrap_or(self.started))
    }
}
