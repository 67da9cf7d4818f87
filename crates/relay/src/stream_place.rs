//! How far a stream has come.

/// The highest token index that a place can hold, since one bit of it marks the finish.
pub const MAX_INDEX: u32 = u32::MAX >> 1;

/// How far a stream has come: all the state that a resumed stream needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamPlace {
    bits: u32,
}

impl StreamPlace {
    /// The place before the token `next_index`, or `None` beyond [`MAX_INDEX`].
    pub fn before(next_index: u32) -> Option<StreamPlace> {
        (next_index <= MAX_INDEX).then_some(StreamPlace { bits: next_index << 1 })
    }

    /// The same place, with the chunk that finishes the answer already passed.
    pub fn finished(self) -> StreamPlace {
        StreamPlace { bits: self.bits | 1 }
    }

    /// The index of the token that is due.
    pub fn next_index(self) -> u32 {
        self.bits >> 1
    }

    /// Whether the last token's chunk finished the answer, so that only the end is due.
    pub fn is_finished(self) -> bool {
        self.bits & 1 == 1
    }

    pub(crate) fn to_bits(self) -> u32 {
        self.bits
    }

    pub(crate) fn from_bits(bits: u32) -> StreamPlace {
        StreamPlace { bits }
    }
}
