//! How many bytes of records a router may hand on to others.

use tokio::time::Instant;

use crate::SubscriberStore;

/// Share of the host's link that may be used over time. With 91 hosts, callers' answers and words between
/// routers take 14% of a link of 10 Mbit/s at the median and 28% at 95 in 100 hosts.
const LINK_SHARE: f64 = 0.25;
/// Bytes that may go at once, as seconds of the link. What is sent next waits behind them, and with what
/// is lent to small answers it must stay below the shortest wait for a connection, 150 ms.
const BURST_S: f64 = 0.05;
/// Small answers may take so much more in advance, in seconds of the link: 14 hosts that ask for the same
/// 8 KB at the same moment get it on a link of 10 Mbit/s.
const LENT_S: f64 = 0.05;
/// Answers of this size are small. The changes of 90 servers' list within 0.7 s, its usual page, have up
/// to 16 KB.
const SMALL_BYTES: usize = 16 * 1024;

/// A share of the host's link for records that others ask for.
///
/// A large configuration is asked for by all hosts of a zone at the moment when its reader has it. Given to
/// all of them it fills the reader's link for seconds: callers' answers stop, and no server can be reached.
/// Who gets nothing reads the store, whose link is far wider, so that nothing waits for this budget: over
/// any time no more goes out than the share of that time, the burst and what is lent. One that cannot
/// reach the store would never get what is larger than the burst; it does when the budget owes nothing, one
/// answer at a time, whose excess is then made up for. Small answers go to it at any time, or it would not
/// learn meanwhile that a server drains: at 14 hosts, 0.7 s and some kilobytes they stay below the share.
#[derive(Debug)]
pub struct ForwardBudget {
    link_bytes_per_s: f64,
    /// Bytes that may go now; less than nothing when some were taken in advance.
    left: f64,
    filled: Instant,
}

impl ForwardBudget {
    /// The full budget of a host with this link.
    pub fn new(link_bytes_per_s: f64, now: Instant) -> ForwardBudget {
        ForwardBudget { link_bytes_per_s, left: link_bytes_per_s * BURST_S, filled: now }
    }

    /// Takes the bytes of an answer if they may go now. An answer without records, which proves that
    /// there are none, always may.
    pub fn try_take(&mut self, bytes: usize, store: SubscriberStore, now: Instant) -> bool {
        self.refill(now);
        let may_go = bytes == 0 || self.may_go(bytes, store);
        if may_go {
            self.left -= bytes as f64;
        }
        may_go
    }

    /// Bytes that may go now; less than nothing when some were taken in advance.
    pub fn left(&self) -> i64 {
        self.left as i64
    }

    fn may_go(&self, bytes: usize, store: SubscriberStore) -> bool {
        let is_small = bytes <= SMALL_BYTES;
        let rest = self.left - bytes as f64;
        match store {
            SubscriberStore::InReach if is_small => -self.link_bytes_per_s * LENT_S <= rest,
            SubscriberStore::InReach => 0.0 <= rest,
            SubscriberStore::OutOfReach => is_small || 0.0 <= self.left,
        }
    }

    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        let most = self.link_bytes_per_s * BURST_S;
        self.left = (self.left + self.link_bytes_per_s * LINK_SHARE * passed).min(most);
        self.filled = self.filled.max(now);
    }
}
