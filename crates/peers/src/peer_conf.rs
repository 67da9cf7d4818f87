//! Configuration of the peer protocol.

use std::net::SocketAddr;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;
use fulmargate_names::ZoneName;

use crate::PeerPace;

/// Identity of this host, and how it finds others.
#[derive(Clone, Debug)]
pub struct PeerConf {
    /// Fleet name. Links from other fleets are rejected, in case an address is reused.
    pub fleet: String,
    /// The name of this host.
    pub host: HostName,
    /// Incarnation of this process, higher than those of all earlier processes of the host.
    pub incarnation: Incarnation,
    /// The availability zone of this host.
    pub zone: ZoneName,
    /// Listen address; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address announced to peers, if different from the listen address.
    pub advertise: Option<SocketAddr>,
    /// Initial peers to contact; more may be added later.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub random_seed: u64,
    /// Protocol intervals and limits.
    pub pace: PeerPace,
}
