//! Age of the newest read that proved the active configuration to be the latest.

use std::time::Duration;

use fulmargate_names::ConfigVersion;
use fulmargate_names::StoreEpoch;

use crate::BootTime;

/// Time that operators are given to rewrite what a restored store has lost. Server entries, which
/// are rewritten in the same way, are back within about two seconds.
const RESTORE_GRACE_PERIOD: Duration = Duration::from_millis(2_000);

/// Decides whether requests with an API key may be admitted, by the time since the configuration
/// was last known to be the newest. A revoked key must stop working even if the store is
/// unreachable.
///
/// After the store is restored from a backup, reads may return an older configuration as the newest
/// until operators have rewritten the lost one. Such reads are not trusted.
#[derive(Clone, Copy, Debug)]
pub struct ConfigProof {
    /// Send time of the newest trusted read. The configuration was the newest at that time.
    newest_read: Option<BootTime>,
    max_admit_age: Duration,
    max_reject_age: Duration,
    /// Reads sent before this time may have been answered from an incomplete store.
    untrusted_until: Option<BootTime>,
    /// The newest epoch whose reads were not trusted at first.
    untrusted_epoch: Option<StoreEpoch>,
    /// The newest untrusted read; it counts once the epoch is known to be complete.
    pending_read: Option<BootTime>,
    active_version: ConfigVersion,
    /// The newest version that any router has had in force.
    newest_seen_version: ConfigVersion,
}

impl ConfigProof {
    /// Starts without a proof. A proof younger than `max_admit_age` admits requests; one younger
    /// than `max_reject_age` allows rejecting a request for which the configuration has no route or
    /// key.
    pub fn new(max_admit_age: Duration, max_reject_age: Duration) -> ConfigProof {
        ConfigProof {
            newest_read: None,
            max_admit_age,
            max_reject_age,
            untrusted_until: None,
            untrusted_epoch: None,
            pending_read: None,
            active_version: ConfigVersion(0),
            newest_seen_version: ConfigVersion(0),
        }
    }

    /// Records that a read sent at this time was answered and applied.
    pub fn renew(&mut self, sent: BootTime) {
        match self.untrusted_until {
            Some(until) if sent < until => self.pending_read = self.pending_read.max(Some(sent)),
            _ => self.newest_read = self.newest_read.max(Some(sent)),
        }
    }

    /// Marks reads as untrusted for a grace period: the store was restored from a backup with this
    /// epoch, or this host has just started and cannot tell. Each topic's reader reports it; only
    /// the first report of an epoch counts.
    pub fn mark_untrusted(&mut self, epoch: StoreEpoch, now: BootTime) {
        if self.untrusted_epoch.is_some_and(|untrusted| epoch <= untrusted) {
            return;
        }
        self.untrusted_epoch = Some(epoch);
        self.untrusted_until = Some(now.after(RESTORE_GRACE_PERIOD));
        self.pending_read = None;
    }

    /// Trusts the reads of this epoch: operators have rewritten what was lost, or nothing was.
    pub fn mark_trusted(&mut self, epoch: StoreEpoch) {
        if self.untrusted_epoch.is_some_and(|untrusted| epoch < untrusted) {
            return;
        }
        self.untrusted_until = None;
        self.newest_read = self.newest_read.max(self.pending_read.take());
    }

    /// Whether reads sent now are untrusted.
    pub fn is_untrusted(&self, now: BootTime) -> bool {
        self.untrusted_until.is_some_and(|until| now < until)
    }

    /// Sets the configuration in force on this host.
    pub fn set_active_version(&mut self, version: ConfigVersion) {
        self.active_version = version;
    }

    /// The configuration in force on this host; 0 before the first.
    pub fn active_version(&self) -> ConfigVersion {
        self.active_version
    }

    /// Records that a router has had this configuration in force. While this host has an older one,
    /// it admits nothing, since that one may contain revoked keys.
    pub fn observe_version(&mut self, version: ConfigVersion) {
        self.newest_seen_version = self.newest_seen_version.max(version);
    }

    /// Time since the newest trusted read was sent; `None` before the first.
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.newest_read.map(|sent| now.since(sent))
    }

    /// Whether requests with an API key may be admitted.
    pub fn admits(&self, now: BootTime) -> bool {
        self.is_fresh(self.max_admit_age, now)
    }

    /// Whether a request may be rejected for lack of a route or key.
    ///
    /// A host that was suspended, or whose reads are late, may not have the route yet. Callers do
    /// not retry after 404, but try another host after 503.
    pub fn may_reject(&self, now: BootTime) -> bool {
        self.is_fresh(self.max_reject_age, now)
    }

    fn is_fresh(&self, max_age: Duration, now: BootTime) -> bool {
        self.newest_seen_version <= self.active_version
            && self.age(now).is_some_and(|age| age < max_age)
    }
}
