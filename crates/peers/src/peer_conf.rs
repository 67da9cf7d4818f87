//! What a host must be told before it can take part.

use std::net::SocketAddr;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ZoneName;

use crate::PeerPace;

/// Who this host is and how it finds others.
#[derive(Clone, Debug)]
pub struct PeerConf {
    /// Hosts of fleets with other names are turned away, so that a reused address joins no strangers.
    pub fleet: String,
    /// This host.
    pub host: HostName,
    /// This process; higher than that of each earlier process of the host.
    pub incarnation: Incarnation,
    /// Where the host stands.
    pub zone: ZoneName,
    /// Where to listen; port 0 takes a free one.
    pub listen: SocketAddr,
    /// What others are told to connect to, when it is not the address listened on.
    pub advertise: Option<SocketAddr>,
    /// Peers to call on first; more may be added later.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random choices.
    pub random_seed: u64,
    /// Times and sizes.
    pub pace: PeerPace,
}
