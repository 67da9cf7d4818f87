//! A host of the same availability zone.

use fulmargate_names::HostName;

/// A host of the router's own availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZonePeer {
    /// Its name.
    pub host: HostName,
    /// Bandwidth of its link, in kbit/s; zero while unknown.
    pub link_kbps: u32,
}
