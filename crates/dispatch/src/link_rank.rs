//! Bandwidth of a host's link relative to the other hosts.

/// Rank by the link bandwidths that other hosts have reported recently. Hosts without a report are
/// ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkRank {
    /// All links are equal, or no other host has reported.
    Equal,
    /// No link is wider, and some are narrower.
    Widest {
        /// Number of hosts with the widest link, including this one.
        hosts: usize,
    },
    /// Some links are wider.
    Narrower,
}
