//! Frames and messages exchanged between routers.

use std::net::SocketAddr;

use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;

use crate::ItemRecord;
use crate::MemberRecord;
use crate::RecordKind;
use crate::record_key::RecordKey;

/// A message together with the sender's active configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerFrame {
    /// Active configuration version. It is part of every frame so that an outdated host learns of a
    /// newer one from any peer.
    pub config_version: ConfigVersion,
    /// The message.
    pub message: PeerMessage,
}

/// Messages between routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// Identifies the sender; the first frame in each direction of a link.
    Hello {
        /// Fleet of the sender. The receiver rejects hosts of other fleets.
        fleet: String,
        /// Member record of the sender.
        member: MemberRecord,
    },
    /// Failure-detector probe, to be answered with `ProbeAck`.
    Probe {
        /// Probe number, repeated in the acknowledgement.
        number: u64,
        /// Hash of the sender's rarely changing records.
        digest: u32,
    },
    /// Acknowledges a `Probe`, or tells the sender of an `IndirectProbeRequest` that the target is
    /// alive.
    ProbeAck {
        /// Number of the acknowledged probe.
        number: u64,
    },
    /// Requests an indirect probe of a host that did not acknowledge a direct one.
    IndirectProbeRequest {
        /// Probe number, repeated in the acknowledgement.
        number: u64,
        /// Host to probe.
        host: HostName,
        /// Address of the host.
        address: SocketAddr,
    },
    /// Requests all known records, sent by a host that joins.
    JoinRequest,
    /// Part of the response to `JoinRequest`.
    JoinResponse {
        /// Whether more parts follow.
        part: JoinResponsePart,
        /// Known records.
        records: Vec<PeerRecord>,
    },
    /// Hashes of all records held by the sender, for anti-entropy.
    Digest {
        /// One hash per bucket.
        buckets: Vec<u32>,
    },
    /// Lists the sender's records in buckets whose hashes differ.
    Summary {
        /// Indices of the buckets.
        buckets: Vec<u16>,
        /// Keys and stamps of the records in these buckets.
        entries: Vec<SummaryEntry>,
    },
    /// Requests records by key.
    RecordRequest {
        /// Keys of the requested records.
        keys: Vec<RecordKey>,
    },
    /// Carries records to be merged by the receiver.
    Update {
        /// Latest known versions of the records.
        records: Vec<PeerRecord>,
    },
}

/// Position of a frame within the response to `JoinRequest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum JoinResponsePart {
    /// More parts follow.
    More = 0,
    /// Final part of the full set of records.
    Last = 1,
    /// A sample of members only, because the host is serving other joins. The joining host retries
    /// with one of them.
    Sample = 2,
}

/// A replicated record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRecord {
    /// State of an entry host.
    Member(MemberRecord),
    /// Any other replicated item.
    Item(ItemRecord),
}

impl PeerRecord {
    /// The kind tag of the record.
    pub fn kind(&self) -> RecordKind {
        match self {
            PeerRecord::Member(_) => RecordKind::Member,
            PeerRecord::Item(record) => record.item.kind(),
        }
    }
}

/// Key and version stamp of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SummaryEntry {
    /// Key of the record.
    pub key: RecordKey,
    /// Version stamp, different for any two versions of a record.
    pub stamp: u32,
}
