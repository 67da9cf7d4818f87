//! Keys of records.

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::RecordKind;

/// Identifies the subject of a record: its kind and a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RecordKey {
    /// The record kind.
    pub kind: RecordKind,
    /// Hash of the name, identical on all hosts.
    pub id: u64,
}

pub(crate) fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

pub(crate) fn numbered_name_hash(number: u64, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), number)
}

/// A 32-bit hash of a sequence of numbers.
pub(crate) fn hash_numbers(numbers: &[u64]) -> u32 {
    let hash =
        numbers.iter().fold(0, |seed, number| xxh3_64_with_seed(&number.to_le_bytes(), seed));
    hash as u32
}
