//! Records that routers share through the store.

use std::net::SocketAddr;

use fulmargate_admission::StoredLimit;
use fulmargate_names::ConfigVersion;
use fulmargate_names::FencingNumber;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_names::StoreEpoch;
use fulmargate_names::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::ServerKey;
use crate::StoredPart;
use crate::StoredSuspect;
use crate::WeightsRecord;

/// Number of keys for crash records. A starting host reads all records that are kept, so older
/// crashes are overwritten; a request that crashes servers is retried within seconds.
const MAX_CRASH_KEYS: u128 = 256;

/// A record of the fleet topic. The store keeps the newest record under each key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetRecord {
    /// A router has started.
    Joined {
        /// Its host.
        host: HostName,
        /// Incarnation of the router.
        incarnation: Incarnation,
        /// The address at which it listens for other routers.
        address: SocketAddr,
        /// Its availability zone.
        zone: ZoneName,
        /// Bandwidth of its link, in kbit/s.
        link_kbps: u32,
        /// The store epoch in which the record was first written.
        epoch: StoreEpoch,
    },
    /// A router takes or renews the lease on orders to engines. The fencing number is derived from
    /// the record's position, so that it is unique and rises with every holder.
    Lease {
        /// Host of the lease holder.
        host: HostName,
        /// Incarnation of the lease holder.
        incarnation: Incarnation,
        /// The store epoch for which the lease was taken.
        epoch: StoreEpoch,
    },
    /// A server crashed while it ran a request. Written by routers of earlier versions.
    Crash {
        /// Fingerprint of the request.
        print: u128,
        /// The server.
        server: ServerName,
        /// Key of its incarnation.
        start: ServerKey,
    },
    /// The store was restored from a backup; a router that ran before reports what it knew.
    Restored {
        /// The epoch that began with the restore.
        epoch: StoreEpoch,
        /// The newest configuration known to the router.
        config: ConfigVersion,
        /// Operators have had time to rewrite what was lost.
        is_settled: bool,
    },
    /// Suspected requests, of all that the writer knows under this key.
    Suspects {
        /// Distinguishes the keys.
        slot: u8,
        /// The requests.
        entries: Vec<StoredSuspect>,
    },
    /// Limits that servers name, of all that the writer knows under this key. Skipped by earlier versions.
    Limits {
        /// Distinguishes the keys.
        slot: u8,
        /// The limits.
        entries: Vec<StoredLimit>,
    },
    /// The holder gives its lease up and sends no more orders. Appended only where no newer lease can precede it, as it
    /// replaces the lease in listings. Skipped by earlier versions.
    LeaseReleased {
        /// Host of the lease holder.
        host: HostName,
        /// Incarnation of the lease holder.
        incarnation: Incarnation,
        /// Fencing number of the lease.
        fence: FencingNumber,
        /// The store epoch for which the lease was taken.
        epoch: StoreEpoch,
    },
    /// Since when versions of a model's weights are outdated. Skipped by earlier versions.
    Weights(WeightsRecord),
    /// Suspected parts of prompts, of all that the writer knows under this key. Skipped by earlier versions.
    SuspectParts {
        /// Distinguishes the keys.
        slot: u8,
        /// The parts.
        entries: Vec<StoredPart>,
    },
}

impl FleetRecord {
    /// The key under which the store keeps the record.
    pub fn key(&self) -> String {
        match self {
            FleetRecord::Joined { host, .. } => format!("host/{host}"),
            FleetRecord::Lease { .. } | FleetRecord::LeaseReleased { .. } => "lease".to_owned(),
            FleetRecord::Crash { print, .. } => format!("crash/{}", print % MAX_CRASH_KEYS),
            FleetRecord::Restored { .. } => "restored".to_owned(),
            FleetRecord::Suspects { slot, .. } => format!("suspects/{slot}"),
            FleetRecord::Limits { slot, .. } => format!("limits/{slot}"),
            FleetRecord::Weights(record) => format!("weights/{}", record.model),
            FleetRecord::SuspectParts { slot, .. } => format!("suspect-parts/{slot}"),
        }
    }
}
