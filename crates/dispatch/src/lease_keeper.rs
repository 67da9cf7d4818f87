//! Lease that allows one router to send orders to engines.

use std::time::Duration;

use fulmargate_names::FencingNumber;
use fulmargate_names::HostName;
use xxhash_rust::xxh3::xxh3_64;

use crate::BootTime;
use crate::FleetState;
use crate::HeldLease;
use crate::LinkRank;
use crate::LogPosition;

/// The holder sends no more orders this long before its lease expires. Allows for clock drift
/// between hosts and for an order whose first packet is lost and sent again after 200 ms.
const EXPIRY_MARGIN: Duration = Duration::from_millis(500);
/// Other hosts wait this long after a rollout begins before they take an expired lease, so that the last
/// holder can renew it. Otherwise the holder would change with each rollout. A renewal takes one append, some
/// 10 ms; the rest allows for a busy host.
const LAST_HOLDER_HEAD_START: Duration = Duration::from_millis(400);

/// Upper bound of the random delay, per host in the fleet. If all hosts appended at once, only one
/// could succeed.
const JITTER_PER_HOST: Duration = Duration::from_millis(20);

/// Extra delay of hosts with narrower links, so that the hosts with the widest ones try first. Those try one
/// after the other, six of them within 120 ms, and a record is read by all some 10 ms after it was appended.
const NARROW_LINK_DELAY: Duration = Duration::from_millis(100);

/// The next action of a router with regard to the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Send orders; `usable_fence` must be called for each.
    Act,
    /// Append a lease record, provided that the topic still ends here.
    Append {
        /// The end of the topic on which the decision is based.
        at: LogPosition,
    },
    /// Check again after this time at the latest.
    Wait(Duration),
}

/// Acquires and renews the lease for one router.
///
/// Lease records are appended conditionally: the store rejects one whose writer has not read to the
/// end of the topic. Leases expire by time, on clocks that keep running during suspension. The
/// holder counts from when it sent the append, the others from when they read the record. A holder that stops
/// drops its lease, and then appends a release on the same condition.
#[derive(Debug)]
pub struct LeaseKeeper {
    host: HostName,
    duration: Duration,
    own: Option<OwnLease>,
}

#[derive(Clone, Copy, Debug)]
struct OwnLease {
    fence: FencingNumber,
    sent: BootTime,
}

impl LeaseKeeper {
    /// Creates a keeper that does not hold the lease.
    pub fn new(host: HostName, duration: Duration) -> LeaseKeeper {
        LeaseKeeper { host, duration, own: None }
    }

    /// Returns the next action, given that there has been work for the holder since `work_since`.
    pub fn step(
        &self,
        fleet_state: &FleetState,
        work_since: BootTime,
        rank: LinkRank,
        now: BootTime,
    ) -> LeaseStep {
        let newest = fleet_state.lease();
        // A restored store may have lost another router's lease record. That router keeps acting
        // until its lease expires.
        let lost_lease_expiry =
            fleet_state.lost_lease_since().map(|since| since.after(self.duration));
        if let Some(own) = self.own.filter(|own| self.is_newest(newest, own.fence)) {
            let age = now.since(own.sent);
            if age < self.duration / 2 {
                return LeaseStep::Act;
            }
            // The renewal has a higher fencing number, and nobody else has acted in between.
            if age < self.duration || lost_lease_expiry.is_none_or(|until| until <= now) {
                return LeaseStep::Append { at: fleet_state.end() };
            }
        }
        // Delays start when the last lease expires, even if work was already waiting. Otherwise all
        // hosts would try at once.
        let earliest = match newest {
            None => Some(work_since),
            // After a restart the last holder may continue: nobody else acted in between.
            Some(lease) if lease.is_released => {
                Some(self.earliest_after(lease, fleet_state).max(work_since))
            }
            Some(lease) if lease.host == self.host => None,
            Some(lease) => {
                Some(lease.seen.after(self.duration).max(work_since.after(LAST_HOLDER_HEAD_START)))
            }
        };
        let earliest = earliest.max(lost_lease_expiry);
        let acquire_at =
            earliest.map_or(now, |earliest| earliest.after(self.acquire_delay(fleet_state, rank)));
        if now < acquire_at {
            return LeaseStep::Wait(acquire_at.since(now));
        }
        LeaseStep::Append { at: fleet_state.end() }
    }

    /// When this host may try to take a released lease: at once, but for its last holder if there are other hosts. That
    /// one has been stopped, and holders would take turns.
    fn earliest_after(&self, released: &HeldLease, fleet_state: &FleetState) -> BootTime {
        if released.host == self.host && 1 < fleet_state.host_count() {
            released.seen.after(self.duration)
        } else {
            released.seen
        }
    }

    /// Random delay before this host tries to take the lease, drawn again for each record in the
    /// topic.
    ///
    /// Hosts with the widest links try first: the holder announces each engine that loads weights
    /// to all routers, which takes much of a narrow link.
    fn acquire_delay(&self, fleet_state: &FleetState, rank: LinkRank) -> Duration {
        let hash = xxh3_64(format!("{}/{}", self.host, fleet_state.end().offset).as_bytes());
        let fraction = (hash >> 11) as f64 / (1_u64 << 53) as f64;
        let jitter = |hosts: usize| (JITTER_PER_HOST * hosts as u32).mul_f64(fraction);
        match rank {
            LinkRank::Equal => jitter(fleet_state.host_count()),
            LinkRank::Widest { hosts } => jitter(hosts.min(fleet_state.host_count())),
            LinkRank::Narrower => NARROW_LINK_DELAY + jitter(fleet_state.host_count()),
        }
    }

    /// Records that the append sent at `sent` was accepted, with its fencing number.
    pub fn record_append(&mut self, fence: FencingNumber, sent: BootTime) {
        self.own = Some(OwnLease { fence, sent });
    }

    /// Drops the lease: an engine has seen a higher fencing number, so that another router holds
    /// it; or this router is about to release it. Returns its fencing number.
    pub fn drop_lease(&mut self) -> Option<FencingNumber> {
        self.own.take().map(|own| own.fence)
    }

    /// The fencing number for an order sent now; `None` without a valid lease. It must be requested
    /// right before each order, since the process may have been suspended.
    pub fn usable_fence(&self, now: BootTime) -> Option<FencingNumber> {
        let own = self.own.filter(|own| now.since(own.sent) + EXPIRY_MARGIN < self.duration)?;
        Some(own.fence)
    }

    /// Whether this router took the lease and has not dropped it. Stays true after the lease has
    /// expired; use [`LeaseKeeper::usable_fence`] to check the time.
    pub fn is_holder(&self) -> bool {
        self.own.is_some()
    }

    fn is_newest(&self, newest: Option<&HeldLease>, fence: FencingNumber) -> bool {
        // The own record may not have been read back yet.
        newest.is_none_or(|lease| lease.fence < fence || lease.fence == fence && !lease.is_released)
    }
}
