//! Keys of records.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::RecordKind;

/// What a record is about: its kind and the hash of the name within it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RecordKey {
    /// The kind.
    pub kind: RecordKind,
    /// Hash of the name, the same on every host.
    pub id: u64,
}

/// The hash of a name.
pub(crate) fn name_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// The hash of a number and a name.
pub(crate) fn pair_id(number: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), number)
}

/// A short hash of numbers.
pub(crate) fn mix(numbers: &[u64]) -> u32 {
    let hash =
        numbers.iter().fold(0, |seed, number| xxh3_64_with_seed(&number.to_le_bytes(), seed));
    hash as u32
}
