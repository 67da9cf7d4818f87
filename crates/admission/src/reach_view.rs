//! Which routers share the limits.

use fulmargate_names::HostName;

/// The routers with which a router shares the limits, and how many there are in all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReachView {
    /// Others that hear and are heard by the same routers, in the order of their names.
    pub(crate) members: Vec<HostName>,
    /// All routers known, this one included.
    pub(crate) known: usize,
}

impl ReachView {
    /// This router alone among `known`.
    pub(crate) fn alone(known: usize) -> ReachView {
        ReachView { members: Vec::new(), known }
    }

    /// How many share, this router included.
    pub(crate) fn size(&self) -> f64 {
        (self.members.len() + 1) as f64
    }

    /// The part of each limit that they share.
    pub(crate) fn part(&self) -> f64 {
        self.size() / self.known as f64
    }
}
