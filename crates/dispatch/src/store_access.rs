//! Access of a requesting router to the store.

/// Whether a router that requests records can read the store itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAccess {
    /// It can, to its own knowledge, and does if its request is rejected.
    Reachable,
    /// Its last read failed; if its request is rejected, it gets no records.
    Unreachable,
}
