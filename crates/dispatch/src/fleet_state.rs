//! State folded from the records of the fleet topic.

use std::net::IpAddr;
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

/// Hosts count as present for this long after their record was read, even if no gossip message has
/// come from them. Other hosts connect to new ones a few at a time, which takes seconds on a busy
/// host.
const NEW_MEMBER_PERIOD: Duration = Duration::from_secs(10);

/// A host as described by its record.
#[derive(Clone, Debug)]
struct FleetMember {
    incarnation: Incarnation,
    address: SocketAddr,
    zone: ZoneName,
    link_kbps: u32,
    /// When the record of this incarnation was first read.
    read_at: BootTime,
}

/// The newest lease in the topic. It may have expired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The host of the router that took the lease.
    pub host: HostName,
    /// Incarnation of that router.
    pub incarnation: Incarnation,
    /// Fencing number, derived from the position at which the record was first written.
    pub fence: FencingNumber,
    /// When this router read the record; that of the release, if there is one.
    pub seen: BootTime,
    /// The store epoch for which the lease was taken.
    pub epoch: StoreEpoch,
    /// Whether its holder has given it up.
    pub is_released: bool,
}

/// Reports of routers on the restore that began the current epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RestoreReport {
    /// The newest configuration that any of them had.
    pub config: ConfigVersion,
    /// Operators have had time to rewrite what was lost.
    pub is_settled: bool,
}

/// Members, lease and restore state, folded from the topic's records.
#[derive(Debug, Default)]
pub struct FleetState {
    members: IndexMap<HostName, FleetMember>,
    lease: Option<HeldLease>,
    end: LogPosition,
    /// When this router first saw the current epoch; `None` before the first read.
    epoch_first_seen: Option<BootTime>,
    /// Records of an earlier epoch were read: the store was restored at least once.
    has_earlier_epochs: bool,
    /// Merged reports of routers that ran before the current epoch began.
    restore_report: Option<RestoreReport>,
}

impl FleetState {
    /// Starts an epoch of the store. The lease is dropped, since its record may be lost; the
    /// members are kept. Returns whether the epoch is new to this router.
    pub fn begin_epoch(&mut self, epoch: StoreEpoch, now: BootTime) -> bool {
        if self.epoch_first_seen.is_some() && epoch <= self.end.epoch {
            return false;
        }
        self.has_earlier_epochs |= self.epoch_first_seen.is_some();
        self.epoch_first_seen = Some(now);
        self.end = LogPosition { epoch, offset: LogOffset(0) };
        self.lease = None;
        self.restore_report = None;
        true
    }

    /// Applies a record of the current epoch. Two readers may deliver the same record; it is
    /// applied once. Crash records are handled by the suspect table and only advance the end here.
    pub fn apply(&mut self, offset: LogOffset, record: &FleetRecord, now: BootTime) {
        if offset < self.end.offset {
            return;
        }
        let position = LogPosition { offset, ..self.end };
        self.end = position.after(1);
        match record {
            FleetRecord::Joined { host, incarnation, address, zone, link_kbps, epoch } => {
                let (incarnation, address) = (*incarnation, *address);
                let (zone, link_kbps) = (zone.clone(), *link_kbps);
                // After a restore, the records of hosts that are long gone are read again.
                let known = self.members.get(host);
                let known = known.filter(|member| member.incarnation == incarnation);
                let read_at = known.map_or(now, |member| member.read_at);
                let member = FleetMember { incarnation, address, zone, link_kbps, read_at };
                self.members.insert(host.clone(), member);
                self.has_earlier_epochs |= *epoch < position.epoch;
            }
            FleetRecord::Lease { host, incarnation, epoch } => {
                self.has_earlier_epochs |= *epoch < position.epoch;
                self.lease = Some(HeldLease {
                    host: host.clone(),
                    incarnation: *incarnation,
                    // A record restored from a backup keeps the number its writer used.
                    fence: LogPosition { epoch: *epoch, offset }.fence(),
                    seen: now,
                    epoch: *epoch,
                    is_released: false,
                });
            }
            FleetRecord::LeaseReleased { host, incarnation, fence, epoch } => {
                self.has_earlier_epochs |= *epoch < position.epoch;
                self.release_lease(HeldLease {
                    host: host.clone(),
                    incarnation: *incarnation,
                    fence: *fence,
                    seen: now,
                    epoch: *epoch,
                    is_released: true,
                });
            }
            FleetRecord::Restored { epoch, config, is_settled } if *epoch == position.epoch => {
                self.merge_restore_report(RestoreReport {
                    config: *config,
                    is_settled: *is_settled,
                });
            }
            FleetRecord::Restored { .. }
            | FleetRecord::Crash { .. }
            | FleetRecord::Suspects { .. }
            | FleetRecord::SuspectParts { .. }
            | FleetRecord::Limits { .. }
            | FleetRecord::Weights(_) => {}
        }
    }

