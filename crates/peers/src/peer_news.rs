//! Events reported to the router.

use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;

use crate::ItemRecord;
use crate::MemberRecord;

/// Events for the router, in the order in which they occurred.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerNews {
    /// A peer has sent all its records, after a start or a pause.
    Joined {
        /// The peer.
        from: HostName,
    },
    /// A host was discovered or changed its state.
    Member {
        /// The new record.
        member: MemberRecord,
    },
    /// An incarnation of a host has ended, as far as this host can tell.
    IncarnationOver {
        /// The host.
        host: HostName,
        /// The incarnation.
        incarnation: Incarnation,
        /// The reason for this conclusion.
        reason: IncarnationEndReason,
    },
    /// A newer item was received, or the usage of this zone was aggregated here.
    Item {
        /// The item with its origin and remaining TTL.
        record: ItemRecord,
    },
    /// A peer has a newer configuration in force; fetch it from there.
    ConfigAhead {
        /// The peer.
        host: HostName,
        /// The version in force at the peer.
        version: ConfigVersion,
    },
    /// A newer incarnation of this host is running. This process no longer takes part.
    Superseded {
        /// The newer incarnation.
        by: Incarnation,
    },
    /// This process was paused; leases and other timeouts may have expired.
    Paused {
        /// Duration in milliseconds.
        for_ms: u64,
    },
}

/// Why an incarnation is considered to have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationEndReason {
    /// The host announced its departure.
    Left,
    /// A newer incarnation of the host is running.
    Replaced,
    /// The host did not answer. It may still be running, paused or behind a network partition.
    Gone,
}
