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
    refusing: Duration,
}

impl ConfigProof {
    /// No proof yet. `longest` is the age up to which a proof admits requests, `refusing` that up to which
    /// a request may be refused because the configuration has no route or key for it.
    pub fn new(longest: Duration, refusing: Duration) -> ConfigProof {
        ConfigProof { sent: None, longest, refusing }
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

    /// Whether a request may be refused for want of a route or key.
    ///
    /// A host that stood still, or whose reads are late, may hold a configuration without the route that
    /// the caller asks for. Callers do not come back after 404, so that one such answer loses the
    /// request; after 503 they try another host. A host with an eighth of a core and a full link was seen
    /// to answer by a configuration 3.5 s old.
    pub fn refuses(&self, now: BootTime) -> bool {
        self.age(now).is_some_and(|age| age < self.refusing)
    }
}
