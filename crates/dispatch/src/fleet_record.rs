//! What routers tell each other through the store.

use std::net::SocketAddr;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ServerName;
use serde::Deserialize;
use serde::Serialize;

use crate::ServerKey;

/// A record of the routers' own topic.
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
    },
    /// A router takes or keeps the lease on orders to engines. The record's offset is the fencing
    /// number, so that it rises with every holder and is never shared.
    Lease {
        /// The holder's host.
        host: HostName,
        /// The holder's start.
        incarnation: Incarnation,
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
}
