//! What routers tell each other through the store.

use std::net::SocketAddr;

use fulmargate_names::ConfigVersion;
use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use fulmargate_names::StoreEpoch;
use fulmargate_names::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use crate::ServerKey;

/// Crashes are kept under so many keys. A host that starts reads all that are kept, and a new one takes the
/// place of an old one; a request that crashes servers comes again within seconds.
const CRASH_KEYS: u128 = 256;

/// A record of the routers' own topic, of which the store keeps the newest under each key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetRecord {
    /// A router has started.
    Joined {
        /// Its host.
        host: HostName,
        /// This start.
        incarnation: Incarnation,
        /// Where it listens for other routers.
        address: SocketAddr,
        /// Its availability zone.
        zone: ZoneName,
        /// What its link carries, in kbit/s.
        link_kbps: u32,
        /// The store's epoch when it was written first.
        epoch: StoreEpoch,
    },
    /// A router takes or keeps the lease on orders to engines. The record's position is the fencing
    /// number, so that it rises with every holder and is never shared.
    Lease {
        /// The holder's host.
        host: HostName,
        /// The holder's start.
        incarnation: Incarnation,
        /// The store's epoch for which it was written.
        epoch: StoreEpoch,
    },
    /// A server crashed while it ran a request.
    Crash {
        /// Fingerprint of the request.
        print: u128,
        /// The server.
        server: ServerName,
        /// Which start of it.
        start: ServerKey,
    },
    /// A router that lived before the store came back from a copy says what was in force then.
    Restored {
        /// The epoch that began.
        epoch: StoreEpoch,
        /// The newest configuration that it knows.
        config: ConfigVersion,
        /// Operators have had time to write again what was lost.
        is_settled: bool,
    },
}

impl FleetRecord {
    /// The key under which the store keeps it.
    pub fn key(&self) -> String {
        match self {
            FleetRecord::Joined { host, .. } => format!("host/{host}"),
            FleetRecord::Lease { .. } => "lease".to_owned(),
            FleetRecord::Crash { print, .. } => format!("crash/{}", print % CRASH_KEYS),
            FleetRecord::Restored { .. } => "restored".to_owned(),
        }
    }
}
