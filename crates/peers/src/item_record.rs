//! An item with where it comes from and how long it lives.

use std::cmp::Ordering;

use fulmargate_names::HostName;
use fulmargate_names::Incarnation;

use crate::PeerItem;
use crate::record_key::mix;
use crate::record_key::name_id;

/// An item as it travels. Two records with the same key are put in order by `stamp`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemRecord {
    /// What is said.
    pub item: PeerItem,
    /// Who says it.
    pub origin: HostName,
    /// The origin's incarnation.
    pub incarnation: Incarnation,
    /// Grows with each record of this incarnation.
    pub sequence: u64,
    /// Compared first; see `OrderRule`.
    pub order: u64,
    /// What is left of its life, counted by each holder on its own clock: no clock is shared.
    pub remaining_ms: u64,
}

impl ItemRecord {
    /// Which of two records with the same key is newer. Equal only for the same record.
    pub(crate) fn compare(&self, other: &ItemRecord) -> Ordering {
        self.order
            .cmp(&other.order)
            .then(self.incarnation.cmp(&other.incarnation))
            .then(self.sequence.cmp(&other.sequence))
            .then_with(|| self.origin.cmp(&other.origin))
    }

    /// What digests compare: differs between any two records with the same key.
    pub(crate) fn stamp(&self) -> u32 {
        mix(&[self.order, self.incarnation.0, self.sequence, name_id(self.origin.as_str())])
    }
}
