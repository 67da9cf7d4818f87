//! Where to read on in a topic of the store.

use fulmargate_names::FencingNumber;
use fulmargate_names::LogOffset;
use fulmargate_names::StoreEpoch;

/// Bits of a fencing number that hold an offset. Both parts together stay below 53 bits, up to which JSON
/// readers keep whole numbers exact, for two million epochs of four thousand million records.
const OFFSET_BITS: u32 = 32;

/// An offset and the epoch in which the store gave it out.
///
/// A store that comes back from a copy has lost its newest records and gives their offsets out again. A
/// reader that went on from an offset alone would miss the records that were put in their places.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// The store's epoch.
    pub epoch: StoreEpoch,
    /// The offset in that epoch.
    pub offset: LogOffset,
}

impl LogPosition {
    /// The position after so many records.
    pub fn after(self, records: usize) -> LogPosition {
        LogPosition { offset: LogOffset(self.offset.0 + records as u64), ..self }
    }

    /// The fencing number of a lease whose record lies here. It rises with the epoch too: the offset alone
    /// would fall when the store has lost records, and engines would refuse the next holder or obey two.
    pub fn fence(self) -> FencingNumber {
        FencingNumber((self.epoch.0 << OFFSET_BITS) + self.offset.0)
    }
}