    /// Applies a release, unless it is of an older lease, or of another holder than the newest one. In a listing it
    /// stands in place of the lease.
    fn release_lease(&mut self, released: HeldLease) {
        let holder = (&released.host, released.incarnation);
        let is_due = self.lease.as_ref().is_none_or(|lease| {
            let is_held = !lease.is_released && (&lease.host, lease.incarnation) == holder;
            lease.fence < released.fence || lease.fence == released.fence && is_held
        });
        if is_due {
            self.lease = Some(released);
        }
    }

    /// The record by which a router gives its lease up, and the end of the topic at which it must be appended. `None`
    /// unless the newest lease is its own, of the current epoch.
    pub fn lease_release(
        &self,
        host: &HostName,
        incarnation: Incarnation,
    ) -> Option<(LogPosition, FleetRecord)> {
        let lease = self.lease.as_ref().filter(|lease| !lease.is_released)?;
        if (&lease.host, lease.incarnation, lease.epoch) != (host, incarnation, self.end.epoch) {
            return None;
        }
        let (host, fence, epoch) = (host.clone(), lease.fence, lease.epoch);
        Some((self.end, FleetRecord::LeaseReleased { host, incarnation, fence, epoch }))
    }

    /// Marks all records before this offset of the current epoch as applied or lost.
    pub fn skip_to(&mut self, end: LogOffset) {
        self.end.offset = self.end.offset.max(end);
    }

    /// Position of the next record.
    pub fn end(&self) -> LogPosition {
        self.end
    }

    /// Whether the topic has been read.
    pub fn is_read(&self) -> bool {
        self.epoch_first_seen.is_some()
    }

    /// The newest lease read. It may have expired, or been released.
    pub fn lease(&self) -> Option<&HeldLease> {
        self.lease.as_ref()
    }

    /// Since when a lease whose record the store has lost may still be held, for up to its whole
    /// duration. `None` if nothing was lost, or if a lease was taken in the current epoch: its
    /// holder has waited out the lost one.
    pub fn lost_lease_since(&self) -> Option<BootTime> {
        let has_current_lease =
            self.lease.as_ref().is_some_and(|lease| lease.epoch == self.end.epoch);
        if has_current_lease {
            None
        } else {
            self.epoch_first_seen.filter(|_| self.has_earlier_epochs)
        }
    }

    fn merge_restore_report(&mut self, report: RestoreReport) {
        let merged = self.restore_report.unwrap_or(report);
        let config = merged.config.max(report.config);
        let is_settled = merged.is_settled || report.is_settled;
        self.restore_report = Some(RestoreReport { config, is_settled });
    }

    /// Merged reports of the restore that began the current epoch.
    pub fn restore_report(&self) -> Option<RestoreReport> {
        self.restore_report
    }

    /// Whether the store was restored and operators may not have rewritten yet what was lost.
    pub fn is_restore_pending(&self) -> bool {
        self.has_earlier_epochs && self.restore_report.is_none_or(|report| !report.is_settled)
    }

    /// Number of members.
    pub fn host_count(&self) -> usize {
        self.members.len()
    }

    /// The members and the addresses at which they listen for other routers.
    pub fn members(&self) -> impl Iterator<Item = (&HostName, &SocketAddr)> {
        self.members.iter().map(|(host, member)| (host, &member.address))
    }

    /// The address at which a host listens for other routers.
    pub fn address_of(&self, host: &HostName) -> Option<SocketAddr> {
        self.members.get(host).map(|member| member.address)
    }

    /// Whether the record of a host states this incarnation and IP address.
    pub fn is_member(&self, host: &HostName, incarnation: Incarnation, ip: IpAddr) -> bool {
        self.members
            .get(host)
            .is_some_and(|member| member.incarnation == incarnation && member.address.ip() == ip)
    }

    /// All hosts with a record in the fleet topic, and whether the record of each was read
    /// recently.
    pub fn fleet_hosts(&self, now: BootTime) -> impl Iterator<Item = (FleetHost, bool)> {
        self.members.iter().map(move |(host, member)| {
            let (host, zone) = (host.clone(), member.zone.clone());
            let is_new = now.since(member.read_at) < NEW_MEMBER_PERIOD;
            (FleetHost { host, zone, link_kbps: member.link_kbps }, is_new)
        })
    }

    /// Members of a zone whose records were read recently. They count as present before their first
    /// gossip message.
    pub fn new_members(&self, zone: &ZoneName, now: BootTime) -> impl Iterator<Item = ZonePeer> {
        let is_new = move |member: &FleetMember| now.since(member.read_at) < NEW_MEMBER_PERIOD;
        let members = self.members.iter();
        members
            .filter(move |(_, member)| member.zone == *zone && is_new(member))
            .map(|(host, member)| ZonePeer { host: host.clone(), link_kbps: member.link_kbps })
    }
}
