//! A host of one's own availability zone.

use fulmargate_names::HostName;

/// What is known of a host of one's own availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZonePeer {
    /// Its name.
    pub host: HostName,
    /// What its link carries, in kbit/s; zero while it has not said so.
    pub link_kbps: u32,
}
