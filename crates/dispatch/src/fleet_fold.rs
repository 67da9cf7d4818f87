//! What the routers' own topic says.

use std::net::SocketAddr;

use fulmargate_names::FencingNumber;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::LogOffset;
use indexmap::IndexMap;

use crate::BootTime;
use crate::FleetRecord;

/// The newest record of the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The holder's host.
    pub host: HostName,
    /// The holder's start.
    pub incarnation: Incarnation,
    /// The record's offset.
    pub fence: FencingNumber,
    /// When this router read it, after it was written.
    pub seen: BootTime,
}

/// The fold over the topic's records.
#[derive(Debug, Default)]
pub struct FleetFold {
    members: IndexMap<HostName, SocketAddr>,
    lease: Option<HeldLease>,
    end: LogOffset,
}

impl FleetFold {
    /// Takes in a record. Two readers may give the same one; it counts once. Crashes are for the crash
    /// book; they only move the end here.
    pub fn apply(&mut self, offset: LogOffset, record: &FleetRecord, now: BootTime) {
        if offset < self.end {
            return;
        }
        self.end = LogOffset(offset.0 + 1);
        match record {
            FleetRecord::Joined { host, address, .. } => {
                self.members.insert(host.clone(), *address);
            }
            FleetRecord::Lease { host, incarnation } => {
                self.lease = Some(HeldLease {
                    host: host.clone(),
                    incarnation: *incarnation,
                    fence: FencingNumber(offset.0),
                    seen: now,
                });
            }
            FleetRecord::Crash { .. } => {}
        }
    }

    /// Records before this offset are applied or lost.
    pub fn skip_to(&mut self, end: LogOffset) {
        self.end = self.end.max(end);
    }

    /// Where the next record will be.
    pub fn end(&self) -> LogOffset {
        self.end
    }

    /// The newest lease.
    pub fn lease(&self) -> Option<&HeldLease> {
        self.lease.as_ref()
    }

    /// Hosts whose start was read.
    pub fn hosts(&self) -> usize {
        self.members.len()
    }

    /// The members and where they listen for other routers.
    pub fn members(&self) -> impl Iterator<Item = (&HostName, &SocketAddr)> {
        self.members.iter()
    }
}
