//! Positions in a topic of the store.

use fulmargate_names::FencingNumber;
use fulmargate_names::LogOffset;
use fulmargate_names::StoreEpoch;

/// Bits of a fencing number that hold the offset. Up to two million epochs, the number stays within
/// the 53 bits that JSON readers represent exactly.
const OFFSET_BITS: u32 = 32;

/// An offset and the epoch in which the store assigned it.
///
/// A store restored from a backup has lost its newest records and assigns their offsets again. A
/// reader that resumed from the offset alone would miss the new records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogPosition {
    /// The store's epoch.
    pub epoch: StoreEpoch,
    /// The offset in that epoch.
    pub offset: LogOffset,
}

impl LogPosition {
    /// The position after this many records.
    pub fn after(self, records: usize) -> LogPosition {
        LogPosition { offset: LogOffset(self.offset.0 + records as u64), ..self }
    }

    /// The fencing number of a lease recorded at this position. It includes the epoch, since
    /// offsets may be lower after a restore, and engines would then reject the next holder or obey
    /// two.
    pub fn fence(self) -> FencingNumber {
        FencingNumber((self.epoch.0 << OFFSET_BITS) + self.offset.0)
    }
}
