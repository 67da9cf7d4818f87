//! Membership state of entry hosts.

use std::net::SocketAddr;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ZoneName;

use crate::RecordKind;
use crate::record_key::RecordKey;
use crate::record_key::hash_numbers;
use crate::record_key::name_hash;

/// State of an entry host as seen by another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum MemberState {
    /// The host answers probes, or no host has reported otherwise.
    Alive = 0,
    /// The host did not answer a probe. It may still refute the suspicion.
    Suspected = 1,
    /// The host did not refute the suspicion in time. It may still be running, paused or behind
    /// a network partition.
    Gone = 2,
    /// The host announced its departure. Final for this incarnation.
    Left = 3,
}

/// Identity, address and state of an entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// The host name.
    pub host: HostName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Raised only by the host itself, each time it refutes a suspicion.
    pub heartbeat: u64,
    /// The membership state.
    pub state: MemberState,
    /// The availability zone.
    pub zone: ZoneName,
    /// The address on which it listens for peers.
    pub address: SocketAddr,
    /// Time in the current state in milliseconds, used to expire absent hosts.
    pub age_ms: u64,
}

impl MemberRecord {
    pub(crate) fn id(&self) -> u64 {
        name_hash(self.host.as_str())
    }

    pub(crate) fn key(&self) -> RecordKey {
        RecordKey { kind: RecordKind::Member, id: self.id() }
    }

    /// Version hash compared by digests.
    pub(crate) fn stamp(&self) -> u32 {
        hash_numbers(&[self.incarnation.0, self.heartbeat, self.state as u64])
    }

    /// Whether the host is alive or suspected, so that it takes part in the protocol.
    pub fn is_present(&self) -> bool {
        self.state <= MemberState::Suspected
    }
}
