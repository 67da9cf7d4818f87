//! How old the newest proof is that the configuration in force is the newest.

use std::time::Duration;

use fulmargate_names::ConfigVersion;
use fulmargate_names::StoreEpoch;

use crate::BootTime;

/// After the store has come back from a copy, operators write again what it has lost within this time: the
/// entries of servers, which are written again in the same way, are back within about two seconds.
const WRITTEN_AGAIN: Duration = Duration::from_millis(2_000);

/// Until when requests with a key may be admitted.
///
/// A key that was taken away must stop even on a host that the store turns away. A read that the
/// store has answered proves that nothing was newer at the moment the read was sent; the answer's
/// arrival proves less, since it may have been on its way for long.
///
/// A store that has come back from a copy may have lost the configuration that took a key away. Until
/// operators have written it again, a read shows the one before as the newest and proves nothing.
#[derive(Clone, Copy, Debug)]
pub struct ConfigProof {
    sent: Option<BootTime>,
    longest: Duration,
    refusing: Duration,
    /// Reads sent before this moment may have been answered by a store that lacks something.
    doubted_until: Option<BootTime>,
    /// The newest epoch in which reads were doubted.
    doubted_epoch: Option<StoreEpoch>,
    /// The newest of these reads. It counts once it is known that nothing was lacking.
    held: Option<BootTime>,
    in_force: ConfigVersion,
    /// Some router has had this one in force.
    known: ConfigVersion,
}

impl ConfigProof {
    /// No proof yet. `longest` is the age up to which a proof admits requests, `refusing` that up to which
    /// a request may be refused because the configuration has no route or key for it.
    pub fn new(longest: Duration, refusing: Duration) -> ConfigProof {
        ConfigProof {
            sent: None,
            longest,
            refusing,
            doubted_until: None,
            doubted_epoch: None,
            held: None,
            in_force: ConfigVersion(0),
            known: ConfigVersion(0),
        }
    }

    /// A read sent at this moment was answered and applied.
    pub fn renew(&mut self, sent: BootTime) {
        match self.doubted_until {
            Some(until) if sent < until => self.held = self.held.max(Some(sent)),
            _ => self.sent = self.sent.max(Some(sent)),
        }
    }

    /// The store may lack what operators wrote last: it has come back from a copy with this epoch, or this
    /// host has just started and does not know. Each reader of a topic says so; the first one counts.
    pub fn doubt(&mut self, epoch: StoreEpoch, now: BootTime) {
        if self.doubted_epoch.is_some_and(|doubted| epoch <= doubted) {
            return;
        }
        self.doubted_epoch = Some(epoch);
        self.doubted_until = Some(now.after(WRITTEN_AGAIN));
        self.held = None;
    }

    /// In this epoch of the store operators have written again, or nothing was lost when it began.
    pub fn settle(&mut self, epoch: StoreEpoch) {
        if self.doubted_epoch.is_some_and(|doubted| epoch < doubted) {
            return;
        }
        self.doubted_until = None;
        self.sent = self.sent.max(self.held.take());
    }

    /// Whether reads sent now prove nothing.
    pub fn is_doubted(&self, now: BootTime) -> bool {
        self.doubted_until.is_some_and(|until| now < until)
    }

    /// This configuration is in force here.
    pub fn put_in_force(&mut self, version: ConfigVersion) {
        self.in_force = version;
    }

    /// The configuration in force here; 0 before the first.
    pub fn in_force(&self) -> ConfigVersion {
        self.in_force
    }

    /// A router has had this configuration in force. An older one admits nothing here: it may have keys
    /// that were taken away.
    pub fn note_known(&mut self, version: ConfigVersion) {
        self.known = self.known.max(version);
    }

    /// The proof's age; none without a proof.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.sent.map(|sent| now.since(sent))
    }

    /// Whether requests with a key may be admitted.
    pub fn admits(&self, now: BootTime) -> bool {
        self.is_younger(self.longest, now)
    }

    /// Whether a request may be refused for want of a route or key.
    ///
    /// A host that stood still, or whose reads are late, may hold a configuration without the route that
    /// the caller asks for. Callers do not come back after 404, so that one such answer loses the
    /// request; after 503 they try another host.
    pub fn refuses(&self, now: BootTime) -> bool {
        self.is_younger(self.refusing, now)
    }

    fn is_younger(&self, longest: Duration, now: BootTime) -> bool {
        self.known <= self.in_force && self.age(now).is_some_and(|age| age < longest)
    }
}
