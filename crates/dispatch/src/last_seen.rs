//! When a router that has just started knows who else is there.
//!
//! Answers starts on small links: work that is shared out among the routers heard falls whole to one that
//! has heard nobody yet.

use std::time::Duration;

use fulmargate_names::HostName;
use tokio::time::Instant;

/// From the moment at which the routers' topic shows this one to the others until it has heard them. Those
/// that failed to reach it while it was away try again after 1 s, at their next word, which is up to 0.6 s
/// later; the link opens within 0.2 s, and the word after that comes over it, 0.6 s later. Half a second
/// more is for a busy host.
const HEARING_TIME: Duration = Duration::from_millis(3_000);
/// A router that the topic does not show by then goes on without: its record takes some tries of 0.8 s with
/// a store that is slow, and a host that is alone for good has work to do as well.
const LONGEST_JOIN: Duration = Duration::from_millis(5_000);

/// Follows whether a router that has started can have heard the others.
#[derive(Clone, Copy, Debug)]
pub struct LastSeen {
    started: Instant,
    joined: Option<Instant>,
    is_over: bool,
}

impl LastSeen {
    /// The process has just started.
    pub fn new(now: Instant) -> LastSeen {
        LastSeen { started: now, joined: None, is_over: false }
    }

    /// Whether those that can be heard have been heard, so that what they do needs no doing here.
    /// `members` are the hosts whose start was read from the routers' topic. That it names no others proves
    /// nothing: their records expire.
    pub fn is_over(&mut self, own: &HostName, members: &[HostName], now: Instant) -> bool {
        if self.joined.is_none() && members.contains(own) {
            self.joined = Some(now);
        }
        let known = self.joined.unwrap_or(self.started + LONGEST_JOIN);
        self.is_over |= HEARING_TIME <= now.saturating_duration_since(known);
        self.is_over
    }
}
