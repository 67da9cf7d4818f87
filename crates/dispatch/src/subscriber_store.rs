//! What a router that asks for records can do without them.

/// Whether the router that asks can read the store itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubscriberStore {
    /// As far as it knows: refused here, it reads there.
    InReach,
    /// Its last read failed: refused here, it goes on without.
    OutOfReach,
}
