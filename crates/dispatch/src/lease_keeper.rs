//! Who gives orders to engines.

use std::time::Duration;

use fulmargate_names::FencingNumber;
use fulmargate_names::HostName;
use xxhash_rust::xxh3::xxh3_64;

use crate::BootTime;
use crate::FleetFold;
use crate::HeldLease;
use crate::LinkRank;
use crate::LogPosition;

/// The holder stops this long before its lease ends: clocks of two hosts may drift, and an order is
/// on its way for a while. A lost packet is sent again within 200 ms; the rest is allowance.
const STOP_EARLY: Duration = Duration::from_millis(500);
/// The last holder is let go first, so that the lease does not move with each piece of work. Its
/// renewal takes one append, some 10 ms; the rest covers a busy host.
const HOLDER_FIRST: Duration = Duration::from_millis(400);

/// Others try one after the other, within this time for each host there is. All at
/// once each would call the store, and one could succeed.
const TURN_PER_HOST: Duration = Duration::from_millis(20);

/// Hosts with narrower links wait so long for the widest to try first. These try one after the other, six
/// of them within 120 ms, and a record is read by all some 10 ms after it was appended; new weights have
/// seconds to be in place.
const WIDEST_FIRST: Duration = Duration::from_millis(100);

/// What to do now about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Orders may be given; each asks for its number when it is sent.
    Act,
    /// Append a lease record, on condition that the topic still ends here.
    Append {
        /// The end that all decisions rest on.
        at: LogPosition,
    },
    /// Look again after this time at the latest.
    Wait(Duration),
}

/// This router's side of the lease.
///
/// The store accepts a record only at the end that its writer has read to, so of two routers that
/// want the lease one wins and the other reads the winner's record. A lease that was not renewed
/// ends by time, counted on clocks that go on through suspensions: the holder counts from before
/// its append was sent, all others from when they read the record, which is later.
#[derive(Debug)]
pub struct LeaseKeeper {
    host: HostName,
    length: Duration,
    own: Option<OwnLease>,
}

#[derive(Clone, Copy, Debug)]
struct OwnLease {
    fence: FencingNumber,
    sent: BootTime,
}

impl LeaseKeeper {
    /// A router without a lease.
    pub fn new(host: HostName, length: Duration) -> LeaseKeeper {
        LeaseKeeper { host, length, own: None }
    }

    /// What to do when there has been work for the holder since `work_since`.
    pub fn step(
        &self,
        fold: &FleetFold,
        work_since: BootTime,
        rank: LinkRank,
        now: BootTime,
    ) -> LeaseStep {
        let newest = fold.lease();
        // A record of another's lease may be lost with others that the store had when it was copied. Its
        // writer acts on until the lease ends, and nobody else may act before.
        let lost_until = fold.lost_lease_since().map(|since| since.after(self.length));
        if let Some(own) = self.own.filter(|own| self.is_newest(newest, own.fence)) {
            let age = now.since(own.sent);
            if age < self.length / 2 {
                return LeaseStep::Act;
            }
            // Renewed by a record with a higher number: nobody else has acted in between.
            if age < self.length || lost_until.is_none_or(|until| until <= now) {
                return LeaseStep::Append { at: fold.end() };
            }
        }
        // Turns begin when the last lease ends, where there was work before: all hosts would try at once.
        let begin = match newest {
            None => Some(work_since),
            // The last holder's host is the same holder also after a restart: nobody acted in between.
            Some(lease) if lease.host == self.host => None,
            Some(lease) => Some(lease.seen.after(self.length).max(work_since.after(HOLDER_FIRST))),
        };
        let begin = begin.max(lost_until);
        let from = begin.map_or(now, |begin| begin.after(self.turn(fold, rank)));
        if now < from {
            return LeaseStep::Wait(from.since(now));
        }
        LeaseStep::Append { at: fold.end() }
    }

    /// How long this host waits for others to try first. Drawn anew for each record of the topic.
    ///
    /// The holder tells all others of each engine's load. On a narrow link that takes much of it, and the
    /// others learn late which engines to leave alone. So the widest links come first; where these
    /// hosts do not try, the others are late by no more than the wait for them.
    fn turn(&self, fold: &FleetFold, rank: LinkRank) -> Duration {
        let draw = xxh3_64(format!("{}/{}", self.host, fold.end().offset).as_bytes());
        let share = (draw >> 11) as f64 / (1_u64 << 53) as f64;
        let turn = |hosts: usize| (TURN_PER_HOST * hosts as u32).mul_f64(share);
        match rank {
            LinkRank::Equal => turn(fold.hosts()),
            LinkRank::Widest { hosts } => turn(hosts.min(fold.hosts())),
            LinkRank::Narrower => WIDEST_FIRST + turn(fold.hosts()),
        }
    }

    /// The append that was sent at `sent` was accepted at this offset.
    pub fn appended(&mut self, fence: FencingNumber, sent: BootTime) {
        self.own = Some(OwnLease { fence, sent });
    }

    /// An engine has seen a higher number: somebody else holds the lease, whatever was read.
    pub fn refused(&mut self) {
        self.own = None;
    }

    /// The number for an order that is sent at this moment; none without the lease. To be asked
    /// right before each: the process may have been suspended since the last step.
    pub fn usable_fence(&self, now: BootTime) -> Option<FencingNumber> {
        let own = self.own.filter(|own| now.since(own.sent) + STOP_EARLY < self.length)?;
        Some(own.fence)
    }

    /// Whether this router holds the lease as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.own.is_some()
    }

    fn is_newest(&self, newest: Option<&HeldLease>, fence: FencingNumber) -> bool {
        // The own record may not have been read back yet.
        newest.is_none_or(|lease| lease.fence <= fence)
    }
}
