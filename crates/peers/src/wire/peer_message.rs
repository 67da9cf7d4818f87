//! What one frame between routers says.

use std::net::SocketAddr;

use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;

use crate::ItemRecord;
use crate::MemberRecord;
use crate::RecordKind;
use crate::record_key::RecordKey;

/// One frame: a message and the configuration that its sender has in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerFrame {
    /// Carried by every frame, so that a host that is behind learns it from whoever speaks to it.
    pub in_force: ConfigVersion,
    /// The message.
    pub message: PeerMessage,
}

/// What routers say to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// First frame on a link, each way.
    Hello {
        /// Hosts of another fleet are turned away.
        fleet: String,
        /// Who speaks.
        member: MemberRecord,
    },
    /// Answer, if you live.
    Probe {
        /// Comes back in the answer.
        number: u64,
        /// Hash over the sender's rarely changing records.
        digest: u32,
    },
    /// I live; or, to the sender of `ProbeVia`: it lives.
    ProbeAck {
        /// The probe's number.
        number: u64,
    },
    /// Probe this host for me: I get no answer from it.
    ProbeVia {
        /// Comes back in the answer.
        number: u64,
        /// The host.
        host: HostName,
        /// Where it listens.
        address: SocketAddr,
    },
    /// I am new here: tell me what you know.
    Join,
    /// Part of the answer to `Join`.
    Welcome {
        /// Which part.
        part: WelcomePart,
        /// What is known.
        records: Vec<PeerRecord>,
    },
    /// Hashes over all that I know, bucket by bucket.
    Digest {
        /// One for each bucket.
        buckets: Vec<u32>,
    },
    /// What I hold in buckets that differ.
    Summary {
        /// The buckets.
        buckets: Vec<u16>,
        /// What is in them.
        entries: Vec<SummaryEntry>,
    },
    /// Send me these.
    Want {
        /// Their keys.
        keys: Vec<RecordKey>,
    },
    /// Take these in.
    Update {
        /// Newest records.
        records: Vec<PeerRecord>,
    },
}

/// Which part of a welcome a frame is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum WelcomePart {
    /// More follows.
    More = 0,
    /// The last part of all that is known.
    Last = 1,
    /// A few members only, for the host is busy with others: ask one of these.
    Sample = 2,
}

/// A record as it travels.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRecord {
    /// On an entry host.
    Member(MemberRecord),
    /// On anything else.
    Item(ItemRecord),
}

impl PeerRecord {
    /// The record's kind.
    pub fn kind(&self) -> RecordKind {
        match self {
            PeerRecord::Member(_) => RecordKind::Member,
            PeerRecord::Item(record) => record.item.kind(),
        }
    }
}

/// A record's key and stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SummaryEntry {
    /// The key.
    pub key: RecordKey,
    /// Differs between any two records with the same key.
    pub stamp: u32,
}
