//! How a host's link compares to those of the others.

/// By what the others have said of their links lately. One that has said nothing does not count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkRank {
    /// All have the same, or nobody has spoken: a host that has just started gets no precedence.
    Equal,
    /// None is wider, and some are narrower.
    Widest {
        /// Hosts with as wide a link, this one among them.
        hosts: usize,
    },
    /// Some are wider.
    Narrower,
}
