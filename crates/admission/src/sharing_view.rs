//! Set of routers that share the limits.

use fulmargate_names::HostName;

/// The routers with which a router shares the limits, and the number of all known routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct SharingView {
    /// Other routers with mutual connectivity and the same view, sorted by name.
    pub(crate) members: Vec<HostName>,
    /// Number of known routers, including this one.
    pub(crate) known: usize,
}

impl SharingView {
    /// View of a router that shares with no other.
    pub(crate) fn alone(known: usize) -> SharingView {
        SharingView { members: Vec::new(), known }
    }

    /// Number of routers that share, including this one.
    pub(crate) fn router_count(&self) -> f64 {
        (self.members.len() + 1) as f64
    }

    /// Share of each limit available to these routers together.
    pub(crate) fn limit_share(&self) -> f64 {
        self.router_count() / self.known as f64
    }
}
