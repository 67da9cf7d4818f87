//! An item together with its origin, version and TTL.

use std::cmp::Ordering;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;

use crate::PeerItem;
use crate::record_key::hash_numbers;
use crate::record_key::name_hash;

/// An item as it is sent between hosts. `compare` orders two records with the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemRecord {
    /// The item.
    pub item: PeerItem,
    /// The host that published it.
    pub origin: HostName,
    /// The incarnation of the origin.
    pub incarnation: Incarnation,
    /// Increases with each record of this incarnation.
    pub sequence: u64,
    /// Compared before incarnation and sequence; see `OrderRule`.
    pub order: u64,
    /// Remaining TTL in milliseconds. Each host counts it down on its own clock, since clocks are
    /// not synchronized.
    pub remaining_ms: u64,
}

impl ItemRecord {
    /// Orders two records with the same key, the newer one being greater. Equal only for the same
    /// record.
    pub(crate) fn compare(&self, other: &ItemRecord) -> Ordering {
        self.order
            .cmp(&other.order)
            .then(self.incarnation.cmp(&other.incarnation))
            .then(self.sequence.cmp(&other.sequence))
            .then_with(|| self.origin.cmp(&other.origin))
    }

    /// Version hash compared by digests. It differs between records with the same key.
    pub(crate) fn stamp(&self) -> u32 {
        hash_numbers(&[
            self.order,
            self.incarnation.0,
            self.sequence,
            name_hash(self.origin.as_str()),
        ])
    }
}
