//! How old the newest proof is that the configuration in force is the newest.

use std::time::Duration;

use crate::BootTime;

/// Until when requests with a key may be admitted.
///
/// A key that was taken away must stop even on a host that the store turns away. A read that the
/// store has answered proves that nothing was newer at the moment the read was sent; the answer's
/// arrival proves less, since it may have been on its way for long.
#[derive(Clone, Copy, Debug)]
pub struct ConfigProof {
    sent: Option<BootTime>,
    longest: Duration,
}

impl ConfigProof {
    /// No proof yet. `longest` is the age up to which a proof admits requests.
    pub fn new(longest: Duration) -> ConfigProof {
        ConfigProof { sent: None, longest }
    }

    /// A read sent at this moment was answered and applied.
    pub fn renew(&mut self, sent: BootTime) {
        self.sent = self.sent.max(Some(sent));
    }

    /// The proof's age; none without a proof.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.sent.map(|sent| now.since(sent))
    }

    /// Whether requests with a key may be admitted.
    pub fn admits(&self, now: BootTime) -> bool {
        self.age(now).is_some_and(|age| age < self.longest)
    }
}
