//! What the routers' own topic says.

use std::net::SocketAddr;
use std::time::Duration;

use fulmargate_names::ConfigVersion;
use fulmargate_names::FencingNumber;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::LogOffset;
use fulmargate_names::StoreEpoch;
use fulmargate_names::ZoneName;
use indexmap::IndexMap;

use crate::BootTime;
use crate::FleetHost;
use crate::FleetRecord;
use crate::LogPosition;
use crate::ZonePeer;

/// A host whose record was read so lately counts as there, though it was not heard yet: hosts open their
/// links to a new one some at a time, and a host with little processor time takes seconds for all.
const NEW_MEMBER: Duration = Duration::from_secs(10);

/// A host, as its record says.
#[derive(Clone, Debug)]
struct FleetMember {
    address: SocketAddr,
    zone: ZoneName,
    link_kbps: u32,
    /// When the record was read.
    seen: BootTime,
}

/// The newest record of the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The holder's host.
    pub host: HostName,
    /// The holder's start.
    pub incarnation: Incarnation,
    /// The record's position when it was written.
    pub fence: FencingNumber,
    /// When this router read it, after it was written.
    pub seen: BootTime,
    /// The store's epoch for which it was written.
    pub epoch: StoreEpoch,
}

/// What routers have said of the store's coming back from a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestoreNote {
    /// The newest configuration that one of them knew.
    pub config: ConfigVersion,
    /// Operators have had time to write again what was lost.
    pub is_settled: bool,
}

/// The fold over the topic's records.
#[derive(Debug, Default)]
pub struct FleetFold {
    members: IndexMap<HostName, FleetMember>,
    lease: Option<HeldLease>,
    end: LogPosition,
    /// When this router first saw the present epoch; none while it has read nothing.
    epoch_seen: Option<BootTime>,
    /// Records of an earlier epoch were read: the store has come back from a copy at least once.
    has_earlier: bool,
    /// What routers that lived before the present epoch have said of its beginning.
    note: Option<RestoreNote>,
}

impl FleetFold {
    /// The store answers in this epoch. What was read of the lease before is void, as it may be lost; the
    /// hosts are still where they were. Returns whether the epoch is new to this router.
    pub fn begin_epoch(&mut self, epoch: StoreEpoch, now: BootTime) -> bool {
        if self.epoch_seen.is_some() && epoch <= self.end.epoch {
            return false;
        }
        self.has_earlier |= self.epoch_seen.is_some();
        self.epoch_seen = Some(now);
        self.end = LogPosition { epoch, offset: LogOffset(0) };
        self.lease = None;
        self.note = None;
        true
    }

    /// Takes in a record of the present epoch. Two readers may give the same one; it counts once. Crashes are
    /// for the crash book; they only move the end here.
    pub fn apply(&mut self, offset: LogOffset, record: &FleetRecord, now: BootTime) {
        if offset < self.end.offset {
            return;
        }
        let position = LogPosition { offset, ..self.end };
        self.end = position.after(1);
        match record {
            FleetRecord::Joined { host, address, zone, link_kbps, epoch, .. } => {
                let (address, link_kbps, zone) = (*address, *link_kbps, zone.clone());
                let member = FleetMember { address, zone, link_kbps, seen: now };
                self.members.insert(host.clone(), member);
                self.has_earlier |= *epoch < position.epoch;
            }
            FleetRecord::Lease { host, incarnation, epoch } => {
                self.has_earlier |= *epoch < position.epoch;
                self.lease = Some(HeldLease {
                    host: host.clone(),
                    incarnation: *incarnation,
                    // A record that was copied keeps the number under which its writer acted.
                    fence: LogPosition { epoch: *epoch, offset }.fence(),
                    seen: now,
                    epoch: *epoch,
                });
            }
            FleetRecord::Restored { epoch, config, is_settled } if *epoch == position.epoch => {
                self.add_note(RestoreNote { config: *config, is_settled: *is_settled });
            }
            FleetRecord::Restored { .. } | FleetRecord::Crash { .. } => {}
        }
    }

    /// Records before this offset of the present epoch are applied or lost.
    pub fn skip_to(&mut self, end: LogOffset) {
        self.end.offset = self.end.offset.max(end);
    }

    /// Where the next record will be.
    pub fn end(&self) -> LogPosition {
        self.end
    }

    /// Whether the topic was read at all.
    pub fn is_read(&self) -> bool {
        self.epoch_seen.is_some()
    }

    /// The newest lease.
    pub fn lease(&self) -> Option<&HeldLease> {
        self.lease.as_ref()
    }

    /// Since when a lease that the store has lost may still be held: a host that took it just before may act
    /// for its whole length. None where nothing was lost, or a lease of this epoch was taken, whose holder
    /// has waited for that.
    pub fn lost_lease_since(&self) -> Option<BootTime> {
        let is_settled = self.lease.as_ref().is_some_and(|lease| lease.epoch == self.end.epoch);
        if is_settled { None } else { self.epoch_seen.filter(|_| self.has_earlier) }
    }

    fn add_note(&mut self, note: RestoreNote) {
        let before = self.note.unwrap_or(note);
        let config = before.config.max(note.config);
        let is_settled = before.is_settled || note.is_settled;
        self.note = Some(RestoreNote { config, is_settled });
    }

    /// What routers have said of the present epoch's beginning.
    pub fn restore_note(&self) -> Option<RestoreNote> {
        self.note
    }

    /// Whether operators may still have to write again what the store has lost, as far as the topic tells.
    pub fn is_restored_lately(&self) -> bool {
        self.has_earlier && self.note.is_none_or(|note| !note.is_settled)
    }

    /// Hosts whose start was read.
    pub fn hosts(&self) -> usize {
        self.members.len()
    }

    /// The members and where they listen for other routers.
    pub fn members(&self) -> impl Iterator<Item = (&HostName, &SocketAddr)> {
        self.members.iter().map(|(host, member)| (host, &member.address))
    }

    /// Where a host listens for other routers.
    pub fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        self.members.get(host).map(|member| member.address)
    }

    /// All members and where they are, and whether their records were read lately.
    pub fn fleet_hosts(&self, now: BootTime) -> impl Iterator<Item = (FleetHost, bool)> {
        self.members.iter().map(move |(host, member)| {
            let (host, zone) = (host.clone(), member.zone.clone());
            let is_new = now.since(member.seen) < NEW_MEMBER;
            (FleetHost { host, zone, link_kbps: member.link_kbps }, is_new)
        })
    }

    /// Hosts of a zone whose records were read lately, in this order: as such they are known before they are
    /// heard.
    pub fn new_members(&self, zone: &ZoneName, now: BootTime) -> impl Iterator<Item = ZonePeer> {
        let is_new = move |member: &FleetMember| now.since(member.seen) < NEW_MEMBER;
        let members = self.members.iter();
        members
            .filter(move |(_, member)| member.zone == *zone && is_new(member))
            .map(|(host, member)| ZonePeer { host: host.clone(), link_kbps: member.link_kbps })
    }
}
