//! What is known of an entry host.

use std::net::SocketAddr;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ZoneName;

use crate::RecordKind;
use crate::record_key::RecordKey;
use crate::record_key::mix;
use crate::record_key::name_id;

/// State of an entry host as another one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum MemberState {
    /// It answers, or nobody has said otherwise.
    Alive = 0,
    /// It did not answer; it may still refute this.
    Suspected = 1,
    /// It did not refute in time. It may run all the same, behind a partition or frozen.
    Gone = 2,
    /// It said that it leaves. Final for the incarnation.
    Left = 3,
}

/// An entry host: who, where, and in which state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberRecord {
    /// Its name.
    pub host: HostName,
    /// Its process.
    pub incarnation: Incarnation,
    /// Raised by the host alone, each time it refutes that it is gone.
    pub heartbeat: u64,
    /// Its state.
    pub state: MemberState,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// How long it has been in this state, for states that are forgotten after a while.
    pub age_ms: u64,
}

impl MemberRecord {
    pub(crate) fn id(&self) -> u64 {
        name_id(self.host.as_str())
    }

    pub(crate) fn key(&self) -> RecordKey {
        RecordKey { kind: RecordKind::Member, id: self.id() }
    }

    /// What digests compare.
    pub(crate) fn stamp(&self) -> u32 {
        mix(&[self.incarnation.0, self.heartbeat, self.state as u64])
    }

    /// Whether it may be asked and told things.
    pub fn is_present(&self) -> bool {
        self.state <= MemberState::Suspected
    }
}
