//! Numbers that order things, each its own type so that none is taken for another.

use serde::Deserialize;
use serde::Serialize;

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
            derive_more::Display, derive_more::FromStr,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);
    };
}

number_type! {
    /// The number of an accepted configuration; the first one is 1, 0 means none yet.
    ConfigVersion
}
number_type! {
    /// Drawn anew at each start of a process; a higher one is a later start of the same name.
    Incarnation
}
number_type! {
    /// A record's position in a stream of the platform's log.
    LogOffset
}
number_type! {
    /// How often a store has come back from a copy. Offsets of one epoch mean nothing in another.
    StoreEpoch
}
number_type! {
    /// Grows with each holder of a lease; an engine that checks it refuses a lower one.
    FencingNumber
}
number_type! {
    /// The version of a model's weights.
    WeightsVersion
}
number_type! {
    /// A hash of a prompt's beginning within its scope (team, model, adapter, weights version).
    PromptHash
}
