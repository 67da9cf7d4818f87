//! What the exchange tells its router.

use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;

use crate::ItemRecord;
use crate::MemberRecord;

/// News for the router, in the order in which it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerNews {
    /// A peer has told all it knows, after a start or a pause.
    Joined {
        /// The peer.
        from: HostName,
    },
    /// An entry host was met or changed its state.
    Member {
        /// Its new record.
        member: MemberRecord,
    },
    /// An incarnation of an entry host is over, as far as is known.
    IncarnationOver {
        /// The host.
        host: HostName,
        /// The incarnation.
        incarnation: Incarnation,
        /// How it is known.
        cause: OverCause,
    },
    /// A newer item came from another host, or a sum over this zone was made here.
    Item {
        /// The item with its origin and what is left of its life.
        record: ItemRecord,
    },
    /// A peer has a newer configuration in force: ask it for the records.
    ConfigAhead {
        /// The peer.
        host: HostName,
        /// The version that it has in force.
        version: ConfigVersion,
    },
    /// A later process runs under this host's name. This one tells and takes nothing any more.
    Superseded {
        /// The later process.
        by: Incarnation,
    },
    /// This process was not run for a while; leases and other timed things may have lapsed.
    Paused {
        /// How long, in milliseconds.
        for_ms: u64,
    },
}

/// How it is known that an incarnation is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverCause {
    /// It said that it leaves.
    Left,
    /// A later process runs under its name.
    Replaced,
    /// It does not answer. It may be frozen or cut off, and go on.
    Gone,
}
